package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * New machines are up within two seconds and get work at once while writes lag, and the leader ends
 * (docs/meetings.md).
 */
class QuickBootTest {
  /** Where in the life of a new machine the leader ends. */
  enum CrashPoint {
    /** The rental is put on record; the cloud is not asked yet. */
    RENTAL_PUT,
    /** The cloud is asked. */
    RENTAL_ASKED,
    /** The cloud's answer is put on record. */
    HOSTS_PUT,
    /** The machine's first report goes to a controller that does not lead. */
    REPORTED_ELSEWHERE,
    /** A launch there is put on record. */
    LAUNCH_PUT,
    /** A launch is sent there. */
    LAUNCH_SENT
  }

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, new SimulatedCluster.Size(12, 60, 2150, 6));
    w.network.lossProbability = 0;
    w.cloud.setQuickBootingShare(1);
    w.run(20_000);
    return w;
  }

  /** The request that marks the moment, for a machine that was not there before. */
  private static Predicate<SimulatedNetwork.Request> mark(
      SimulatedCluster w, CrashPoint crashPoint) {
    Set<String> before = new HashSet<>();
    w.cloud.machines().forEach(m -> before.add(m.id()));
    Predicate<String> ofNew =
        text ->
            w.cloud.machines().stream()
                .map(EmulatedWorker::id)
                .anyMatch(id -> !before.contains(id) && text.contains(id));
    return r -> {
      String body = r.body() == null ? "" : new String(r.body(), StandardCharsets.UTF_8);
      boolean toLeader =
          w.leader() != null && r.to().equals(SimulatedCluster.clientAddress(w.leader().index));
      return switch (crashPoint) {
        case RENTAL_PUT -> r.putsKeyWithPrefix("live/rental/") && !body.contains("\"hosts\"");
        case RENTAL_ASKED -> r.path().equals("/rentals") && r.method().equals("POST");
        case HOSTS_PUT -> r.putsKeyWithPrefix("live/rental/") && ofNew.test(body);
        case REPORTED_ELSEWHERE ->
            r.path().equals("/agent/beat") && !toLeader && ofNew.test(r.from());
        case LAUNCH_PUT ->
            (r.putsKeyWithPrefix("live/run/") || r.putsKeyWithPrefix("live/sheet/"))
                && ofNew.test(body);
        case LAUNCH_SENT -> r.hasOrder("launch") && ofNew.test(r.to());
      };
    };
  }

  /** Arrays of both teams, for which there is no room yet. */
  private static void burst(SimulatedCluster w) {
    for (String team : List.of("one", "two")) {
      for (int i = 0; i < 3; i++) {
        w.users.submitArray(team, "high", 12, 6);
      }
    }
  }

  /** The leader ends within a message, a put or a hold of the moment; a share of writes lags. */
  @ParameterizedTest(name = "seed {0}, {2} ms after {1}, share {3} of writes late")
  @CsvSource({
    "5301,RENTAL_PUT,0,0.3",
    "5303,RENTAL_ASKED,0,0.3",
    "5304,RENTAL_ASKED,8,0.5",
    "5306,HOSTS_PUT,0,0.3",
    "5307,HOSTS_PUT,400,0.5",
    "5308,REPORTED_ELSEWHERE,0,0.3",
    "5310,REPORTED_ELSEWHERE,600,0.5",
    "5312,LAUNCH_PUT,4,0.5",
    "5313,LAUNCH_PUT,400,0.5",
    "5314,LAUNCH_SENT,0,0.3",
    "5315,LAUNCH_SENT,3,0.5",
    "5317,LAUNCH_SENT,1700,0.5"
  })
  void theLeaderEnds(long seed, CrashPoint crashPoint, long afterMs, double late) {
    SimulatedCluster w = begun(seed);
    int[] met = {0};
    for (int i = 0; i < 2; i++) {
      w.network.lateWriteProbability = late;
      w.network.runAfterFirst(
          mark(w, crashPoint),
          afterMs,
          () -> {
            if (w.leader() != null) {
              met[0]++;
              w.leader().crash(w.sim.between(300, 6000));
            }
          });
      burst(w);
      w.run(SimulatedCluster.LEASE_MS + w.sim.between(0, 8000));
      w.network.lateWriteProbability = 0;
      // Machines are returned again, so that the next burst needs new ones.
      w.run(60_000);
    }
    assertTrue(met[0] > 0, "the moment never came");
    SeededDaysTest.settle(w);
  }

  /**
   * The records of rentals get no answer and are made seconds later, when the leader has long given
   * them up: the cloud was never asked for them, so no machine is on its way.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5331, 5332, 5333})
  void aRentalOnRecordTooLateIsNoMachine(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed);
    w.network.lossProbability = 0;
    w.cloud.setQuickBootingShare(1);
    w.network.isLateWrite = r -> r.putsKeyWithPrefix("live/rental/") && w.sim.now() < 20_000;
    w.run(20_000);
    assertTrue(w.state.writeCountUnder("live/rental/") > 0, "no record came late");
    w.run(40_000);
    List<String> open =
        w.state.keys("live/rental/").stream().filter(k -> !w.state.value(k).has("hosts")).toList();
    assertEquals(List.of(), open, "rentals that nobody asks for");
    assertTrue(w.checker.startCount > 0, "nothing was rented");
    SeededDaysTest.settle(w);
  }
}
