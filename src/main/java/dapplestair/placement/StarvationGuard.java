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
  private static final double NEAR_BOUND_FRACTION = 0.6;

  // Most of the cluster's CPUs that windows hold together.
  private static final double MAX_WINDOW_CPU_SHARE = 0.25;

  // An array begins with this part of its tasks, and past the bound goes on with this one.
  private static final int INITIAL_WINDOW_DIVISOR = 16;
  private static final int OVERDUE_WINDOW_DIVISOR = 8;

  // A replica that has just begun is left alone for this part of the bound.
  private static final int SETTLING_TIME_DIVISOR = 6;

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
  static boolean isCritical(Submission submission) {
    return submission.service() && submission.rank() == Rank.CRITICAL;
  }

  private long ageMs(Job job) {
    return clock.wall() - job.askedWall();
  }

  /** True when a job has waited for so long that its first tasks go before others. */
  boolean isNearBound(Job job) {
    return ageMs(job) > NEAR_BOUND_FRACTION * boundMs;
  }

  /** True when nothing of it runs, has completed or is about to run. */
  static boolean hasNotBegun(Job job) {
    return job.held() == 0 && job.doneCount() == 0;
  }

  /**
   * How many of its tasks at once go first: services, gangs and the largest arrays of each class
   * whole, other arrays by their first.
   */
  private int windowTasks(Job job) {
    Submission submission = job.spec();
    if (submission.service() || submission.gang() || ledger.served().isLarge(job)) {
      return submission.steps();
    }
    int divisor = ageMs(job) > boundMs ? OVERDUE_WINDOW_DIVISOR : INITIAL_WINDOW_DIVISOR;
    return (submission.steps() + divisor - 1) / divisor;
  }

  /** How many more of its tasks go first now; 0 when it has to take its turn. */
  int quota(Job job) {
    if (!isNearBound(job) || job.suspected() || isCritical(job.spec())) {
      return 0;
    }
    boolean mayGoFirst =
        hasNotBegun(job)
            || ageMs(job) > boundMs
            || job.spec().service()
            || ledger.served().isLarge(job);
    return mayGoFirst ? Math.max(0, Math.min(job.waiting(), windowTasks(job) - job.held())) : 0;
  }

  /** True for an attempt that runs in its job's window: nothing but a critical service stops it. */
  boolean isProtectedFromEviction(Attempt attempt) {
    Job job = attempt.job();
    if (job.over() || !isNearBound(job) || isCritical(attempt.spec())) {
      return false;
    }
    if (attempt.spec().service()) {
      return clock.now() - Math.max(attempt.plannedAt(), attempt.statusAt())
          < boundMs / SETTLING_TIME_DIVISOR;
    }
    return job.held() <= windowTasks(job);
  }

  /**
   * Those of the waiting jobs that go first, in their order, and how many tasks of each: those that
   * have not begun before the others, one of each team and class in turn, the one that holds least
   * first, oldest first within each (deficit round robin with a job's window as the quantum).
   *
   * @param clusterCpus of all machines that may be used
   */
  Map<Job, Integer> assignQuotas(List<Job> waitingJobs, double clusterCpus) {
    TreeMap<String, Deque<Job>> jobsByGroup = new TreeMap<>();
    waitingJobs.stream()
        .filter(j -> quota(j) > 0 && ledger.teamAllows(j.spec()))
        .sorted(
            Comparator.comparing((Job j) -> !hasNotBegun(j))
                .thenComparingLong(Job::askedWall)
                .thenComparing(j -> j.spec().ref()))
        .forEach(j -> jobsByGroup.computeIfAbsent(groupKey(j), g -> new ArrayDeque<>()).add(j));
    return jobsByGroup.isEmpty()
        ? Map.of()
        : shareWindows(jobsByGroup, clusterCpus * MAX_WINDOW_CPU_SHARE);
  }

  private Map<Job, Integer> shareWindows(Map<String, Deque<Job>> jobsByGroup, double maxCpus) {
    Object2DoubleOpenHashMap<String> heldCpusByGroup = new Object2DoubleOpenHashMap<>();
    for (Job job : ledger.jobs()) {
      if (!job.over() && job.held() > 0 && isNearBound(job) && !job.spec().service()) {
        heldCpusByGroup.addTo(
            groupKey(job), Math.min(job.held(), windowTasks(job)) * job.spec().cpus());
      }
    }
    double remainingCpus = maxCpus - heldCpusByGroup.values().doubleStream().sum();
    Map<Job, Integer> quotas = new LinkedHashMap<>();
    while (!jobsByGroup.isEmpty()) {
      String group =
          jobsByGroup.keySet().stream()
              .min(Comparator.comparingDouble(heldCpusByGroup::getDouble))
              .orElseThrow();
      Deque<Job> groupJobs = jobsByGroup.get(group);
      Job job = groupJobs.remove();
      int fittingTasks = (int) Math.floor(Math.max(0, remainingCpus) / job.spec().cpus());
      // Whatever the others hold, one job of each team and class begins, and every array with one
      // task: windows may be full for as long as an overload lasts.
      int minTasks = hasNotBegun(job) && !job.spec().service() && !job.spec().gang() ? 1 : 0;
      int allowedTasks =
          heldCpusByGroup.getDouble(group) == 0 ? quota(job) : Math.max(minTasks, fittingTasks);
      int tasks = Math.min(quota(job), allowedTasks);
      if (tasks > 0) {
        quotas.put(job, tasks);
        remainingCpus -= tasks * job.spec().cpus();
        heldCpusByGroup.addTo(group, tasks * job.spec().cpus());
      }
      if (groupJobs.isEmpty() || tasks == 0) {
        jobsByGroup.remove(group);
      }
    }
    return quotas;
  }

  private static String groupKey(Job job) {
    return job.spec().team() + '\n' + job.spec().jobClass();
  }
}
