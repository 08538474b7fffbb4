package dapplestair.placement;

import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.work.Rank;
import dapplestair.work.Submission;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The bound in the order: whoever has waited for long begins, whatever its size and rank
 * (docs/known.md). All of it follows from what is on record, when a job was asked for and which of
 * its tasks are held, so a new leader decides as the one before did.
 *
 * <p>A job near the bound goes before all but critical services with its first tasks, its window.
 * What runs in the windows of all jobs is a part of the cluster at the most, one job of each team
 * and class apart, and is not stopped to make room. An array that has not begun begins with one
 * task even when that part is used up.
 */
final class StarvationGuard {
  // From this part of the bound on a job begins: what is left is for room to become free.
  private static final double NEAR = 0.6;

  // Most of the cluster's CPUs that windows hold together.
  private static final double SHARE = 0.25;

  // An array begins with this part of its tasks, and past the bound goes on with this one.
  private static final int STARTER = 16;
  private static final int WINDOW = 8;

  // A replica that has just begun is left alone for this part of the bound.
  private static final int SETTLED = 6;

  private final Clock clock;
  private final Ledger ledger;
  private final long boundMs;

  /** {@code boundMs} is within what every job is to begin. */
  StarvationGuard(Clock clock, Ledger ledger, long boundMs) {
    this.clock = clock;
    this.ledger = ledger;
    this.boundMs = boundMs;
  }

  /** True for work that no bound of others may delay. */
  static boolean critical(Submission submission) {
    return submission.isService() && submission.rank() == Rank.CRITICAL;
  }

  private long ageMs(Job job) {
    return clock.wall() - job.askedWall();
  }

  /** True when a job has waited for so long that its first tasks go before others. */
  boolean near(Job job) {
    return ageMs(job) > NEAR * boundMs;
  }

  /** True when nothing of it runs, has completed or is about to run. */
  static boolean idle(Job job) {
    return job.held() == 0 && job.doneCount() == 0;
  }

  /**
   * How many of its tasks at once go first: services, gangs and the largest arrays of each class
   * whole, other arrays by their first.
   */
  private int window(Job job) {
    Submission submission = job.spec();
    if (submission.isService() || submission.isGang() || ledger.served().isLarge(job)) {
      return submission.taskCount();
    }
    int part = ageMs(job) > boundMs ? WINDOW : STARTER;
    return (submission.taskCount() + part - 1) / part;
  }

  /** How many more of its tasks go first now; 0 when it has to take its turn. */
  int quota(Job job) {
    if (!near(job) || job.suspected() || critical(job.spec())) {
      return 0;
    }
    boolean begins =
        idle(job) || ageMs(job) > boundMs || job.spec().isService() || ledger.served().isLarge(job);
    return begins ? Math.max(0, Math.min(job.waiting(), window(job) - job.held())) : 0;
  }

  /** True for an attempt that runs in its job's window: nothing but a critical service stops it. */
  boolean shelters(Attempt attempt) {
    Job job = attempt.job();
    if (job.over() || !near(job) || critical(attempt.spec())) {
      return false;
    }
    if (attempt.spec().isService()) {
      return clock.now() - Math.max(attempt.plannedAt(), attempt.statusAt()) < boundMs / SETTLED;
    }
    return job.held() <= window(job);
  }

  /**
   * Those of the waiting jobs that go first, in their order, and how many tasks of each: those that
   * have not begun before the others, one of each team and class in turn, the one that holds least
   * first, oldest first within each (deficit round robin with a job's window as the quantum).
   *
   * @param cpus of all machines that may be used
   */
  Map<Job, Integer> first(List<Job> waiting, double cpus) {
    TreeMap<String, Deque<Job>> groups = new TreeMap<>();
    waiting.stream()
        .filter(j -> quota(j) > 0 && ledger.teamAllows(j.spec()))
        .sorted(
            Comparator.comparing((Job j) -> !idle(j))
                .thenComparingLong(Job::askedWall)
                .thenComparing(j -> j.spec().ref()))
        .forEach(j -> groups.computeIfAbsent(group(j), g -> new ArrayDeque<>()).add(j));
    return groups.isEmpty() ? Map.of() : take(groups, cpus * SHARE);
  }

  private Map<Job, Integer> take(Map<String, Deque<Job>> groups, double most) {
    Object2DoubleOpenHashMap<String> held = new Object2DoubleOpenHashMap<>();
    for (Job job : ledger.jobs()) {
      if (!job.over() && job.held() > 0 && near(job) && !job.spec().isService()) {
        held.addTo(group(job), Math.min(job.held(), window(job)) * job.spec().cpus());
      }
    }
    double left = most - held.values().doubleStream().sum();
    Map<Job, Integer> out = new LinkedHashMap<>();
    while (!groups.isEmpty()) {
      String next =
          groups.keySet().stream().min(Comparator.comparingDouble(held::getDouble)).orElseThrow();
      Deque<Job> of = groups.get(next);
      Job job = of.remove();
      int fit = (int) Math.floor(Math.max(0, left) / job.spec().cpus());
      // Whatever the others hold, one job of each team and class begins, and every array with one
      // task: windows may be full for as long as an overload lasts.
      int least = idle(job) && !job.spec().isService() && !job.spec().isGang() ? 1 : 0;
      int allowed = held.getDouble(next) == 0 ? quota(job) : Math.max(least, fit);
      int tasks = Math.min(quota(job), allowed);
      if (tasks > 0) {
        out.put(job, tasks);
        left -= tasks * job.spec().cpus();
        held.addTo(next, tasks * job.spec().cpus());
      }
      if (of.isEmpty() || tasks == 0) {
        groups.remove(next);
      }
    }
    return out;
  }

  private static String group(Job job) {
    return job.spec().team() + '\n' + job.spec().jobClass();
  }
}
