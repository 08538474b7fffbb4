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
 * The largest jobs of each class, by tasks times CPUs: the largest tenth, three at the least. By
 * the operators' word a day has failed if less than half of them is served, or if one begins later
 * than it may.
 */
final class LargestJobs {
  private static final int MIN_LARGEST_JOBS = 3;
  private static final int JOBS_PER_LARGEST_JOB = 10;

  // Of jobs that are over, so many of a class are remembered: the largest tenth of some thousands.
  private static final int MAX_KEPT_JOBS = 256;

  private record JobSize(double cpus, boolean begun, long waitMs) {}

  private static final class EndedJobs {
    int jobCount;
    final PriorityQueue<JobSize> largest = new PriorityQueue<>(Comparator.comparing(JobSize::cpus));
  }

  private final Map<String, EndedJobs> endedJobsByClass = new HashMap<>();

  /** A job is over. One that was cancelled before it began counts for nothing. */
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
    return job.spec().steps() * job.spec().cpus();
  }

  void clear() {
    endedJobsByClass.clear();
  }

  /** By class, those that are over and those that are open under the names that they are given. */
  Map<String, JobStatistics.LargestJobStatistics> count(
      Map<String, ? extends Collection<Job>> openJobsByClass, long nowWallMs) {
    Map<String, JobStatistics.LargestJobStatistics> statisticsByClass = new TreeMap<>();
    endedJobsByClass
        .keySet()
        .forEach(c -> statisticsByClass.put(c, count(c, List.of(), nowWallMs)));
    openJobsByClass.forEach((c, jobs) -> statisticsByClass.put(c, count(c, jobs, nowWallMs)));
    return statisticsByClass;
  }

  /** The least size of one of the largest of a class. */
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

  private JobStatistics.LargestJobStatistics count(
      String jobClass, Collection<Job> openJobs, long nowWallMs) {
    List<JobSize> largest = largest(jobClass, openJobs, nowWallMs);
    return new JobStatistics.LargestJobStatistics(
        largest.size(),
        (int) largest.stream().filter(JobSize::begun).count(),
        largest.stream().mapToLong(JobSize::waitMs).max().orElse(0));
  }
}
