package dapplestair.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.cloud.CloudClient;
import dapplestair.events.Events;
import dapplestair.pause.PauseDetector;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests when the cloud is asked to take machines back. */
class ReleasesTest {
  private static final long MAX_GAP_MS = 550;
  private static final long UNANSWERED_MS = 4000;
  private static final long PAUSE_MS = 42_000;

  private long nowMs = 10_000;
  private long recordsAsOfMs = nowMs;
  private final List<Consumer<HttpReply>> calls = new ArrayList<>();
  private final Clock clock =
      new Clock() {
        @Override
        public long now() {
          return nowMs;
        }

        @Override
        public long wall() {
          return nowMs;
        }
      };
  private final Timers timers = (delayMs, task) -> () -> {};
  private final PauseDetector pauses =
      new PauseDetector(clock, timers, MAX_GAP_MS, UNANSWERED_MS, () -> recordsAsOfMs);
  private final CloudClient cloud =
      new CloudClient(
          clock,
          timers,
          (endpoint, method, path, body, timeoutMs, done) -> calls.add(done),
          pauses,
          settings());
  private final Releases releases = new Releases(null, cloud, pauses, Events.OFF);

  private static Settings settings() {
    return new Settings(
        "a",
        "zone",
        null,
        null,
        List.of(),
        "cloud:1",
        "state:1",
        List.of("zone"),
        Map.of(),
        List.of(),
        new Settings.Workers(4000, 22_000, 52_000),
        null,
        new Settings.Cloud(5, 4000),
        null);
  }

  private void tick() {
    releases.judgeAgainAfterPause();
    releases.sendNextBatch();
  }

  /**
   * Guards against a return that is repeated after a pause though it may never have arrived:
   * another leader may use the machine by then.
   */
  @Test
  void anUnansweredReturnIsRepeatedOnlyOnceTheRecordsAreRead() {
    releases.lead();
    releases.addGone("n-000001");
    tick();
    assertEquals(1, calls.size());
    nowMs += PAUSE_MS;
    calls.get(0).accept(HttpReply.of(HttpReply.UNKNOWN));
    tick();
    nowMs += MAX_GAP_MS;
    tick();
    assertEquals(1, calls.size(), "the return was repeated before the records were read");
    recordsAsOfMs = nowMs;
    tick();
    assertEquals(2, calls.size());
  }
}
