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

/** The rules of the protocol, checked on the world itself, knowing nothing of the product. */
final class InvariantChecker implements TaskObserver {
  private final SimulatedCluster world;
  private final Set<String> completed = new HashSet<>();
  // In the order in which their users were told.
  private final ArrayDeque<SimulatedUsers.KnownJob> cancelled = new ArrayDeque<>();
  int started;
  final Map<String, Integer> startsOn = new HashMap<>();

  /** Stops by command, by class. */
  final Map<String, Integer> stopsOf = new HashMap<>();

  // Replicas that were stopped by choice and do not run again yet, by team, and the most at once.
  private final Map<String, Set<String>> stopped = new HashMap<>();
  final Map<String, Integer> mostStopped = new HashMap<>();

  /** Work of arrays that was stopped before it was saved. */
  final Map<String, Double> thrownAwayCpuS = new HashMap<>();

  /** How many replicas of a team may be out by choice; nothing is checked without it. */
  ToIntFunction<String> budget;

  /** How many of one job. */
  int jobBudget = 1;

  /** Starts of jobs whose users had been told that they are cancelled. */
  int startsAfterCancellation;

  /** Cancelled tasks that were still there when a machine that hung went on. */
  int resumedAfterCancellation;

  /** Commands with starts that one machine may refuse as full within four report intervals. */
  private static final int MOST_REFUSED = 10;

  private static final long REFUSED_WITHIN_MS = 4 * SimulatedCluster.REPORT_MS;

  // When each machine has refused starts, as full.
  private final Map<String, ArrayDeque<Long>> refusals = new HashMap<>();

  String broken;

  /** Told of each task that completes, on its machine and at that moment. */
  Consumer<String> alsoCompleted = key -> {};

  InvariantChecker(SimulatedCluster world) {
    this.world = world;
  }

  void broken(String what) {
    if (broken == null) {
      broken = "at " + world.sim.now() + " ms: " + what;
    }
  }

  @Override
  public void completed(String key) {
    completed.add(key);
    world.users.told.get(ref(key)).taskCompleted(key);
    alsoCompleted.accept(key);
  }

  boolean hasCompleted(String key) {
    return completed.contains(key);
  }

  static String ref(String key) {
    return key.substring(0, key.indexOf('/'));
  }

  /** A task has just started: it is running on {@code w} already. */
  @Override
  public void started(EmulatedWorker w, EmulatedTask task) {
    started++;
    SimulatedUsers.KnownJob job = world.users.told.get(ref(task.key()));
    job.started = true;
    job.starts++;
    job.taskStarted(task.key(), world.sim.now());
    startsOn.merge(w.id(), 1, Integer::sum);
    stopped.values().forEach(out -> out.remove(task.key()));
    if (job.aborted) {
      // Within the time allowed no rule is broken by it; how many there are is worth knowing.
      startsAfterCancellation++;
      lateAfterCancellation(job, task, "starts on " + w.id());
    }
    double teamCpus = 0;
    Map<String, Integer> perZone = new HashMap<>();
    int copies = 0;
    for (EmulatedWorker m : world.cloud.machines()) {
      for (EmulatedTask t : m.tasks()) {
        if (m.isGone() || !t.isOnMachine()) {
          continue;
        }
        SimulatedUsers.KnownJob other = world.users.told.get(ref(t.key()));
        if (other.body.path("owner").equals(job.body.path("owner"))) {
          teamCpus += other.cpus;
        }
        if (t.key().equals(task.key())) {
          copies++;
        }
        if (other == job) {
          perZone.merge(m.zone(), 1, Integer::sum);
        }
      }
    }
    if (copies > 1) {
      broken("ran_twice: " + task.key() + " started on " + w.id());
    }
    if (!job.team.equals("guest") && teamCpus > world.size.teamLimit() + 1e-6) {
      broken("quota: " + teamCpus + " CPUs of " + job.body.path("owner"));
    }
    String zone = job.body.path("basin").asText(w.zone());
    if (!zone.equals(w.zone())) {
      broken("wrong_place: " + task.key() + " in " + w.zone() + ", not in " + zone);
    }
    if (!job.allowsType(w.type())) {
      broken("wrong_place: " + task.key() + " on a machine of type " + w.type());
    }
    if (w.isSpot() && !job.body.path("loaners").asBoolean()) {
      broken("wrong_place: " + task.key() + " on a spot machine");
    }
    if (job.body.path("apart").asBoolean() && perZone.get(w.zone()) > (job.steps + 1) / 2) {
      broken("wrong_place: " + task.key() + " crowds " + w.zone());
    }
    if (job.body.path("together").asBoolean() && perZone.size() > 1) {
      broken("wrong_place: " + task.key() + " is not with the others");
    }
  }

  private void lateAfterCancellation(SimulatedUsers.KnownJob job, EmulatedTask task, String what) {
    if (world.sim.now() > job.abortedAt + SimulatedCluster.CANCEL_MS) {
      broken("ran_cancelled: " + task.key() + " " + what);
    }
  }

  @Override
  public void resumed(EmulatedWorker w) {
    for (EmulatedTask t : w.tasks()) {
      SimulatedUsers.KnownJob job = world.users.told.get(ref(t.key()));
      if (!w.isGone() && t.isOnMachine() && job.aborted) {
        resumedAfterCancellation++;
        lateAfterCancellation(job, t, "goes on after " + w.id() + " hung");
      }
    }
  }

  /** After each step. What starts later than a job's last moment is caught by its start. */
  void check() {
    while (!cancelled.isEmpty()
        && cancelled.peek().abortedAt + SimulatedCluster.CANCEL_MS < world.sim.now()) {
      gone(cancelled.poll());
    }
    if (world.state.violation() != null) {
      broken(world.state.violation());
    }
    if (world.cloud.violation() != null) {
      broken(world.cloud.violation());
    }
  }

  private void gone(SimulatedUsers.KnownJob job) {
    for (EmulatedWorker m : world.cloud.machines()) {
      for (EmulatedTask t : m.tasks()) {
        if (!m.isGone() && t.isOnMachine() && ref(t.key()).equals(job.ref)) {
          broken("ran_cancelled: " + t.key() + " on " + m.id());
        }
      }
    }
  }

  /** Budgets of disruption are checked on what machines did, not on what the product counts. */
  @Override
  public void stopped(EmulatedWorker w, EmulatedTask task) {
    SimulatedUsers.KnownJob job = world.users.told.get(ref(task.key()));
    if (job == null || job.cancelAsked) {
      return;
    }
    job.taskStopped(task.key(), world.sim.now());
    stopsOf.merge(job.jobClass, 1, Integer::sum);
    if (!job.service) {
      double ranS = task.runTimeS(world.sim.now());
      double every = job.body.path("snapshotEveryS").asDouble();
      thrownAwayCpuS.merge(job.team, job.cpus * (every > 0 ? ranS % every : ranS), Double::sum);
      return;
    }
    Set<String> out = stopped.computeIfAbsent(job.team, t -> new HashSet<>());
    if (!out.add(task.key())) {
      return;
    }
    out.removeIf(key -> world.users.told.get(ref(key)).cancelAsked);
    mostStopped.merge(job.team, out.size(), Math::max);
    long ofJob = out.stream().filter(key -> ref(key).equals(job.ref)).count();
    if (budget != null && (out.size() > budget.applyAsInt(job.team) || ofJob > jobBudget)) {
      broken("budget: " + job.team + " has " + out.size() + " out by choice: " + out);
    }
  }

  /** A start that is refused as full is not tried there again and again. */
  @Override
  public void refusedAsFull(EmulatedWorker w, EmulatedTask task) {
    long now = world.sim.now();
    ArrayDeque<Long> times = refusals.computeIfAbsent(w.id(), id -> new ArrayDeque<>());
    if (times.isEmpty() || times.peekLast() < now) {
      times.add(now);
    }
    while (now - times.peek() > REFUSED_WITHIN_MS) {
      times.poll();
    }
    if (times.size() > MOST_REFUSED) {
      broken("refused: " + times.size() + " commands with starts on " + w.id() + ", " + task.key());
    }
  }

  /** A machine that nobody has heard for a while is given up, not chosen. */
  @Override
  public void releasedWithTask(EmulatedWorker w, EmulatedTask task) {
    if (w.sinceAnsweredReportMs() < 3 * SimulatedCluster.REPORT_MS / 2) {
      stopped(w, task);
    }
  }

  /** What became of the jobs of one class, or of one team. */
  static final class JobTally {
    int jobs;
    int accepted;
    int started;
    int due;
    int done;

    private void add(SimulatedUsers.KnownJob job) {
      jobs++;
      if (!job.accepted) {
        return;
      }
      accepted++;
      started += job.started ? 1 : 0;
      // What its user has cancelled need not complete.
      due += job.service || job.aborted ? 0 : 1;
      done += job.done ? 1 : 0;
    }

    boolean half() {
      return 2 * accepted >= jobs && 2 * started >= accepted && 2 * done >= due;
    }

    @Override
    public String toString() {
      return "accepted %d/%d, started %d, done %d/%d".formatted(accepted, jobs, started, done, due);
    }
  }

  /** By class and by team, from what users were told and what machines ran. */
  Map<String, JobTally> served() {
    Map<String, JobTally> out = new TreeMap<>();
    for (SimulatedUsers.KnownJob job : world.users.told.values()) {
      out.computeIfAbsent("class " + job.jobClass, k -> new JobTally()).add(job);
      out.computeIfAbsent("team " + job.team, k -> new JobTally()).add(job);
    }
    return out;
  }

  /** Within what the largest jobs of each class have to begin, by the operators' letter. */
  static final long BEGIN_MS = 240_000;

  /** The largest tenth of each class by tasks times CPUs, three at the least. */
  Map<String, List<SimulatedUsers.KnownJob>> largest() {
    Map<String, List<SimulatedUsers.KnownJob>> out = new TreeMap<>();
    for (SimulatedUsers.KnownJob job : world.users.told.values()) {
      if (job.accepted && (!job.cancelAsked || job.begunAt() >= 0)) {
        out.computeIfAbsent(job.jobClass, k -> new ArrayList<>()).add(job);
      }
    }
    out.replaceAll(
        (c, jobs) -> {
          jobs.sort(Comparator.comparingDouble(SimulatedUsers.KnownJob::size).reversed());
          return jobs.subList(0, Math.min(jobs.size(), Math.max(3, (jobs.size() + 9) / 10)));
        });
    return out;
  }

  /** The longest that any of the largest jobs waited for its first task, or waits still. */
  long longestWaitMs() {
    return largest().values().stream()
        .flatMap(List::stream)
        .mapToLong(j -> (j.begunAt() >= 0 ? j.begunAt() : world.sim.now()) - j.submittedAt)
        .max()
        .orElse(0);
  }

  private void checkLargest() {
    largest()
        .forEach(
            (c, jobs) -> {
              long begun = jobs.stream().filter(j -> j.begunAt() >= 0).count();
              if (2 * begun < jobs.size()) {
                throw new AssertionError(
                    "of the largest of class %s %d of %d began".formatted(c, begun, jobs.size()));
              }
            });
    if (longestWaitMs() > BEGIN_MS) {
      throw new AssertionError("one of the largest jobs waited for " + longestWaitMs() + " ms");
    }
  }

  /** A day fails, too, if less than half of any one class or team is served. */
  void checkServed() {
    checkLargest();
    served()
        .forEach(
            (who, served) -> {
              if (!served.half()) {
                throw new AssertionError("less than half of " + who + " is served: " + served);
              }
            });
  }

  /** A user was told the state of a job, having been told {@code before} when it asked. */
  void told(SimulatedUsers.KnownJob job, String before, String status) {
    if (before != null && !before.equals(status)) {
      broken("went_back: " + job.ref + " is called " + status);
    }
    if (status.equals("aborted")) {
      if (!job.cancelAsked) {
        broken("went_back: " + job.ref + " is called aborted, but nobody asked");
      }
      if (!job.aborted) {
        job.aborted = true;
        job.abortedAt = world.sim.now();
        cancelled.add(job);
      }
    }
    if (status.equals("done")) {
      for (int i = 0; i < job.steps; i++) {
        if (!completed.contains(job.ref + "/" + i)) {
          broken("not_done: " + job.ref + " lacks task " + i);
        }
      }
      job.done = true;
    }
  }
}
