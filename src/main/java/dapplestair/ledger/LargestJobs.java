package dapplestair.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The largest jobs of each class, by tasks times CPUs: the largest tenth, at least three. By the
 * operators' rule a day has failed if less than half of them is served, or if one of them begins
 * later than its class allows.
 */
final class LargestJobs {
  private static final int MIN_LARGEST_JOBS = 3;
  private static final int JOBS_PER_LARGEST_JOB = 10;

  // The number of ended jobs that are kept for each class, the largest ones: enough for the largest
  // tenth of some thousands.
  private static final int MAX_KEPT_JOBS = 256;

  private record JobSize(double cpus, boolean begun, long waitMs) {}

  private static final class EndedJobs {
    int jobCount;
    final PriorityQueue<JobSize> largest = new PriorityQueue<>(Comparator.comparing(JobSize::cpus));
  }

  private final Map<String, EndedJobs> endedJobsByClass = new HashMap<>();

  /** Adds a job that has ended. One that was cancelled before it began is not counted. */
  void recordEnded(String jobClass, Job job, long nowWallMs) {
    if (!job.hasBegun && !job.allDone()) {
      return;
    }
    EndedJobs ended = endedJobsByClass.computeIfAbsent(jobClass, c -> new EndedJobs());
    ended.jobCount++;
    ended.largest.add(size(job, nowWallMs));
    if (ended.largest.size() > MAX_KEPT_JOBS) {
      ended.largest.poll();
    }
  }

  private static JobSize size(Job job, long nowWallMs) {
    boolean begun = job.hasBegun || job.doneCount() > 0;
    long waitMs = begun ? job.startDelayMs : nowWallMs - job.firstRequestWallMs();
    return new JobSize(cpus(job), begun, waitMs);
  }

  static double cpus(Job job) {
    return job.spec().taskCount() * job.spec().cpus();
  }

  void clear() {
    endedJobsByClass.clear();
  }

  /**
   * Returns statistics by class of the largest ended and open jobs; open jobs are grouped by the
   * class names that the caller gives them.
   */
  Map<String, JobStatistics.LargestJobStatistics> statistics(
      Map<String, ? extends Collection<Job>> openJobsByClass, long nowWallMs) {
    Map<String, JobStatistics.LargestJobStatistics> statisticsByClass = new TreeMap<>();
    endedJobsByClass
        .keySet()
        .forEach(c -> statisticsByClass.put(c, statistics(c, List.of(), nowWallMs)));
    openJobsByClass.forEach((c, jobs) -> statisticsByClass.put(c, statistics(c, jobs, nowWallMs)));
    return statisticsByClass;
  }

  /** Returns the size in CPUs from which a job is one of the largest of its class. */
  double minCpus(String jobClass, Collection<Job> openJobs, long nowWallMs) {
    List<JobSize> largest = largest(jobClass, openJobs, nowWallMs);
    return largest.isEmpty() ? 0 : largest.get(largest.size() - 1).cpus();
  }

  private List<JobSize> largest(String jobClass, Collection<Job> openJobs, long nowWallMs) {
    EndedJobs ended = endedJobsByClass.getOrDefault(jobClass, new EndedJobs());
    List<JobSize> sizes = new ArrayList<>(ended.largest);
    openJobs.forEach(j -> sizes.add(size(j, nowWallMs)));
    sizes.sort(Comparator.comparing(JobSize::cpus).reversed());
    int largestCount =
        Math.max(
            MIN_LARGEST_JOBS,
            (ended.jobCount + openJobs.size() + JOBS_PER_LARGEST_JOB - 1) / JOBS_PER_LARGEST_JOB);
    return sizes.subList(0, Math.min(largestCount, sizes.size()));
  }

  private JobStatistics.LargestJobStatistics statistics(
      String jobClass, Collection<Job> openJobs, long nowWallMs) {
    List<JobSize> largest = largest(jobClass, openJobs, nowWallMs);
    return new JobStatistics.LargestJobStatistics(
        largest.size(),
        (int) largest.stream().filter(JobSize::begun).count(),
        largest.stream().mapToLong(JobSize::waitMs).max().orElse(0));
  }
}
