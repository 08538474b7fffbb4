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
 * What became of the jobs of each team and each class since this controller leads: those that were
 * open then and those accepted since. By the operators' word a day has failed if less than half of
 * any one of them is served.
 */
public final class JobStatistics {
  // Classes are named by users: without a bound their names would fill memory and metrics.
  private static final int MAX_NAMES = 64;
  private static final long MIN_LARGE_CPUS_CACHE_MS = 1000;
  private static final String OTHERS = "others";

  /**
   * Jobs of one team or class.
   *
   * @param accepted jobs that were accepted
   * @param started those of which a task was seen to run
   * @param due those that are to complete: neither services nor cancelled
   * @param done those that completed
   */
  public record JobCounts(int accepted, int started, int due, int done) {
    /** No jobs. */
    public static final JobCounts NONE = new JobCounts(0, 0, 0, 0);

    private JobCounts plus(JobCounts other) {
      return new JobCounts(
          accepted + other.accepted, started + other.started, due + other.due, done + other.done);
    }

    /** Share of the accepted jobs that started; 1 without any. */
    public double startedShare() {
      return accepted == 0 ? 1 : started / (double) accepted;
    }

    private double servedShare() {
      return Math.min(startedShare(), doneShare());
    }

    /** Share of what is to complete that did; 1 without any. */
    public double doneShare() {
      return due == 0 ? 1 : done / (double) due;
    }
  }

  /**
   * The largest jobs of a class.
   *
   * @param jobs how many they are
   * @param begun those that began
   * @param longestWaitMs the longest wait among them, for their first task or until now
   */
  public record LargestJobStatistics(int jobs, int begun, long longestWaitMs) {
    /** Share of them that began; 1 without any. */
    public double begunShare() {
      return jobs == 0 ? 1 : begun / (double) jobs;
    }

    /** The longest wait, in seconds. */
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

  /** {@code openJobs} shows all jobs that are not cleaned up. */
  JobStatistics(Clock clock, Collection<Job> openJobs) {
    this.clock = clock;
    this.openJobs = openJobs;
  }

  /** A job is over, for this leader the first time. */
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
        job.spec().service() || cancelled ? 0 : 1,
        done ? 1 : 0);
  }

  /** Under its own name while there are few; returns which. */
  private static String add(Map<String, JobCounts> countsByName, String name, JobCounts counts) {
    String key = countsByName.containsKey(name) || countsByName.size() < MAX_NAMES ? name : OTHERS;
    countsByName.merge(key, counts, JobCounts::plus);
    return key;
  }

  /** By team, those that are over and those that are open. */
  public Map<String, JobCounts> byTeam() {
    Map<String, JobCounts> countsByName = new TreeMap<>(endedByTeam);
    openJobs.stream()
        .filter(j -> !j.ended)
        .forEach(j -> add(countsByName, j.spec().team(), countsOf(j)));
    return countsByName;
  }

  /** The same by class. */
  public Map<String, JobCounts> byClass() {
    Map<String, JobCounts> countsByName = new TreeMap<>(endedByClass);
    openJobs.stream()
        .filter(j -> !j.ended)
        .forEach(j -> add(countsByName, j.spec().jobClass(), countsOf(j)));
    return countsByName;
  }

  /** The largest jobs of each class. */
  public Map<String, LargestJobStatistics> largestJobs() {
    return largestJobs.count(openByClass(), clock.wall());
  }

  /** True for one of the largest jobs of its class, as of a moment ago. */
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

  /** The class whose largest jobs waited longest, for a line of the log. */
  public String longestWaitSummary() {
    return largestJobs().entrySet().stream()
        .max(Comparator.comparingLong(e -> e.getValue().longestWaitMs()))
        .map(
            e ->
                "%s %.2f begun, longest wait %.0f s"
                    .formatted(e.getKey(), e.getValue().begunShare(), e.getValue().longestWaitS()))
        .orElse("none");
  }

  /** The few that are served least, for a line of the log. */
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
