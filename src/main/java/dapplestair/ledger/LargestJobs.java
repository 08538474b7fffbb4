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
  private static final int LEAST = 3;
  private static final int PART = 10;

  // Of jobs that are over, so many of a class are remembered: the largest tenth of some thousands.
  private static final int MOST_KEPT = 256;

  private record Size(double cpus, boolean begun, long waitedMs) {}

  private static final class Ended {
    int jobs;
    final PriorityQueue<Size> largest = new PriorityQueue<>(Comparator.comparing(Size::cpus));
  }

  private final Map<String, Ended> byClass = new HashMap<>();

  /** A job is over. One that was cancelled before it began counts for nothing. */
  void ended(String jobClass, Job job, long nowWall) {
    if (!job.begun && !job.allDone()) {
      return;
    }
    Ended ended = byClass.computeIfAbsent(jobClass, c -> new Ended());
    ended.jobs++;
    ended.largest.add(size(job, nowWall));
    if (ended.largest.size() > MOST_KEPT) {
      ended.largest.poll();
    }
  }

  private static Size size(Job job, long nowWall) {
    boolean begun = job.begun || job.doneCount() > 0;
    long waited = begun ? job.begunAfterMs : nowWall - job.askedWall();
    return new Size(cpus(job), begun, waited);
  }

  static double cpus(Job job) {
    return job.spec().taskCount() * job.spec().cpus();
  }

  void clear() {
    byClass.clear();
  }

  /** By class, those that are over and those that are open under the names that they are given. */
  Map<String, JobStatistics.LargestJobStatistics> count(
      Map<String, ? extends Collection<Job>> open, long nowWall) {
    Map<String, JobStatistics.LargestJobStatistics> out = new TreeMap<>();
    byClass.keySet().forEach(c -> out.put(c, count(c, List.of(), nowWall)));
    open.forEach((c, jobs) -> out.put(c, count(c, jobs, nowWall)));
    return out;
  }

  /** The least size of one of the largest of a class. */
  double from(String jobClass, Collection<Job> open, long nowWall) {
    List<Size> largest = largest(jobClass, open, nowWall);
    return largest.isEmpty() ? 0 : largest.get(largest.size() - 1).cpus();
  }

  private List<Size> largest(String jobClass, Collection<Job> open, long nowWall) {
    Ended ended = byClass.getOrDefault(jobClass, new Ended());
    List<Size> all = new ArrayList<>(ended.largest);
    open.forEach(j -> all.add(size(j, nowWall)));
    all.sort(Comparator.comparing(Size::cpus).reversed());
    int most = Math.max(LEAST, (ended.jobs + open.size() + PART - 1) / PART);
    return all.subList(0, Math.min(most, all.size()));
  }

  private JobStatistics.LargestJobStatistics count(
      String jobClass, Collection<Job> open, long nowWall) {
    List<Size> largest = largest(jobClass, open, nowWall);
    return new JobStatistics.LargestJobStatistics(
        largest.size(),
        (int) largest.stream().filter(Size::begun).count(),
        largest.stream().mapToLong(Size::waitedMs).max().orElse(0));
  }
}
