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
 * How long failures are noticed, measured in the seeded world; started by hand. Times are virtual:
 * they hold what is decided and sent, not what a processor takes.
 */
public final class FailureDetectionTimes {
  private static final int SEEDS = 200;
  private static final int REPLICAS = 120;

  private FailureDetectionTimes() {}

  /** Prints the tables of docs/results.md. */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("on-call")) {
      silent("all stand still for 1.5 leases", n -> n.freeze(SimulatedCluster.LEASE_MS * 3 / 2));
      silent("all without power for 1.5 leases", n -> n.crash(SimulatedCluster.LEASE_MS * 3 / 2));
      guests("none", 0, 0);
      guests("300 single tasks, 7.7 a second", 300, 0);
      guests("one array of 25,000 tasks", 0, 25_000);
      return;
    }
    failover("leader alone ends", false);
    failover("all controllers end, back after 1.5 s", true);
    System.out.println(
        "| machines lost | replicas lost | half back after | all back after | replica s |");
    for (int lost : new int[] {10, 40, 160, 640}) {
      curve(lost);
    }
  }

  private static SimulatedCluster begun(long seed, SimulatedCluster.Size size, int replicas) {
    SimulatedCluster world = new SimulatedCluster(seed, size);
    world.network.lossProbability = 0;
    world.users.submissionsStopped = true;
    for (int i = 0; i < replicas / 6; i++) {
      world.users.submitService("one", 3);
      world.users.submitService("two", 3);
    }
    world.run(40_000);
    return world;
  }

  /** From the end to the first submission accepted and the first task started after it. */
  private static void failover(String what, boolean all) {
    Histogram accepted = new Histogram(60_000, 3);
    Histogram started = new Histogram(60_000, 3);
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              SimulatedCluster world = begun(seed, SimulatedCluster.Size.MEDIUM, REPLICAS);
              long at = world.sim.now();
              if (all) {
                world.nodes.forEach(n -> n.crash(1500));
              } else {
                world.leader().crash(4000);
              }
              int before = world.checker.startCount;
              SimulatedUsers.KnownJob job = world.users.submitArray("one", "high", 4, 5);
              long acceptedAt = 0;
              while ((world.checker.startCount == before || !job.accepted)
                  && world.sim.now() - at < 60_000) {
                world.run(20);
                acceptedAt = acceptedAt == 0 && job.accepted ? world.sim.now() : acceptedAt;
              }
              long startedAt = world.sim.now();
              acceptedAt = acceptedAt == 0 ? startedAt : acceptedAt;
              synchronized (accepted) {
                accepted.recordValue(acceptedAt - at);
                started.recordValue(startedAt - at);
              }
            });
    print(what + ": first accepted", accepted);
    print(what + ": first task started", started);
  }

  /** From the return of all controllers to the first and the last replica that runs again. */
  private static void silent(String what, Consumer<SimulatedCluster.ControllerNode> how) {
    Histogram first = new Histogram(120_000, 3);
    Histogram last = new Histogram(120_000, 3);
    Histogram rented = new Histogram(1000, 3);
    IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .forEach(
            seed -> {
              SimulatedCluster world = begun(seed, SimulatedCluster.Size.MEDIUM, REPLICAS);
              int before = world.cloud.machines().size();
              world.nodes.forEach(how);
              world.run(SimulatedCluster.LEASE_MS * 3 / 2);
              long at = world.sim.now();
              long firstAt = 0;
              while (replicas(world) < REPLICAS && world.sim.now() - at < 120_000) {
                world.run(20);
                firstAt = firstAt == 0 && replicas(world) > 0 ? world.sim.now() : firstAt;
              }
              synchronized (first) {
                first.recordValue(Math.max(0, firstAt - at));
                last.recordValue(world.sim.now() - at);
                rented.recordValue(world.cloud.machines().size() - before);
              }
            });
    print(what + ": first replica back", first);
    print(what + ": last replica back", last);
    print(what + ": machines rented meanwhile", rented);
  }

  /** What guests cost in puts, and how long another team's arrays wait for their first task. */
  private static void guests(String what, int singles, int tasks) {
    SimulatedCluster world = new SimulatedCluster(4, SimulatedCluster.Size.LARGE);
    world.network.lossProbability = 0;
    world.users.submissionsStopped = true;
    world.users.submitService("one", 3);
    world.run(20_000);
    int before = world.state.puts();
    for (int i = 0; i < singles; i++) {
      world.sim.after(i * 130L, () -> guest(world, 1, 20));
    }
    if (tasks > 0) {
      guest(world, tasks, 4);
    }
    Histogram waits = new Histogram(120_000, 3);
    int others = 0;
    for (int i = 0; i < 60; i++) {
      SimulatedUsers.KnownJob job = world.users.submitArray("one", "high", 12, 6);
      others++;
      long at = world.sim.now();
      while (!job.started && world.sim.now() - at < 60_000) {
        world.run(20);
      }
      waits.recordValue(world.sim.now() - at);
      world.run(1000);
    }
    world.run(180_000);
    long done =
        world.users.jobs.values().stream().filter(j -> j.team.equals("guest") && j.done).count();
    print(
        "guests: %s; %d puts beside %d arrays, %d guests done; arrays' first task"
            .formatted(what, world.state.puts() - before, others, done),
        waits);
  }

  private static void guest(SimulatedCluster world, int steps, double runS) {
    world.users.submitModifiedArray(
        "guest", steps, runS, b -> b.put("rank", "low").put("vcpus", 0.25).put("memoryGb", 0.4));
  }

  private static void print(String what, Histogram h) {
    System.out.printf(
        "| %s | %d | %d | %d | %d |%n",
        what,
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(90),
        h.getValueAtPercentile(99),
        h.getMaxValue());
  }

  /** So many machines with all that is on them end in one second. */
  private static void curve(int lost) {
    SimulatedCluster world = begun(17, new SimulatedCluster.Size(260, 12_000, 3_600_000, 1), 7200);
    world.run(60_000);
    List<EmulatedWorker> up = new ArrayList<>();
    world.cloud.machines().stream().filter(m -> m.booted() && !m.gone()).forEach(up::add);
    int before = replicas(world);
    Set<Integer> chosen = new HashSet<>();
    while (chosen.size() < Math.min(lost, up.size())) {
      chosen.add((int) world.sim.between(0, up.size() - 1));
    }
    chosen.forEach(i -> world.sim.after(world.sim.between(0, 1000), () -> up.get(i).end()));
    long at = world.sim.now();
    world.run(1000);
    int missing = before - replicas(world);
    long half = -1;
    long whole = -1;
    double sum = 0;
    while (whole < 0 && world.sim.now() - at < 120_000) {
      world.run(250);
      int now = before - replicas(world);
      sum += 0.25 * Math.max(0, now);
      half = half < 0 && now <= missing / 2 ? world.sim.now() - at : half;
      whole = now <= 0 ? world.sim.now() - at : whole;
    }
    System.out.printf(
        "| %d of %d | %d | %.1f s | %.1f s | %.0f |%n",
        chosen.size(), up.size(), missing, half / 1000.0, whole / 1000.0, sum);
  }

  private static int replicas(SimulatedCluster world) {
    int n = 0;
    for (EmulatedWorker m : world.cloud.machines()) {
      if (!m.gone()) {
        n += (int) m.tasks().stream().filter(FailureDetectionTimes::up).count();
      }
    }
    return n;
  }

  private static boolean up(EmulatedTask t) {
    return t.service() && t.status().equals("running");
  }
}
