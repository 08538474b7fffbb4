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
 * New machines boot within two seconds and get work at once while writes are delayed, and the
 * leader crashes (docs/meetings.md).
 */
class QuickBootTest {
  /** The point in the life of a new machine at which the leader crashes. */
  enum CrashPoint {
    /** The put of the rental record is sent; the cloud has not been asked yet. */
    RENTAL_PUT,
    /** The rental request is sent to the cloud. */
    RENTAL_ASKED,
    /** The put of the rented hosts is sent. */
    HOSTS_PUT,
    /** The first report of the machine is sent to a controller that does not lead. */
    REPORTED_ELSEWHERE,
    /** The put of a launch on the machine is sent. */
    LAUNCH_PUT,
    /** The launch command is sent to the machine. */
    LAUNCH_SENT
  }

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, new SimulatedCluster.Size(12, 60, 2150, 6));
    cluster.network.lossProbability = 0;
    cluster.cloud.setQuickBootingShare(1);
    cluster.run(20_000);
    return cluster;
  }

  /**
   * Returns a condition for the request that marks the crash point, for a machine that is not there
   * yet.
   */
  private static Predicate<SimulatedNetwork.Request> requestAt(
      SimulatedCluster cluster, CrashPoint crashPoint) {
    Set<String> oldMachineIds = new HashSet<>();
    cluster.cloud.machines().forEach(m -> oldMachineIds.add(m.id()));
    Predicate<String> namesNewMachine =
        text ->
            cluster.cloud.machines().stream()
                .map(EmulatedWorker::id)
                .anyMatch(id -> !oldMachineIds.contains(id) && text.contains(id));
    return r -> {
      String body = r.body() == null ? "" : new String(r.body(), StandardCharsets.UTF_8);
      boolean toLeader =
          cluster.leader() != null
              && r.to().equals(SimulatedCluster.clientAddress(cluster.leader().index));
      return switch (crashPoint) {
        case RENTAL_PUT -> r.putsKeyWithPrefix("live/rental/") && !body.contains("\"hosts\"");
        case RENTAL_ASKED -> r.path().equals("/rentals") && r.method().equals("POST");
        case HOSTS_PUT -> r.putsKeyWithPrefix("live/rental/") && namesNewMachine.test(body);
        case REPORTED_ELSEWHERE ->
            r.path().equals("/agent/beat") && !toLeader && namesNewMachine.test(r.from());
        case LAUNCH_PUT ->
            (r.putsKeyWithPrefix("live/run/") || r.putsKeyWithPrefix("live/sheet/"))
                && namesNewMachine.test(body);
        case LAUNCH_SENT -> r.hasOrder("launch") && namesNewMachine.test(r.to());
      };
    };
  }

  /** Submits arrays of both teams for which there is no capacity yet. */
  private static void submitBurst(SimulatedCluster cluster) {
    for (String team : List.of("one", "two")) {
      for (int i = 0; i < 3; i++) {
        cluster.users.submitArray(team, "high", 12, 6);
      }
    }
  }

  /**
   * The leader crashes at the crash point, or a message, a put or a hold after it, while a share of
   * the writes is delayed.
   */
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
  void theLeaderCrashesDuringABoot(
      long seed, CrashPoint crashPoint, long afterMs, double lateWriteShare) {
    SimulatedCluster cluster = startCluster(seed);
    int[] crashCount = {0};
    for (int i = 0; i < 2; i++) {
      cluster.network.lateWriteProbability = lateWriteShare;
      cluster.network.runAfterFirst(
          requestAt(cluster, crashPoint),
          afterMs,
          () -> {
            if (cluster.leader() != null) {
              crashCount[0]++;
              cluster.leader().crash(cluster.sim.between(300, 6000));
            }
          });
      submitBurst(cluster);
      cluster.run(SimulatedCluster.LEASE_MS + cluster.sim.between(0, 8000));
      cluster.network.lateWriteProbability = 0;
      // Idle machines are returned meanwhile, so that the next burst needs new ones.
      cluster.run(60_000);
    }
    assertTrue(crashCount[0] > 0, "the crash point was never reached");
    SeededDaysTest.settle(cluster);
  }

  /**
   * Puts of rental records get no response and are carried out seconds later, when the leader has
   * long given them up. The cloud was never asked for these rentals, so no machine may be expected
   * from them.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5331, 5332, 5333})
  void aRentalRecordedTooLateAddsNoMachine(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.network.lossProbability = 0;
    cluster.cloud.setQuickBootingShare(1);
    cluster.network.isLateWrite =
        r -> r.putsKeyWithPrefix("live/rental/") && cluster.sim.now() < 20_000;
    cluster.run(20_000);
    assertTrue(
        cluster.state.writeCountUnder("live/rental/") > 0, "no rental record was written late");
    cluster.run(40_000);
    List<String> openRentals =
        cluster.state.keys("live/rental/").stream()
            .filter(k -> !cluster.state.value(k).has("hosts"))
            .toList();
    assertEquals(List.of(), openRentals, "recorded rentals that the cloud was never asked for");
    assertTrue(cluster.checker.startCount > 0, "no task was started");
    SeededDaysTest.settle(cluster);
  }
}
