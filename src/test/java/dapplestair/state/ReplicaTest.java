package dapplestair.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class ReplicaTest {
  private final ArrayDeque<Runnable> scheduledTasks = new ArrayDeque<>();
  private final List<Consumer<HttpReply>> pendingBarrierCalls = new ArrayList<>();
  private final List<Boolean> barrierResults = new ArrayList<>();
  private boolean listingAnswered;
  private boolean restartOnLeaderChange;
  private Replica replica;

  private static HttpReply jsonReply(String text) {
    return new HttpReply(200, text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  /** Answers the first listing and the changes read after it; keeps later barriers for the test. */
  private void answerCall(String path, Consumer<HttpReply> done) {
    if (path.startsWith("/kv?") && !listingAnswered) {
      listingAnswered = true;
      done.accept(
          jsonReply("{'rows':[{'k':'live/job/a-1','value':{},'stamp':3}],'more':false,'epoch':5}"));
    } else if (path.startsWith("/changes") && path.endsWith("blockMs=0")) {
      if (replica.isReady()) {
        pendingBarrierCalls.add(done);
      } else if (barrierResults.isEmpty()) {
        done.accept(jsonReply("{'epoch':5,'news':[]}"));
      }
    }
  }

  private void start() {
    Clock clock =
        new Clock() {
          @Override
          public long now() {
            return 0;
          }

          @Override
          public long wall() {
            return 0;
          }
        };
    Timers timers =
        (ms, task) -> {
          scheduledTasks.add(task);
          Cancellable noop = () -> {};
          return noop;
        };
    Settings settings =
        new Settings(
            "m",
            "z",
            new Settings.Address("m", 1),
            new Settings.Address("m", 2),
            List.of(),
            "cloud:1",
            "state:1",
            List.of("z"),
            Map.of(),
            List.of(),
            new Settings.Workers(3000, 17_000, 47_000),
            new Settings.State(200, 50, 8192, 24),
            new Settings.Cloud(5, 4000),
            new Settings.Resources(0.4, 263, 1000));
    StateClient state =
        new StateClient(
            clock, timers, (e, m, path, b, t, done) -> answerCall(path, done), settings);
    replica =
        new Replica(
            state,
            timers,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            () -> false,
            new Replica.Listener() {
              @Override
              public void put(String key, JsonNode value, long stamp) {
                if (key.equals(StateKeys.LEADER) && restartOnLeaderChange) {
                  // As when another controller has become leader.
                  replica.restart();
                }
              }

              @Override
              public void removed(String key) {}

              @Override
              public void loaded() {}
            });
    replica.reload();
  }

  private void runScheduledTasks() {
    for (int remaining = scheduledTasks.size(); remaining > 0; remaining--) {
      scheduledTasks.poll().run();
    }
  }

  private void runBarrierWithReply(String reply) {
    replica.barrier(barrierResults::add);
    runScheduledTasks();
    pendingBarrierCalls.remove(pendingBarrierCalls.size() - 1).accept(jsonReply(reply));
  }

  @Test
  void barrierPassesOnCompleteReplica() {
    start();
    runBarrierWithReply("{'epoch':7,'news':[{'put':'live/leader','value':{'term':2},'stamp':7}]}");
    assertEquals(List.of(true), barrierResults);
    assertEquals(3, replica.stamp("live/job/a-1"));
  }

  /**
   * Guards against a 404 for an accepted job, as once seen with seed 10: a change in the barrier's
   * reply restarted the replica, and the barrier passed on the emptied replica.
   */
  @Test
  void barrierFailsWhenReplicaRestartsDuringIt() {
    start();
    restartOnLeaderChange = true;
    runBarrierWithReply(
        "{'epoch':8,'news':[{'put':'live/leader','value':{'term':2},'stamp':7},"
            + "{'put':'live/job/a-2','value':{},'stamp':8}]}");
    assertEquals(List.of(false), barrierResults);
    assertEquals(0, replica.stamp("live/job/a-2"));
  }

  @Test
  void barrierFailsWhenEarlierCallbackRestartsReplica() {
    start();
    replica.barrier(p -> replica.restart());
    runBarrierWithReply("{'epoch':5,'news':[]}");
    assertEquals(List.of(false), barrierResults);
    assertEquals(0, replica.stamp("live/job/a-1"));
  }
}
