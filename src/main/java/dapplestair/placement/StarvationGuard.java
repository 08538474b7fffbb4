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
 * Ensures that every job that has waited for long begins, whatever its size and rank
 * (docs/known.md). Decisions follow from recorded state alone (when a job was requested and which
 * of its tasks are held), so a new leader decides like its predecessor.
 *
 * <p>A job that comes near the waiting bound places its first tasks, its window, before all jobs
 * but critical services. The windows of all jobs together hold at most a share of the cluster,
 * apart from one job of each team and class, and their tasks are not evicted. An array that has not
 * begun starts one task even when that share is used up.
 */
final class StarvationGuard {
  // Fraction of the bound from which a job goes first; the rest of the bound is time for capacity
  // to become free.
  private static final double NEAR_BOUND_FRACTION = 0.6;

  // Maximum share of the cluster's CPUs that all windows hold together.
  private static final double MAX_WINDOW_CPU_SHARE = 0.25;

  // An array's first window is its task count divided by the first number; past the bound its
  // window is the task count divided by the second.
  private static final int INITIAL_WINDOW_DIVISOR = 16;
  private static final int OVERDUE_WINDOW_DIVISOR = 8;

  // A replica is not evicted until it has run for the bound divided by this number.
  private static final int SETTLING_TIME_DIVISOR = 6;

  private final Clock clock;
  private final Ledger ledger;
  private final long boundMs;

  /** Creates a guard; {@code boundMs} is the time within which every job has to begin. */
  StarvationGuard(Clock clock, Ledger ledger, long boundMs) {
    this.clock = clock;
    this.ledger = ledger;
    this.boundMs = boundMs;
  }

  /**
   * Returns whether the job is a critical service, which the waiting bounds of other jobs may not
   * delay.
   */
  static boolean isCritical(Submission submission) {
    return submission.isService() && submission.rank() == Rank.CRITICAL;
  }

  private long ageMs(Job job) {
    return clock.wall() - job.firstRequestWallMs();
  }

  /** Returns whether a job has waited for so long that its first tasks go before other jobs. */
  boolean isNearBound(Job job) {
    return ageMs(job) > NEAR_BOUND_FRACTION * boundMs;
  }

  /** Returns whether no task of the job runs, has completed or is about to run. */
  static boolean hasNotBegun(Job job) {
    return job.heldAttempts() == 0 && job.doneCount() == 0;
  }

  /**
   * Returns how many of the job's tasks go first at once: all tasks of services, gangs and the
   * largest arrays of each class; the first tasks of other arrays.
   */
  private int windowTasks(Job job) {
    Submission submission = job.spec();
    if (submission.isService() || submission.isGang() || ledger.jobStatistics().isLarge(job)) {
      return submission.taskCount();
    }
    int divisor = ageMs(job) > boundMs ? OVERDUE_WINDOW_DIVISOR : INITIAL_WINDOW_DIVISOR;
    return (submission.taskCount() + divisor - 1) / divisor;
  }

  /**
   * Returns how many more of the job's tasks go first now; 0 when the job has to wait for its turn.
   */
  int quota(Job job) {
    if (!isNearBound(job) || job.isSuspected() || isCritical(job.spec())) {
      return 0;
    }
    boolean mayGoFirst =
        hasNotBegun(job)
            || ageMs(job) > boundMs
            || job.spec().isService()
            || ledger.jobStatistics().isLarge(job);
    return mayGoFirst
        ? Math.max(0, Math.min(job.waitingTasks(), windowTasks(job) - job.heldAttempts()))
        : 0;
  }

  /**
   * Returns whether the attempt runs in its job's window. There only a critical service may evict
   * it to make room; a lane's riders may when they find nothing else to evict.
   */
  boolean isProtectedFromEviction(Attempt attempt) {
    Job job = attempt.job();
    if (job.isOver() || !isNearBound(job) || isCritical(attempt.spec())) {
      return false;
    }
    if (attempt.spec().isService()) {
      return clock.now() - Math.max(attempt.plannedAtMs(), attempt.statusSinceMs())
          < boundMs / SETTLING_TIME_DIVISOR;
    }
    return job.heldAttempts() <= windowTasks(job);
  }

  /**
   * Returns the waiting jobs that go first, in their order, with the number of tasks for each. Jobs
   * that have not begun come before the others; one job of each team and class in turn, the group
   * that holds least first, oldest first within each group (deficit round robin with a job's window
   * as the quantum).
   *
   * @param clusterCpus CPUs of all machines that may be used
   */
  Map<Job, Integer> assignQuotas(List<Job> waitingJobs, double clusterCpus) {
    TreeMap<String, Deque<Job>> jobsByGroup = new TreeMap<>();
    waitingJobs.stream()
        .filter(j -> quota(j) > 0 && ledger.teamAllows(j.spec()))
        .sorted(
            Comparator.comparing((Job j) -> !hasNotBegun(j))
                .thenComparingLong(Job::firstRequestWallMs)
                .thenComparing(j -> j.spec().ref()))
        .forEach(j -> jobsByGroup.computeIfAbsent(groupKey(j), g -> new ArrayDeque<>()).add(j));
    return jobsByGroup.isEmpty()
        ? Map.of()
        : shareWindows(jobsByGroup, clusterCpus * MAX_WINDOW_CPU_SHARE);
  }

  private Map<Job, Integer> shareWindows(Map<String, Deque<Job>> jobsByGroup, double maxCpus) {
    Object2DoubleOpenHashMap<String> heldCpusByGroup = new Object2DoubleOpenHashMap<>();
    for (Job job : ledger.jobs()) {
      if (!job.isOver() && job.heldAttempts() > 0 && isNearBound(job) && !job.spec().isService()) {
        heldCpusByGroup.addTo(
            groupKey(job), Math.min(job.heldAttempts(), windowTasks(job)) * job.spec().cpus());
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
      // Whatever the other windows hold, one job of each team and class begins, and every array
      // starts one task: windows may stay full for as long as an overload lasts.
      int minTasks = hasNotBegun(job) && !job.spec().isService() && !job.spec().isGang() ? 1 : 0;
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
