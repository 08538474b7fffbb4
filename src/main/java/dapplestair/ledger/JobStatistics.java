package dapplestair.ledger;

import dapplestair.ports.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Counts what became of the jobs of each team and each class since this controller leads: those
 * that were open then and those accepted since. By the operators' rule a day has failed if less
 * than half of the jobs of any one team or class is served.
 */
public final class JobStatistics {
  // Users name the classes: without a bound their names would fill memory and metrics.
  private static final int MAX_NAMES = 64;
  private static final long MIN_LARGE_CPUS_CACHE_MS = 1000;
  private static final String OTHERS = "others";

  /**
   * The jobs of one team or class.
   *
   * @param accepted jobs that were accepted
   * @param started accepted jobs of which a task was seen to run
   * @param due jobs that must complete: neither services nor cancelled
   * @param done jobs that completed
   */
  public record JobCounts(int accepted, int started, int due, int done) {
    public static final JobCounts NONE = new JobCounts(0, 0, 0, 0);

    private JobCounts plus(JobCounts other) {
      return new JobCounts(
          accepted + other.accepted, started + other.started, due + other.due, done + other.done);
    }

    /** Returns the share of the accepted jobs that started; 1 if there are none. */
    public double startedShare() {
      return accepted == 0 ? 1 : started / (double) accepted;
    }

    private double servedShare() {
      return Math.min(startedShare(), doneShare());
    }

    /** Returns the share of the jobs that must complete that did; 1 if there are none. */
    public double doneShare() {
      return due == 0 ? 1 : done / (double) due;
    }
  }

  /**
   * The largest jobs of a class.
   *
   * @param jobs number of these jobs
   * @param begun how many of them began to run
   * @param longestWaitMs the longest wait among them, until their first task ran or until now
   */
  public record LargestJobStatistics(int jobs, int begun, long longestWaitMs) {
    /** Returns the share of them that began to run; 1 if there are none. */
    public double begunShare() {
      return jobs == 0 ? 1 : begun / (double) jobs;
    }

    /** Returns the longest wait, in seconds. */
    public double longestWaitS() {
      return longestWaitMs / 1000.0;
    }
  }

  private final Clock clock;
  private final Collection<Job> openJobs;
  private final LargestJobs largestJobs = new LargestJobs();
  private final Map<String, Double> minLargeCpusByClass = new HashMap<>();
  private long minLargeCpusComputedAtMs;
  private final Map<String, JobCounts> endedByTeam = new HashMap<>();
  private final Map<String, JobCounts> endedByClass = new HashMap<>();

  /**
   * Creates empty statistics; {@code openJobs} is a view of all jobs whose records are not all
   * removed.
   */
  JobStatistics(Clock clock, Collection<Job> openJobs) {
    this.clock = clock;
    this.openJobs = openJobs;
  }

  /** Counts a job that ended under this leader. */
  void recordEnded(Job job) {
    JobCounts counts = countsOf(job);
    add(endedByTeam, job.spec().team(), counts);
    largestJobs.recordEnded(add(endedByClass, job.spec().jobClass(), counts), job, clock.wall());
  }

  void clear() {
    endedByTeam.clear();
    endedByClass.clear();
    largestJobs.clear();
    minLargeCpusByClass.clear();
  }

  private static JobCounts countsOf(Job job) {
    boolean done = job.allDone();
    boolean cancelled = job.ended && !done;
    return new JobCounts(
        1,
        job.hasBegun || job.doneCount() > 0 ? 1 : 0,
        job.spec().isService() || cancelled ? 0 : 1,
        done ? 1 : 0);
  }

  /**
   * Adds counts under their own name, or under {@link #OTHERS} once there are too many names;
   * returns the name used.
   */
  private static String add(Map<String, JobCounts> countsByName, String name, JobCounts counts) {
    String key = countsByName.containsKey(name) || countsByName.size() < MAX_NAMES ? name : OTHERS;
    countsByName.merge(key, counts, JobCounts::plus);
    return key;
  }

  /** Returns the counts of each team's ended and open jobs. */
  public Map<String, JobCounts> byTeam() {
    Map<String, JobCounts> countsByName = new TreeMap<>(endedByTeam);
    openJobs.stream()
        .filter(j -> !j.ended)
        .forEach(j -> add(countsByName, j.spec().team(), countsOf(j)));
    return countsByName;
  }

  /** Returns the counts of each class's ended and open jobs. */
  public Map<String, JobCounts> byClass() {
    Map<String, JobCounts> countsByName = new TreeMap<>(endedByClass);
    openJobs.stream()
        .filter(j -> !j.ended)
        .forEach(j -> add(countsByName, j.spec().jobClass(), countsOf(j)));
    return countsByName;
  }

  /** Returns the statistics of the largest jobs of each class. */
  public Map<String, LargestJobStatistics> largestJobs() {
    return largestJobs.statistics(openByClass(), clock.wall());
  }

  /**
   * Returns true for one of the largest jobs of its class; the limit is computed at most once a
   * second.
   */
  public boolean isLarge(Job job) {
    long now = clock.now();
    if (now - minLargeCpusComputedAtMs > MIN_LARGE_CPUS_CACHE_MS || minLargeCpusByClass.isEmpty()) {
      minLargeCpusComputedAtMs = now;
      minLargeCpusByClass.clear();
      openByClass()
          .forEach(
              (name, jobs) ->
                  minLargeCpusByClass.put(name, largestJobs.minCpus(name, jobs, clock.wall())));
    }
    return LargestJobs.cpus(job)
        >= minLargeCpusByClass.getOrDefault(job.spec().jobClass(), Double.POSITIVE_INFINITY);
  }

  private Map<String, List<Job>> openByClass() {
    Map<String, JobCounts> knownNames = new TreeMap<>(endedByClass);
    Map<String, List<Job>> jobs = new TreeMap<>();
    for (Job job : openJobs) {
      if (!job.ended) {
        String name = add(knownNames, job.spec().jobClass(), JobCounts.NONE);
        jobs.computeIfAbsent(name, n -> new ArrayList<>()).add(job);
      }
    }
    return jobs;
  }

  /** Returns the class whose largest jobs waited longest, as text for the summary line. */
  public String longestWaitSummary() {
    return largestJobs().entrySet().stream()
        .max(Comparator.comparingLong(e -> e.getValue().longestWaitMs()))
        .map(
            e ->
                "%s %.2f begun, longest wait %.0f s"
                    .formatted(e.getKey(), e.getValue().begunShare(), e.getValue().longestWaitS()))
        .orElse("none");
  }

  /** Returns the four teams or classes that are served worst, as text for the summary line. */
  public String worstServedSummary() {
    Map<String, JobCounts> countsByLabel = new TreeMap<>();
    byTeam().forEach((name, c) -> countsByLabel.put("team " + name, c));
    byClass().forEach((name, c) -> countsByLabel.put("class " + name, c));
    return countsByLabel.entrySet().stream()
        .sorted(Comparator.comparingDouble(e -> e.getValue().servedShare()))
        .limit(4)
        .map(
            e ->
                "%s %.2f/%.2f"
                    .formatted(e.getKey(), e.getValue().startedShare(), e.getValue().doneShare()))
        .collect(Collectors.joining(", "));
  }
}
