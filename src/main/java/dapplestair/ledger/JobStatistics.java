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
  private static final int MOST_NAMES = 64;
  private static final long LARGE_KEPT_MS = 1000;
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

    private JobCounts plus(JobCounts count) {
      return new JobCounts(
          accepted + count.accepted, started + count.started, due + count.due, done + count.done);
    }

    /** Share of the accepted jobs that started; 1 without any. */
    public double startedShare() {
      return accepted == 0 ? 1 : started / (double) accepted;
    }

    private double share() {
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
   * @param longestMs the longest wait among them, for their first task or until now
   */
  public record LargestJobStatistics(int jobs, int begun, long longestMs) {
    /** Share of them that began; 1 without any. */
    public double share() {
      return jobs == 0 ? 1 : begun / (double) jobs;
    }

    /** The longest wait, in seconds. */
    public double longestS() {
      return longestMs / 1000.0;
    }
  }

  private final Clock clock;
  private final Collection<Job> open;
  private final LargestJobs largest = new LargestJobs();
  private final Map<String, Double> largeFrom = new HashMap<>();
  private long largeAt;
  private final Map<String, JobCounts> endedByTeam = new HashMap<>();
  private final Map<String, JobCounts> endedByClass = new HashMap<>();

  /** {@code open} shows all jobs that are not cleaned up. */
  JobStatistics(Clock clock, Collection<Job> open) {
    this.clock = clock;
    this.open = open;
  }

  /** A job is over, for this leader the first time. */
  void ended(Job job) {
    JobCounts one = one(job);
    add(endedByTeam, job.spec().team(), one);
    largest.ended(add(endedByClass, job.spec().jobClass(), one), job, clock.wall());
  }

  void clear() {
    endedByTeam.clear();
    endedByClass.clear();
    largest.clear();
    largeFrom.clear();
  }

  private static JobCounts one(Job job) {
    boolean done = job.allDone();
    boolean cancelled = job.over && !done;
    return new JobCounts(
        1,
        job.begun || job.doneCount() > 0 ? 1 : 0,
        job.spec().isService() || cancelled ? 0 : 1,
        done ? 1 : 0);
  }

  /** Under its own name while there are few; returns which. */
  private static String add(Map<String, JobCounts> to, String name, JobCounts one) {
    String key = to.containsKey(name) || to.size() < MOST_NAMES ? name : OTHERS;
    to.merge(key, one, JobCounts::plus);
    return key;
  }

  /** By team, those that are over and those that are open. */
  public Map<String, JobCounts> byTeam() {
    Map<String, JobCounts> out = new TreeMap<>(endedByTeam);
    open.stream().filter(j -> !j.over).forEach(j -> add(out, j.spec().team(), one(j)));
    return out;
  }

  /** The same by class. */
  public Map<String, JobCounts> byClass() {
    Map<String, JobCounts> out = new TreeMap<>(endedByClass);
    open.stream().filter(j -> !j.over).forEach(j -> add(out, j.spec().jobClass(), one(j)));
    return out;
  }

  /** The largest jobs of each class. */
  public Map<String, LargestJobStatistics> largest() {
    return largest.count(openByClass(), clock.wall());
  }

  /** True for one of the largest jobs of its class, as of a moment ago. */
  public boolean isLarge(Job job) {
    long now = clock.now();
    if (now - largeAt > LARGE_KEPT_MS || largeFrom.isEmpty()) {
      largeAt = now;
      largeFrom.clear();
      openByClass()
          .forEach((name, jobs) -> largeFrom.put(name, largest.from(name, jobs, clock.wall())));
    }
    return LargestJobs.cpus(job)
        >= largeFrom.getOrDefault(job.spec().jobClass(), Double.POSITIVE_INFINITY);
  }

  private Map<String, List<Job>> openByClass() {
    Map<String, JobCounts> names = new TreeMap<>(endedByClass);
    Map<String, List<Job>> jobs = new TreeMap<>();
    for (Job job : open) {
      if (!job.over) {
        String name = add(names, job.spec().jobClass(), JobCounts.NONE);
        jobs.computeIfAbsent(name, n -> new ArrayList<>()).add(job);
      }
    }
    return jobs;
  }

  /** The class whose largest jobs waited longest, for a line of the log. */
  public String latest() {
    return largest().entrySet().stream()
        .max(Comparator.comparingLong(e -> e.getValue().longestMs()))
        .map(
            e ->
                "%s %.2f begun, longest wait %.0f s"
                    .formatted(e.getKey(), e.getValue().share(), e.getValue().longestS()))
        .orElse("none");
  }

  /** The few that are served least, for a line of the log. */
  public String least() {
    Map<String, JobCounts> all = new TreeMap<>();
    byTeam().forEach((name, c) -> all.put("team " + name, c));
    byClass().forEach((name, c) -> all.put("class " + name, c));
    return all.entrySet().stream()
        .sorted(Comparator.comparingDouble(e -> e.getValue().share()))
        .limit(4)
        .map(
            e ->
                "%s %.2f/%.2f"
                    .formatted(e.getKey(), e.getValue().startedShare(), e.getValue().doneShare()))
        .collect(Collectors.joining(", "));
  }
}
