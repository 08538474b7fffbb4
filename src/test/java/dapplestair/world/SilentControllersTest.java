package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One, two or all controllers are silent for longer than a lease and a hold: they are frozen, cut
 * off in all ways, or refused, while guests submit swarms, some jobs fail and a giant array runs.
 * The invariants hold after each step, a remaining controller leads, and what was running is
 * running again soon after the controllers return.
 */
class SilentControllersTest {
  private static final int REPLICAS = 60;
  private static final long SILENCE_MS = SimulatedCluster.LEASE_MS * 3 / 2;

  private static SimulatedCluster startCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    for (int i = 0; i < REPLICAS / 6; i++) {
      cluster.users.submitService("one", 3);
      cluster.users.submitService("two", 3);
    }
    cluster.users.submitArray("one", "high", 40, 12);
    cluster.run(40_000);
    assertEquals(REPLICAS, replicaCount(cluster), "replicas at the beginning");
    return cluster;
  }

  private static int replicaCount(SimulatedCluster cluster) {
    int count = 0;
    for (EmulatedWorker m : cluster.cloud.machines()) {
      if (!m.isGone()) {
        count +=
            (int)
                m.tasks().stream()
                    .filter(t -> t.isOnMachine() && t.isService() && t.status().equals("running"))
                    .count();
      }
    }
    return count;
  }

  /** Submits jobs of one task for a team without a guarantee, one every {@code intervalMs}. */
  private static List<SimulatedUsers.KnownJob> submitSwarm(
      SimulatedCluster cluster, int jobs, long intervalMs) {
    List<SimulatedUsers.KnownJob> submitted = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      cluster.sim.after(i * intervalMs, () -> submitted.add(submitSingleTaskJob(cluster)));
    }
    return submitted;
  }

  private static SimulatedUsers.KnownJob submitSingleTaskJob(SimulatedCluster cluster) {
    return cluster.users.submitModifiedArray(
        "guest", 1, 6, b -> b.put("rank", "low").put("vcpus", 0.25).put("jobclass", "swarm"));
  }

  private static void awaitReplicas(SimulatedCluster cluster, long ms, String when) {
    for (long t = 0; t < ms && replicaCount(cluster) < REPLICAS; t += 250) {
      cluster.run(250);
    }
    assertEquals(REPLICAS, replicaCount(cluster), "replicas " + ms + " ms after " + when);
  }

  private static void assertAllJobsEnd(
      SimulatedCluster cluster, List<SimulatedUsers.KnownJob> jobs) {
    cluster.run(60_000);
    jobs.forEach(j -> assertTrue(j.done || j.aborted, j.ref + " has not ended"));
    cluster.checker.checkHalfServed();
  }

  /**
   * The leader is frozen; when it continues, it has old commands and stale state, and another
   * controller leads.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3001, 3002, 3003, 3004, 3005, 3006})
  void theLeaderIsFrozen(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> swarm = submitSwarm(cluster, 60, 250);
    cluster.run(2000);
    SimulatedCluster.ControllerNode frozenLeader = cluster.leader();
    frozenLeader.freeze(SILENCE_MS);
    cluster.run(SimulatedCluster.LEASE_MS * 2 / 3);
    assertTrue(
        cluster.leader() != null && cluster.leader() != frozenLeader, "no other controller leads");
    int killedBefore = cluster.cloud.tasksKilledByLease();
    cluster.run(SILENCE_MS);
    assertEquals(
        killedBefore,
        cluster.cloud.tasksKilledByLease(),
        "tasks killed though another controller leads");
    awaitReplicas(cluster, 2000, "the former leader continued");
    assertAllJobsEnd(cluster, swarm);
  }

  /**
   * All controllers are frozen past the lease: every task is lost, and is started again on the
   * machines that are there.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3011, 3012, 3013, 3014, 3015, 3016})
  void allControllersAreFrozenPastTheLease(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> swarm = submitSwarm(cluster, 40, 250);
    cluster.run(3000);
    Set<String> replicaHostsBefore = machinesWithReplicas(cluster);
    Set<String> presentBefore = presentMachines(cluster);
    int killedBefore = cluster.cloud.tasksKilledByLease();
    cluster.nodes.forEach(n -> n.freeze(SILENCE_MS + cluster.sim.between(0, 2000)));
    cluster.run(SILENCE_MS + 2000);
    assertTrue(
        cluster.cloud.tasksKilledByLease() >= killedBefore + REPLICAS, "leases have not expired");
    // Restoring all replicas took more than a lease when there was free capacity in one zone only,
    // which cannot hold half of a service.
    awaitReplicas(cluster, 5000, "all controllers returned");
    Set<String> presentNow = presentMachines(cluster);
    Set<String> rented = new HashSet<>(presentNow);
    rented.removeAll(presentBefore);
    presentNow.retainAll(replicaHostsBefore);
    assertTrue(
        4 * presentNow.size() >= 3 * replicaHostsBefore.size(),
        presentNow.size() + " of " + replicaHostsBefore.size());
    assertTrue(4 * rented.size() <= presentBefore.size(), rented.size() + " machines were rented");
    assertAllJobsEnd(cluster, swarm);
  }

  private static Set<String> machinesWithReplicas(SimulatedCluster cluster) {
    Set<String> machineIds = new HashSet<>();
    cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(t -> t.isService()))
        .forEach(m -> machineIds.add(m.id()));
    return machineIds;
  }

  private static Set<String> presentMachines(SimulatedCluster cluster) {
    Set<String> machineIds = new HashSet<>();
    cluster.cloud.machines().stream().filter(m -> !m.isGone()).forEach(m -> machineIds.add(m.id()));
    return machineIds;
  }

  /** Controllers become silent one after the other, overlapping, each time in a different way. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3021, 3022, 3023, 3024, 3025, 3026, 3027, 3028, 3029, 3030})
  void controllersFailInTurn(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    List<SimulatedUsers.KnownJob> jobs = submitSwarm(cluster, 80, 500);
    SimulatedUsers.KnownJob failingJob =
        cluster.users.submitModifiedArray("two", 20, 5, b -> b.put("mistakenSteps", 20));
    jobs.add(
        cluster.users.submitModifiedArray(
            "guest",
            400,
            2,
            b -> b.put("rank", "low").put("vcpus", 0.25).put("jobclass", "giant")));
    for (int i = 0; i < 5; i++) {
      disableController(
          cluster, cluster.nodes.get(i % 3), (int) cluster.sim.between(0, 6), SILENCE_MS);
      cluster.run(SimulatedCluster.LEASE_MS * 2 / 3);
    }
    cluster.run(SILENCE_MS);
    awaitReplicas(cluster, 30_000, "the last controller returned");
    assertTrue(
        failingJob.finalStatus() == null,
        "the failing job is reported as " + failingJob.finalStatus());
    cluster.users.cancel(failingJob);
    assertAllJobsEnd(cluster, jobs);
  }

  private static void disableController(
      SimulatedCluster cluster, SimulatedCluster.ControllerNode node, int faultKind, long ms) {
    boolean hold = cluster.sim.chance(0.5);
    String name = "node-" + node.index;
    switch (faultKind) {
      case 0 -> node.freeze(ms);
      case 1 -> node.crash(ms);
      case 2 -> cluster.cutOff(node, m -> false, hold, ms);
      case 3 -> cutFor(cluster, name, "state:1", hold, ms);
      case 4 -> {
        cluster.state.setRefused(name, true);
        cluster.sim.after(ms, () -> cluster.state.setRefused(name, false));
      }
      case 5 -> {
        for (EmulatedWorker m : cluster.cloud.machines()) {
          cutFor(cluster, name, m.endpoint(), hold, ms);
          cutFor(cluster, SimulatedCluster.clientAddress(node.index), m.endpoint(), hold, ms);
        }
      }
      default -> {
        cutFor(cluster, name, "state:1", hold, ms);
        node.freeze(ms / 2);
      }
    }
  }

  private static void cutFor(SimulatedCluster cluster, String a, String b, boolean hold, long ms) {
    cluster.network.cut(a, b, hold);
    cluster.sim.after(ms, () -> cluster.network.heal(a, b));
  }

  /**
   * Two controllers are frozen and the third is cut from the workers: no worker stays with a
   * controller that cannot act.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {3041, 3042, 3043, 3044})
  void theOnlyRunningControllerIsCutFromTheWorkers(long seed) {
    SimulatedCluster cluster = startCluster(seed);
    SimulatedCluster.ControllerNode runningNode = cluster.nodes.get((int) (seed % 3));
    for (SimulatedCluster.ControllerNode n : cluster.nodes) {
      if (n != runningNode) {
        n.freeze(SILENCE_MS);
      }
    }
    cluster.run(1000);
    disableController(cluster, runningNode, 5, SILENCE_MS / 2);
    cluster.run(SILENCE_MS + 3000);
    awaitReplicas(cluster, SimulatedCluster.LEASE_MS, "all controllers returned");
  }
}
