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
  private final ArrayDeque<Runnable> due = new ArrayDeque<>();
  private final List<Consumer<HttpReply>> barriers = new ArrayList<>();
  private final List<Boolean> passed = new ArrayList<>();
  private boolean listed;
  private boolean forgets;
  private Replica replica;

  private static HttpReply json(String text) {
    return new HttpReply(200, text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  /** The first listing and its catching up are answered; what follows waits for the test. */
  private void call(String path, Consumer<HttpReply> done) {
    if (path.startsWith("/kv?") && !listed) {
      listed = true;
      done.accept(
          json("{'rows':[{'k':'live/job/a-1','value':{},'stamp':3}],'more':false,'epoch':5}"));
    } else if (path.startsWith("/changes") && path.endsWith("blockMs=0")) {
      if (replica.ready()) {
        barriers.add(done);
      } else if (passed.isEmpty()) {
        done.accept(json("{'epoch':5,'news':[]}"));
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
          due.add(task);
          Cancellable none = () -> {};
          return none;
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
        new StateClient(clock, timers, (e, m, path, b, t, done) -> call(path, done), settings);
    replica =
        new Replica(
            state,
            timers,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            () -> false,
            new Replica.Listener() {
              @Override
              public void put(String key, JsonNode value, long stamp) {
                if (key.equals(StateKeys.LEADER) && forgets) {
                  // As when somebody else leads from now on.
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

  private void runDue() {
    for (int n = due.size(); n > 0; n--) {
      due.poll().run();
    }
  }

  private void barrierWith(String reply) {
    replica.barrier(passed::add);
    runDue();
    barriers.remove(barriers.size() - 1).accept(json(reply));
  }

  @Test
  void aBarrierPassesOnAFullReplica() {
    start();
    barrierWith("{'epoch':7,'news':[{'put':'live/leader','value':{'term':2},'stamp':7}]}");
    assertEquals(List.of(true), passed);
    assertEquals(3, replica.stamp("live/job/a-1"));
  }

  /**
   * Seed 10 once answered 404 for an accepted job: the replica had been emptied under a barrier.
   */
  @Test
  void aBarrierDoesNotPassOnAReplicaEmptiedUnderIt() {
    start();
    forgets = true;
    barrierWith(
        "{'epoch':8,'news':[{'put':'live/leader','value':{'term':2},'stamp':7},"
            + "{'put':'live/job/a-2','value':{},'stamp':8}]}");
    assertEquals(List.of(false), passed);
    assertEquals(0, replica.stamp("live/job/a-2"));
  }

  @Test
  void aBarrierDoesNotPassAfterAnotherOneHasEmptiedTheReplica() {
    start();
    replica.barrier(p -> replica.restart());
    barrierWith("{'epoch':5,'news':[]}");
    assertEquals(List.of(false), passed);
    assertEquals(0, replica.stamp("live/job/a-1"));
  }
}
