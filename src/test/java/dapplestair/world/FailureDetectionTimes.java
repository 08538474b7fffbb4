package dapplestair.world;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures in the simulated cluster how long failures are noticeable; started by hand. Times are
 * virtual: they include decisions and messages, but no processor time.
 */
public final class FailureDetectionTimes {
  private static final int SEEDS = 200;
  private static final int REPLICAS = 120;

  private FailureDetectionTimes() {}

  /** Prints the tables of docs/results.md. */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("on-call")) {
      measureControllerOutage(
          "all stand still for 1.5 leases", n -> n.freeze(SimulatedCluster.LEASE_MS * 3 / 2));
      measureControllerOutage(
          "all without power for 1.5 leases", n -> n.crash(SimulatedCluster.LEASE_MS * 3 / 2));
      measureGuestLoad("none", 0, 0);
      measureGuestLoad("300 single tasks, 7.7 a second", 300, 0);
      measureGuestLoad("one array of 25,000 tasks", 0, 25_000);
      return;
    }
    measureFailover("leader alone ends", false);
    measureFailover("all controllers end, back after 1.5 s", true);
    System.out.println(
        "| machines lost | replicas lost | half back after | all back after | replica s |");
    for (int machinesToEnd : new int[] {10, 40, 160, 640}) {
      measureMachineLoss(machinesToEnd);
    }
  }

  private static SimulatedCluster startCluster(
      long seed, SimulatedCluster.Size size, int replicas) {
    SimulatedCluster cluster = new SimulatedCluster(seed, size);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    for (int i = 0; i < replicas / 6; i++) {
      cluster.users.submitService("one", 3);
      cluster.users.submitService("two", 3);
    }
    cluster.run(40_000);
    return cluster;
  }

  /**
   * Measures the time from a crash to the first accepted submission and the first task started
   * after it.
   */
  private static void measureFailover(String label, boolean allControllers) {
    Histogram acceptedMs = new Histogram(60_000, 3);
    Histogram startedMs = new Histogram(60_000, 3);
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              SimulatedCluster cluster = startCluster(seed, SimulatedCluster.Size.MEDIUM, REPLICAS);
              long crashedAtMs = cluster.sim.now();
              if (allControllers) {
                cluster.nodes.forEach(n -> n.crash(1500));
              } else {
                cluster.leader().crash(4000);
              }
              int startsBefore = cluster.checker.startCount;
              SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "high", 4, 5);
              long acceptedAtMs = 0;
              while ((cluster.checker.startCount == startsBefore || !job.accepted)
                  && cluster.sim.now() - crashedAtMs < 60_000) {
                cluster.run(20);
                acceptedAtMs = acceptedAtMs == 0 && job.accepted ? cluster.sim.now() : acceptedAtMs;
              }
              long startedAtMs = cluster.sim.now();
              acceptedAtMs = acceptedAtMs == 0 ? startedAtMs : acceptedAtMs;
              synchronized (acceptedMs) {
                acceptedMs.recordValue(acceptedAtMs - crashedAtMs);
                startedMs.recordValue(startedAtMs - crashedAtMs);
              }
            });
    printRow(label + ": first accepted", acceptedMs);
    printRow(label + ": first task started", startedMs);
  }

  /**
   * Measures the time from the return of all controllers to the first and the last replica that
   * runs again.
   */
  private static void measureControllerOutage(
      String label, Consumer<SimulatedCluster.ControllerNode> outage) {
    Histogram firstReplicaMs = new Histogram(120_000, 3);
    Histogram lastReplicaMs = new Histogram(120_000, 3);
    Histogram rentedMachines = new Histogram(1000, 3);
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              SimulatedCluster cluster = startCluster(seed, SimulatedCluster.Size.MEDIUM, REPLICAS);
              int machinesBefore = cluster.cloud.machines().size();
              cluster.nodes.forEach(outage);
              cluster.run(SimulatedCluster.LEASE_MS * 3 / 2);
              long returnedAtMs = cluster.sim.now();
              long firstAtMs = 0;
              while (countRunningReplicas(cluster) < REPLICAS
                  && cluster.sim.now() - returnedAtMs < 120_000) {
                cluster.run(20);
                firstAtMs =
                    firstAtMs == 0 && countRunningReplicas(cluster) > 0
                        ? cluster.sim.now()
                        : firstAtMs;
              }
              synchronized (firstReplicaMs) {
                firstReplicaMs.recordValue(Math.max(0, firstAtMs - returnedAtMs));
                lastReplicaMs.recordValue(cluster.sim.now() - returnedAtMs);
                rentedMachines.recordValue(cluster.cloud.machines().size() - machinesBefore);
              }
            });
    printRow(label + ": first replica back", firstReplicaMs);
    printRow(label + ": last replica back", lastReplicaMs);
    printRow(label + ": machines rented meanwhile", rentedMachines);
  }

  /**
   * Measures how many puts guest jobs cost, and how long another team's arrays wait for their first
   * task.
   */
  private static void measureGuestLoad(String label, int singleTaskJobs, int arrayTasks) {
    SimulatedCluster cluster = new SimulatedCluster(4, SimulatedCluster.Size.LARGE);
    cluster.network.lossProbability = 0;
    cluster.users.submissionsStopped = true;
    cluster.users.submitService("one", 3);
    cluster.run(20_000);
    int putsBefore = cluster.state.writeCount();
    for (int i = 0; i < singleTaskJobs; i++) {
      cluster.sim.after(i * 130L, () -> submitGuestJob(cluster, 1, 20));
    }
    if (arrayTasks > 0) {
      submitGuestJob(cluster, arrayTasks, 4);
    }
    Histogram waitsMs = new Histogram(120_000, 3);
    int arrays = 0;
    for (int i = 0; i < 60; i++) {
      SimulatedUsers.KnownJob job = cluster.users.submitArray("one", "high", 12, 6);
      arrays++;
      long submittedAtMs = cluster.sim.now();
      while (!job.started && cluster.sim.now() - submittedAtMs < 60_000) {
        cluster.run(20);
      }
      waitsMs.recordValue(cluster.sim.now() - submittedAtMs);
      cluster.run(1000);
    }
    cluster.run(180_000);
    long completedGuestJobs =
        cluster.users.jobs.values().stream().filter(j -> j.team.equals("guest") && j.done).count();
    printRow(
        "guests: %s; %d puts beside %d arrays, %d guests done; arrays' first task"
            .formatted(label, cluster.state.writeCount() - putsBefore, arrays, completedGuestJobs),
        waitsMs);
  }

  private static void submitGuestJob(SimulatedCluster cluster, int taskCount, double runS) {
    cluster.users.submitModifiedArray(
        "guest",
        taskCount,
        runS,
        b -> b.put("rank", "low").put("vcpus", 0.25).put("memoryGb", 0.4));
  }

  private static void printRow(String label, Histogram histogram) {
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        label,
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(90),
        histogram.getValueAtPercentile(99),
        histogram.getMaxValue());
  }

  /**
   * Ends this many machines with everything on them within one second and measures how fast their
   * replicas return.
   */
  private static void measureMachineLoss(int machinesToEnd) {
    SimulatedCluster cluster =
        startCluster(17, new SimulatedCluster.Size(260, 12_000, 3_600_000, 1), 7200);
    cluster.run(60_000);
    List<EmulatedWorker> runningMachines = new ArrayList<>();
    cluster.cloud.machines().stream()
        .filter(m -> m.hasBooted() && !m.isGone())
        .forEach(runningMachines::add);
    int replicasBefore = countRunningReplicas(cluster);
    Set<Integer> chosenIndexes = new HashSet<>();
    while (chosenIndexes.size() < Math.min(machinesToEnd, runningMachines.size())) {
      chosenIndexes.add((int) cluster.sim.between(0, runningMachines.size() - 1));
    }
    chosenIndexes.forEach(
        i ->
            cluster.sim.after(
                cluster.sim.between(0, 1000), () -> runningMachines.get(i).powerOff()));
    long lostAtMs = cluster.sim.now();
    cluster.run(1000);
    int replicasLost = replicasBefore - countRunningReplicas(cluster);
    long halfBackMs = -1;
    long allBackMs = -1;
    double missingReplicaSeconds = 0;
    while (allBackMs < 0 && cluster.sim.now() - lostAtMs < 120_000) {
      cluster.run(250);
      int missing = replicasBefore - countRunningReplicas(cluster);
      missingReplicaSeconds += 0.25 * Math.max(0, missing);
      halfBackMs =
          halfBackMs < 0 && missing <= replicasLost / 2 ? cluster.sim.now() - lostAtMs : halfBackMs;
      allBackMs = missing <= 0 ? cluster.sim.now() - lostAtMs : allBackMs;
    }
    System.out.printf(
        "| %d of %d | %d | %.1f s | %.1f s | %.0f |%n",
        chosenIndexes.size(),
        runningMachines.size(),
        replicasLost,
        halfBackMs / 1000.0,
        allBackMs / 1000.0,
        missingReplicaSeconds);
  }

  private static int countRunningReplicas(SimulatedCluster cluster) {
    int count = 0;
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      if (!machine.isGone()) {
        count +=
            (int) machine.tasks().stream().filter(FailureDetectionTimes::isRunningReplica).count();
      }
    }
    return count;
  }

  private static boolean isRunningReplica(EmulatedTask task) {
    return task.isService() && task.status().equals("running");
  }
}
