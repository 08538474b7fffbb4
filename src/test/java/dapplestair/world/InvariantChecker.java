package dapplestair.world;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.TaskObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * Checks the rules of the protocol on what the emulated components do and on the answers to users,
 * independently of the code under test.
 */
final class InvariantChecker implements TaskObserver {
  private final SimulatedCluster cluster;
  private final Set<String> completedTasks = new HashSet<>();
  // Jobs whose cancellation was confirmed, in the order of confirmation.
  private final ArrayDeque<SimulatedUsers.KnownJob> confirmedCancellations = new ArrayDeque<>();
  int startCount;
  final Map<String, Integer> startsByMachine = new HashMap<>();

  /** Stops by command, by job class. */
  final Map<String, Integer> stopsByClass = new HashMap<>();

  // Replicas that were stopped by choice and do not run again yet, by team; and the maximum number
  // of them at the same time.
  private final Map<String, Set<String>> stoppedReplicas = new HashMap<>();
  final Map<String, Integer> maxStoppedReplicas = new HashMap<>();

  /** CPU seconds of array work that were lost because tasks stopped before saving, by team. */
  final Map<String, Double> lostCpuSeconds = new HashMap<>();

  /** Maximum number of replicas of a team stopped by choice; null disables the check. */
  ToIntFunction<String> teamDisruptionBudget;

  /** Maximum number of replicas of one job that may be stopped by choice. */
  int jobDisruptionBudget = 1;

  /** Number of task starts after the cancellation of the job was confirmed to its user. */
  int startsAfterCancellation;

  /** Number of cancelled tasks that were still on a suspended machine when it resumed. */
  int resumedAfterCancellation;

  /**
   * Maximum number of commands with starts that one machine may refuse as full within four report
   * intervals.
   */
  private static final int MAX_REFUSED_COMMANDS = 10;

  private static final long REFUSAL_WINDOW_MS = 4 * SimulatedCluster.REPORT_INTERVAL_MS;

  // Times at which each machine refused starts as full.
  private final Map<String, ArrayDeque<Long>> refusalTimes = new HashMap<>();

  String violation;

  /** Called with the key of each task that completes, at the moment it completes on its machine. */
  Consumer<String> completionListener = key -> {};

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void reportViolation(String description) {
    if (violation == null) {
      violation = "at " + cluster.sim.now() + " ms: " + description;
    }
  }

  @Override
  public void completed(String key) {
    completedTasks.add(key);
    cluster.users.jobs.get(jobRef(key)).taskCompleted(key);
    completionListener.accept(key);
  }

  boolean hasCompleted(String key) {
    return completedTasks.contains(key);
  }

  static String jobRef(String key) {
    return key.substring(0, key.indexOf('/'));
  }

  /** Checks the rules for starts; the task is already running on {@code worker}. */
  @Override
  public void started(EmulatedWorker worker, EmulatedTask task) {
    startCount++;
    SimulatedUsers.KnownJob job = cluster.users.jobs.get(jobRef(task.key()));
    job.started = true;
    job.starts++;
    job.taskStarted(task.key(), cluster.sim.now());
    startsByMachine.merge(worker.id(), 1, Integer::sum);
    stoppedReplicas.values().forEach(out -> out.remove(task.key()));
    if (job.aborted) {
      // A start within the cancellation deadline breaks no rule; it is only counted.
      startsAfterCancellation++;
      checkCancellationDeadline(job, task, "starts on " + worker.id());
    }
    double teamCpus = 0;
    Map<String, Integer> perZone = new HashMap<>();
    int copies = 0;
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      for (EmulatedTask otherTask : machine.tasks()) {
        if (machine.isGone() || !otherTask.isOnMachine()) {
          continue;
        }
        SimulatedUsers.KnownJob other = cluster.users.jobs.get(jobRef(otherTask.key()));
        if (other.body.path("owner").equals(job.body.path("owner"))) {
          teamCpus += other.cpus;
        }
        if (otherTask.key().equals(task.key())) {
          copies++;
        }
        if (other == job) {
          perZone.merge(machine.zone(), 1, Integer::sum);
        }
      }
    }
    if (copies > 1) {
      reportViolation("ran_twice: " + task.key() + " started on " + worker.id());
    }
    if (!job.team.equals("guest") && teamCpus > cluster.size.maxTeamCpus() + 1e-6) {
      reportViolation("quota: " + teamCpus + " CPUs of " + job.body.path("owner"));
    }
    String zone = job.body.path("basin").asText(worker.zone());
    if (!zone.equals(worker.zone())) {
      reportViolation("wrong_place: " + task.key() + " in " + worker.zone() + ", not in " + zone);
    }
    if (!job.allowsType(worker.type())) {
      reportViolation("wrong_place: " + task.key() + " on a machine of type " + worker.type());
    }
    if (worker.isSpot() && !job.body.path("loaners").asBoolean()) {
      reportViolation("wrong_place: " + task.key() + " on a spot machine");
    }
    if (job.body.path("apart").asBoolean()
        && perZone.get(worker.zone()) > (job.taskCount + 1) / 2) {
      reportViolation(
          "wrong_place: " + task.key() + " exceeds its job's share of zone " + worker.zone());
    }
    if (job.body.path("together").asBoolean() && perZone.size() > 1) {
      reportViolation(
          "wrong_place: " + task.key() + " runs in another zone than other tasks of its job");
    }
  }

  private void checkCancellationDeadline(
      SimulatedUsers.KnownJob job, EmulatedTask task, String description) {
    if (cluster.sim.now() > job.abortedAtMs + SimulatedCluster.CANCEL_DEADLINE_MS) {
      reportViolation("ran_cancelled: " + task.key() + " " + description);
    }
  }

  @Override
  public void resumed(EmulatedWorker worker) {
    for (EmulatedTask otherTask : worker.tasks()) {
      SimulatedUsers.KnownJob job = cluster.users.jobs.get(jobRef(otherTask.key()));
      if (!worker.isGone() && otherTask.isOnMachine() && job.aborted) {
        resumedAfterCancellation++;
        checkCancellationDeadline(job, otherTask, "resumes after " + worker.id() + " hung");
      }
    }
  }

  /** Runs after each event. {@link #started} detects starts after a cancellation deadline. */
  void check() {
    while (!confirmedCancellations.isEmpty()
        && confirmedCancellations.peek().abortedAtMs + SimulatedCluster.CANCEL_DEADLINE_MS
            < cluster.sim.now()) {
      checkNoTaskRemains(confirmedCancellations.poll());
    }
    if (cluster.state.violation() != null) {
      reportViolation(cluster.state.violation());
    }
    if (cluster.cloud.violation() != null) {
      reportViolation(cluster.cloud.violation());
    }
  }

  private void checkNoTaskRemains(SimulatedUsers.KnownJob job) {
    for (EmulatedWorker machine : cluster.cloud.machines()) {
      for (EmulatedTask otherTask : machine.tasks()) {
        if (!machine.isGone()
            && otherTask.isOnMachine()
            && jobRef(otherTask.key()).equals(job.ref)) {
          reportViolation("ran_cancelled: " + otherTask.key() + " on " + machine.id());
        }
      }
    }
  }

  /** Checks disruption budgets against what machines did, not what controllers count. */
  @Override
  public void stopped(EmulatedWorker worker, EmulatedTask task) {
    SimulatedUsers.KnownJob job = cluster.users.jobs.get(jobRef(task.key()));
    if (job == null || job.cancelRequested) {
      return;
    }
    job.taskStopped(task.key(), cluster.sim.now());
    stopsByClass.merge(job.jobClass, 1, Integer::sum);
    if (!job.service) {
      double ranS = task.runTimeS(cluster.sim.now());
      double saveIntervalS = job.body.path("snapshotEveryS").asDouble();
      lostCpuSeconds.merge(
          job.team, job.cpus * (saveIntervalS > 0 ? ranS % saveIntervalS : ranS), Double::sum);
      return;
    }
    Set<String> teamStopped = stoppedReplicas.computeIfAbsent(job.team, t -> new HashSet<>());
    if (!teamStopped.add(task.key())) {
      return;
    }
    teamStopped.removeIf(key -> cluster.users.jobs.get(jobRef(key)).cancelRequested);
    maxStoppedReplicas.merge(job.team, teamStopped.size(), Math::max);
    long jobStopped = teamStopped.stream().filter(key -> jobRef(key).equals(job.ref)).count();
    if (teamDisruptionBudget != null
        && (teamStopped.size() > teamDisruptionBudget.applyAsInt(job.team)
            || jobStopped > jobDisruptionBudget)) {
      reportViolation(
          "budget: "
              + job.team
              + " has "
              + teamStopped.size()
              + " replicas stopped by choice: "
              + teamStopped);
    }
  }

  /** Checks that a start refused as full is not retried on the same machine again and again. */
  @Override
  public void refusedAsFull(EmulatedWorker worker, EmulatedTask task) {
    long now = cluster.sim.now();
    ArrayDeque<Long> times = refusalTimes.computeIfAbsent(worker.id(), id -> new ArrayDeque<>());
    if (times.isEmpty() || times.peekLast() < now) {
      times.add(now);
    }
    while (now - times.peek() > REFUSAL_WINDOW_MS) {
      times.poll();
    }
    if (times.size() > MAX_REFUSED_COMMANDS) {
      reportViolation(
          "refused: "
              + times.size()
              + " commands with starts refused as full on "
              + worker.id()
              + ", "
              + task.key());
    }
  }

  /**
   * Counts a returned task as a stop by choice only if its machine was answered recently: a machine
   * that has been silent for longer is given up as failed, not chosen.
   */
  @Override
  public void releasedWithTask(EmulatedWorker worker, EmulatedTask task) {
    if (worker.sinceAnsweredReportMs() < 3 * SimulatedCluster.REPORT_INTERVAL_MS / 2) {
      stopped(worker, task);
    }
  }

  /** Counts of accepted, started and completed jobs of one class or one team. */
  static final class JobTally {
    int jobs;
    int accepted;
    int started;
    int dueToComplete;
    int done;

    private void add(SimulatedUsers.KnownJob job) {
      jobs++;
      if (!job.accepted) {
        return;
      }
      accepted++;
      started += job.started ? 1 : 0;
      // A job that its user cancelled need not complete.
      dueToComplete += job.service || job.aborted ? 0 : 1;
      done += job.done ? 1 : 0;
    }

    boolean isHalfServed() {
      return 2 * accepted >= jobs && 2 * started >= accepted && 2 * done >= dueToComplete;
    }

    @Override
    public String toString() {
      return "accepted %d/%d, started %d, done %d/%d"
          .formatted(accepted, jobs, started, done, dueToComplete);
    }
  }

  /** Returns tallies by class and by team, from the answers to users and from what machines ran. */
  Map<String, JobTally> jobTallies() {
    Map<String, JobTally> tallies = new TreeMap<>();
    for (SimulatedUsers.KnownJob job : cluster.users.jobs.values()) {
      tallies.computeIfAbsent("class " + job.jobClass, k -> new JobTally()).add(job);
      tallies.computeIfAbsent("team " + job.team, k -> new JobTally()).add(job);
    }
    return tallies;
  }

  /** Time within which the largest jobs of each class must begin, as the operators require. */
  static final long MAX_START_WAIT_MS = 240_000;

  /** Returns the largest tenth of the jobs of each class by tasks times CPUs, at least three. */
  Map<String, List<SimulatedUsers.KnownJob>> largestJobsByClass() {
    Map<String, List<SimulatedUsers.KnownJob>> jobsByClass = new TreeMap<>();
    for (SimulatedUsers.KnownJob job : cluster.users.jobs.values()) {
      if (job.accepted && (!job.cancelRequested || job.begunAtMs() >= 0)) {
        jobsByClass.computeIfAbsent(job.jobClass, k -> new ArrayList<>()).add(job);
      }
    }
    jobsByClass.replaceAll(
        (c, jobs) -> {
          jobs.sort(Comparator.comparingDouble(SimulatedUsers.KnownJob::totalCpus).reversed());
          return jobs.subList(0, Math.min(jobs.size(), Math.max(3, (jobs.size() + 9) / 10)));
        });
    return jobsByClass;
  }

  /**
   * Returns the longest time that any of the largest jobs waited for its first task, or has been
   * waiting so far.
   */
  long longestWaitMs() {
    return largestJobsByClass().values().stream()
        .flatMap(List::stream)
        .mapToLong(j -> (j.begunAtMs() >= 0 ? j.begunAtMs() : cluster.sim.now()) - j.submittedAtMs)
        .max()
        .orElse(0);
  }

  private void checkLargestJobs() {
    largestJobsByClass()
        .forEach(
            (c, jobs) -> {
              long begun = jobs.stream().filter(j -> j.begunAtMs() >= 0).count();
              if (2 * begun < jobs.size()) {
                throw new AssertionError(
                    "of the largest jobs of class %s only %d of %d began"
                        .formatted(c, begun, jobs.size()));
              }
            });
    if (longestWaitMs() > MAX_START_WAIT_MS) {
      throw new AssertionError("one of the largest jobs waited for " + longestWaitMs() + " ms");
    }
  }

  /**
   * Fails the run if the largest jobs began too late or too seldom, or if less than half of any one
   * class or team is served.
   */
  void checkHalfServed() {
    checkLargestJobs();
    jobTallies()
        .forEach(
            (group, tally) -> {
              if (!tally.isHalfServed()) {
                throw new AssertionError("less than half of " + group + " is served: " + tally);
              }
            });
  }

  /**
   * Records that a user was told the status of a job. {@code finalStatusWhenAsked} is the final
   * status that users knew when the request was sent, or null.
   */
  void statusReported(SimulatedUsers.KnownJob job, String finalStatusWhenAsked, String status) {
    if (finalStatusWhenAsked != null && !finalStatusWhenAsked.equals(status)) {
      reportViolation("went_back: " + job.ref + " is reported as " + status);
    }
    if (status.equals("aborted")) {
      if (!job.cancelRequested) {
        reportViolation(
            "went_back: " + job.ref + " is reported as aborted, but no user cancelled it");
      }
      if (!job.aborted) {
        job.aborted = true;
        job.abortedAtMs = cluster.sim.now();
        confirmedCancellations.add(job);
      }
    }
    if (status.equals("done")) {
      for (int i = 0; i < job.taskCount; i++) {
        if (!completedTasks.contains(job.ref + "/" + i)) {
          reportViolation(
              "not_done: " + job.ref + " is reported done without completion of task " + i);
        }
      }
      job.done = true;
    }
  }
}
