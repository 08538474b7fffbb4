package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.leadership.Baton;
import dapplestair.leadership.Leadership;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.Keys;
import dapplestair.state.Outcome;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.work.Report;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All jobs that are not over and all attempts whose absence is not proved. Followers keep the raw
 * records, so that a new leader has them at hand; only the leader builds attempts from them.
 */
public final class Ledger {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  /** What the ledger asks of the other duties. */
  public interface Hooks {
    /** The attempt is recorded: its launch may be sent. */
    void launch(Attempt attempt);

    /** Stop it; {@code windDownS} 0 for at once. */
    void halt(Attempt attempt, double windDownS);

    /** It is told to stop for the first time, for this reason. */
    void stopping(Attempt attempt, StopReason why);

    /** It is proved to be absent, though nobody stopped it and it did not exit. */
    void lost(Attempt attempt);

    /** An exited attempt need not be reported any more. */
    void clear(String host, String key, long number);

    /** A job was accepted. */
    void arrived(Job job);

    /** Room or waiting work has changed. */
    void changed();

    /** A job was withdrawn. */
    void withdrawn(Job job);

    /** A job is over. */
    void ended(String ref, boolean done);

    /** A task runs. */
    void started(Attempt attempt);

    /** A task completed after running this long. */
    void completed(Attempt attempt, Host host, double seconds);

    /** A task failed by itself. */
    void failed(Attempt attempt, Host host);

    /** The machine of this name, known or not. */
    Host host(String id);
  }

  private record Row(JsonNode value, long stamp) {}

  private static final int BYTES_PER_ATTEMPT = 64;

  // Of the state service's puts: what nobody waits for may take no more, however much ends.
  private static final double BOOKKEEPING_SHARE = 0.12;

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final Hooks hooks;
  private final int chunkSize;
  private final double bookkeepingPerS;
  private final long retryMs;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Int2ObjectOpenHashMap<Row>> rows = new HashMap<>();
  private final Map<String, double[]> teamUse = new HashMap<>();
  private final Set<Chunk> gathering = new HashSet<>();
  private long term;
  private boolean building;
  private boolean armed;
  private int orphans;

  /** An empty ledger. */
  public Ledger(
      Clock clock,
      Timers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      Hooks hooks) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.hooks = hooks;
    this.chunkSize = Math.max(1, settings.state().valueBytes() / BYTES_PER_ATTEMPT);
    this.bookkeepingPerS = BOOKKEEPING_SHARE * settings.state().writeRps();
    this.retryMs = settings.workers().reportMs() / 12;
  }

  // ---- what the replica says ----

  /** A job's key has this value. */
  public void jobPut(String ref, JsonNode value, long stamp) {
    Job known = jobs.get(ref);
    if (known != null) {
      known.stamp = stamp;
      return;
    }
    Job job = readJob(value, stamp);
    if (job != null) {
      jobs.put(ref, job);
      // Followers count arrivals too, so that a new leader knows what to expect. What a listing
      // brings at a start is older than that.
      if (clock.wall() - job.acceptedWall() < settings.workers().reportMs()) {
        hooks.arrived(job);
      }
      if (armed) {
        hooks.changed();
      }
    }
  }

  private Job readJob(JsonNode value, long stamp) {
    try {
      return new Job(
          Submission.parse(value.path("job")),
          Json.number(value, "at", 0),
          (int) Json.number(value, "chunk", chunkSize),
          stamp);
    } catch (Submission.Malformed e) {
      LOG.error("a recorded job cannot be read: {}", e.getMessage());
      return null;
    }
  }

  /** The form in which an accepted job is recorded. */
  public ObjectNode record(Submission s) {
    ObjectNode o = Json.object().put("at", clock.wall()).put("chunk", chunkSize);
    o.set("job", s.toJson());
    return o;
  }

  /** The form in which a job that is over is recorded. */
  public ObjectNode overRecord(Job job, String status) {
    return record(job.spec())
        .put("status", status)
        .put("chunk", job.chunkSize())
        .put("at", job.acceptedWall());
  }

  /** A job's key is gone: it was withdrawn or is done. */
  public void jobRemoved(String ref) {
    Job job = jobs.get(ref);
    if (job == null) {
      return;
    }
    if (!building) {
      jobs.remove(ref);
      return;
    }
    if (!job.over && !job.finishing) {
      hooks.withdrawn(job);
    }
    endJob(job);
  }

  private void endJob(Job job) {
    if (job.over) {
      return;
    }
    job.over = true;
    job.finishing = false;
    job.stamp = 0;
    job.overAt = clock.now();
    for (Chunk c : job.chunks.values()) {
      for (Attempt a : List.copyOf(c.live.values())) {
        if (!a.sent() || a.done) {
          dropEnded(a);
        } else {
          halt(a, 0, StopReason.JOB_OVER);
        }
      }
    }
    cleanUp(job);
    hooks.changed();
  }

  private void dropEnded(Attempt a) {
    retire(a);
    if (a.done) {
      hooks.clear(a.host, a.key(), a.number);
    }
  }

  /** A record of attempts has this value. */
  public void runPut(String ref, int chunk, JsonNode value, long stamp) {
    // A leader's own memory is ahead of its records.
    if (!building) {
      rows.computeIfAbsent(ref, r -> new Int2ObjectOpenHashMap<>())
          .put(chunk, new Row(value, stamp));
    }
  }

  /** A record of attempts is gone. */
  public void runRemoved(String ref, int chunk) {
    if (!building) {
      Int2ObjectOpenHashMap<Row> of = rows.get(ref);
      if (of != null) {
        of.remove(chunk);
        if (of.isEmpty()) {
          rows.remove(ref);
        }
      }
    }
  }

  // ---- taking and giving up the lead ----

  /** Builds attempts from the records; launches begin once nothing is unaccounted for. */
  public void lead(long newTerm) {
    term = newTerm;
    building = true;
    List<String> refs = List.copyOf(rows.keySet());
    orphans = 1;
    for (String ref : refs) {
      Job job = jobs.get(ref);
      if (job != null) {
        build(job, rows.get(ref));
      } else {
        orphans++;
        fetchOrphan(newTerm, ref);
      }
    }
    orphanFound();
  }

  /** Attempts of a job that is over still use its team's share: its description is needed. */
  private void fetchOrphan(long forTerm, String ref) {
    state.get(
        Keys.over(ref),
        read -> {
          if (!building || term != forTerm) {
            return;
          }
          Job job = read.exists() ? readJob(read.value(), 0) : null;
          if (job == null) {
            if (read.known()) {
              LOG.error("attempts of {} are recorded, but no such job", ref);
            }
            timers.after(retryMs, () -> fetchOrphan(forTerm, ref));
            return;
          }
          jobs.put(ref, job);
          build(job, rows.get(ref));
          endJob(job);
          orphanFound();
        });
  }

  private void orphanFound() {
    if (--orphans == 0) {
      armed = true;
      rows.clear();
      LOG.info("ledger ready: {} jobs, {} attempts", jobs.size(), attemptCount());
      for (Job job : List.copyOf(jobs.values())) {
        finishIfDone(job);
      }
      hooks.changed();
    }
  }

  private void build(Job job, Int2ObjectOpenHashMap<Row> of) {
    of.forEach(
        (index, row) -> {
          Chunk c = job.chunk(index);
          c.read(
              row.value(),
              row.stamp(),
              (step, number, host, zone, session) -> {
                Attempt a = new Attempt(job, step, number, host, zone, session, clock.now());
                // Its launch may still be on its way from an earlier leader: only a report
                // under a token of this term proves anything about it.
                a.phase = Attempt.Phase.SENT;
                a.neededToken = Baton.of(term, 0);
                enter(c, a);
              });
        });
  }

  /** Forgets everything: the replica will tell it again. */
  public void clear() {
    jobs.clear();
    rows.clear();
    teamUse.clear();
    gathering.clear();
    building = false;
    armed = false;
    term = 0;
  }

  /** True when launches may be planned. */
  public boolean armed() {
    return armed && leadership.leading();
  }

  // ---- views ----

  /** A job that is not over or not cleaned up, or null. */
  public Job job(String ref) {
    return jobs.get(ref);
  }

  /** All such jobs, oldest known first. */
  public Collection<Job> jobs() {
    return jobs.values();
  }

  /** Tasks completed and tasks with an attempt, for display. */
  public int[] counts(Job job) {
    if (building) {
      return new int[] {job.doneCount(), job.liveCount()};
    }
    int[] out = new int[2];
    Int2ObjectOpenHashMap<Row> of = rows.get(job.spec().ref());
    if (of != null) {
      for (Row r : of.values()) {
        out[0] += Chunk.countDone(r.value());
        out[1] += Chunk.countLive(r.value());
      }
    }
    return out;
  }

  /** A job's attempts whose absence is not proved; only a leader has them. */
  public List<Attempt> attempts(Job job) {
    List<Attempt> out = new ArrayList<>();
    job.chunks.values().forEach(c -> out.addAll(c.live.values()));
    return out;
  }

  /** Up to {@code most} of a job's attempts at steps from {@code from} on, by step. */
  public List<Attempt> attempts(Job job, int from, int most) {
    List<Attempt> out = new ArrayList<>();
    int first = from / job.chunkSize();
    for (Chunk c : job.chunks.tailMap(first).values()) {
      c.live.values().stream().filter(a -> a.step >= from).forEach(out::add);
      if (out.size() >= most) {
        break;
      }
    }
    out.sort(Comparator.comparingInt(a -> a.step));
    return out.subList(0, Math.min(most, out.size()));
  }

  /** Attempts whose absence is not proved. */
  public int attemptCount() {
    return jobs.values().stream().mapToInt(Job::held).sum();
  }

  /** CPUs that a team's attempts use. */
  public double teamCpus(String team) {
    double[] u = teamUse.get(team);
    return u == null ? 0 : u[0];
  }

  /** Accelerators that a team's attempts use. */
  public double teamGpus(String team) {
    double[] u = teamUse.get(team);
    return u == null ? 0 : u[1];
  }

  // ---- the door ----

  /** True when the team has room for one more task of this size. */
  public boolean teamAllows(Submission s) {
    return teamAllows(s, 1);
  }

  /** True when the team has room for so many more tasks of this size. */
  public boolean teamAllows(Submission s, int tasks) {
    Settings.Team team = settings.teams().get(s.team());
    if (team == null) {
      return false;
    }
    double[] u = teamUse.getOrDefault(s.team(), new double[2]);
    return (team.cpusMax() <= 0 || u[0] + tasks * s.cpus() <= team.cpusMax() + 1e-6)
        && (team.gpusMax() <= 0 || u[1] + tasks * s.gpus() <= team.gpusMax() + 1e-6);
  }

  /** How many more tasks of this size the team's limit, or its guarantee, has room for. */
  public int teamRoom(Submission s, boolean withinGuarantee) {
    Settings.Team team = settings.teams().get(s.team());
    double most = team == null ? 0 : withinGuarantee ? team.cpus() : team.cpusMax();
    if (team != null && most <= 0 && !withinGuarantee) {
      return Integer.MAX_VALUE;
    }
    return (int) Math.max(0, Math.floor((most - teamCpus(s.team())) / s.cpus() + 1e-9));
  }

  /** True when the job's other attempts leave room for one more in this zone. */
  public boolean zoneAllows(Job job, String zone) {
    Submission s = job.spec();
    // Attempts out of reach count as well: they may still be there.
    if (s.apart() && job.inZone(zone) >= s.mostPerZone()) {
      return false;
    }
    return !s.together() || job.held() == 0 || job.inZone(zone) == job.held();
  }

  /** True when the job's rules let one more of its tasks start on this machine now. */
  public boolean mayStart(Job job, Host host) {
    Submission s = job.spec();
    return host.allowed(s) && host.fits(s) && zoneAllows(job, host.zone()) && teamAllows(s);
  }

  /**
   * Plans an attempt, the only way in which a launch begins. Whoever proposes it, it is refused
   * here unless every rule holds in the latest view.
   */
  public boolean launch(Job job, int step, Host host) {
    if (!armed() || job.over() || host.closed() || !mayStart(job, host)) {
      return false;
    }
    Chunk c = job.chunkOf(step);
    // An earlier attempt without proof of absence may still run somewhere.
    if (!c.free(step) || (job.spec().gang() && !joinsGang(job, step))) {
      return false;
    }
    long number = number(job, c);
    Attempt a = new Attempt(job, step, number, host.id(), host.zone(), host.session(), clock.now());
    enter(c, a);
    dirty(job, c, true);
    return true;
  }

  /** A number that no earlier attempt at this task has; a gang's members share theirs. */
  private static long number(Job job, Chunk c) {
    c.lastNumber = job.spec().gang() ? job.gangNumber : c.lastNumber + 1;
    return c.lastNumber;
  }

  /**
   * Workers let only members with equal numbers meet, so a gang starts as a whole: a member lost
   * later cannot be replaced under the old number, which its lost attempt has used.
   */
  private static boolean joinsGang(Job job, int step) {
    if (job.held == 0) {
      long highest = job.chunks.values().stream().mapToLong(c -> c.lastNumber).max().orElse(0);
      job.gangNumber = highest + 1;
      job.gangSteps.clear();
    }
    return job.gangNumber > 0 && job.gangSteps.add(step);
  }

  private void enter(Chunk c, Attempt a) {
    c.live.put(a.step, a);
    a.job.held++;
    a.job.perZone.addTo(a.zone, 1);
    double[] u = teamUse.computeIfAbsent(a.spec().team(), t -> new double[2]);
    u[0] += a.spec().cpus();
    u[1] += a.spec().gpus();
    hooks.host(a.host).hold(a);
  }

  /** Asks for a stop; repeated by the workers' duty until it is proved. */
  public void halt(Attempt a, double windDownS, StopReason why) {
    if (!a.sent()) {
      retire(a);
      return;
    }
    if (!a.halting) {
      a.haltAt = clock.now();
      hooks.stopping(a, why);
    }
    a.halting = true;
    hooks.halt(a, windDownS);
  }

  /** An attempt stops counting: it has exited, or its absence is proved. */
  private void vacate(Attempt a) {
    if (a.exited) {
      return;
    }
    a.exited = true;
    Job job = a.job;
    if (!a.done) {
      job.keep(a.step, a.keptS(Math.max(a.ranBeforeExitS, a.ranS(clock.now()))));
    }
    job.perZone.addTo(a.zone, -1);
    double[] u = teamUse.get(a.spec().team());
    u[0] -= a.spec().cpus();
    u[1] -= a.spec().gpus();
    hooks.host(a.host).vacate(a, clock.now());
  }

  private void retire(Attempt a) {
    vacate(a);
    Chunk c = a.job.chunkOf(a.step);
    if (c.live.get(a.step) == a) {
      c.live.remove(a.step);
      a.job.held--;
    }
    hooks.host(a.host).forget(a);
    if (a.job.over) {
      cleanUp(a.job);
    } else {
      dirty(a.job, c, false);
    }
    hooks.changed();
  }

  // ---- what workers say ----

  /** Applies a machine's newest report. Returns tasks in it that no attempt accounts for. */
  public List<Report.Task> report(Host host, Report r) {
    List<Report.Task> strays = new ArrayList<>();
    Set<Attempt> seen = new HashSet<>();
    for (Report.Task t : r.tasks()) {
      Attempt a = host.attempt(t.key());
      if (a == null || a.number != t.attempt() || a.session != r.session()) {
        strays.add(t);
      } else {
        seen.add(a);
        seen(host, a, t);
      }
    }
    for (Attempt a : List.copyOf(host.attempts())) {
      if (!seen.contains(a) && provedAbsent(a, r)) {
        if (a.done) {
          continue;
        }
        LOG.debug("{} try {} is not on {} any more", a.key(), a.number, host.id());
        absent(a);
      }
    }
    return armed ? strays : List.of();
  }

  private static boolean provedAbsent(Attempt a, Report r) {
    // A later session has killed all that the earlier one ran, and refuses launches meant for it.
    if (r.session() > a.session) {
      return true;
    }
    // Otherwise the report must come after the last moment at which a launch could be executed.
    return a.sent() && r.session() == a.session && r.token() >= a.neededToken;
  }

  private void seen(Host host, Attempt a, Report.Task t) {
    if (!a.sent()) {
      // Recorded but not sent cannot be there; an earlier life of this record can.
      a.phase = Attempt.Phase.SENT;
    }
    a.neededToken = 0;
    if (a.status != t.status()) {
      long now = clock.now();
      if (a.status == Report.Status.RUNNING) {
        a.ranBeforeExitS = a.ranS(now);
      }
      a.status = t.status();
      a.statusAt = now;
      if (t.status() == Report.Status.RUNNING) {
        hooks.started(a);
        host.imageSeen(a.spec().image(), now);
      } else if (t.status() == Report.Status.EXITED) {
        exited(host, a, t);
      }
    }
  }

  private void exited(Host host, Attempt a, Report.Task t) {
    String cause = t.cause();
    LOG.debug("{} try {} exited on {}: {}", a.key(), a.number, host.id(), cause);
    Chunk c = a.job.chunkOf(a.step);
    if (cause.equals("done") && !a.spec().service()) {
      a.done = true;
      vacate(a);
      c.done.set(a.step - c.from);
      hooks.completed(a, host, a.ranBeforeExitS);
      if (a.job.over) {
        dropEnded(a);
      } else if (!finishIfDone(a.job)) {
        // Recorded before it is cleared: until then the report is the only proof.
        dirty(a.job, c, false);
      }
      hooks.changed();
      return;
    }
    if (cause.equals("error")) {
      a.job.failedOn.addTo(host.id(), 1);
      hooks.failed(a, host);
    } else if (cause.equals("unknown") || cause.equals("busy")) {
      holdBack(a.job, settings.workers().reportMs() / 3);
    }
    if (t.stored()) {
      a.job.keep(a.step, a.ranBeforeExitS - a.keptS(a.ranBeforeExitS));
    }
    retire(a);
    hooks.clear(a.host, a.key(), a.number);
  }

  /** Keeps a job from starting tasks for a while. */
  public void holdBack(Job job, long ms) {
    job.heldBackUntil = Math.max(job.heldBackUntil, clock.now() + ms);
    timers.after(ms + 1, hooks::changed);
  }

  /** True when a task of this job failed on this machine. */
  public boolean failedOn(Job job, Host host) {
    return job.failedOn.containsKey(host.id());
  }

  /** On how many machines this job failed. */
  public int failedMachines(Job job) {
    return job.failedOn.size();
  }

  /** Doubles the pause of a job that fails wherever it runs. */
  public void backOff(Job job, long firstMs, long mostMs) {
    job.backoffMs = Math.min(mostMs, Math.max(firstMs, job.backoffMs * 2));
    holdBack(job, job.backoffMs);
  }

  /** The machine is proved to be gone, or its lease to have run out: so is all that was on it. */
  public void allAbsent(Host host) {
    for (Attempt a : List.copyOf(host.attempts())) {
      absent(a);
    }
  }

  private void absent(Attempt a) {
    if (a.sent() && !a.exited && !a.halting && !a.job.over) {
      hooks.lost(a);
    }
    retire(a);
  }

  // ---- records ----

  private void dirty(Job job, Chunk c, boolean urgent) {
    if (!building) {
      return;
    }
    c.dirty = true;
    c.urgent |= urgent;
    if (c.inFlight) {
      return;
    }
    // Both may be queued for one chunk: launches must not wait behind a put that nobody waits for.
    if (urgent && !c.launchQueued) {
      c.launchQueued = true;
      timers.after(0, () -> enqueue(job, c, Priority.LAUNCH));
    } else if (!urgent && gathering.add(c)) {
      timers.after(gatherMs(), () -> enqueue(job, c, Priority.BOOKKEEPING));
    }
  }

  private void again(Job job, Chunk c) {
    if (c.dirty && !job.over()) {
      dirty(job, c, c.urgent);
    }
  }

  /**
   * How long ends are gathered into one put: the longer the more jobs have some, so that the puts
   * for them stay within their share. A completion need only be recorded before it is cleared.
   */
  private long gatherMs() {
    long least = settings.workers().reportMs() / 8;
    long paced = Math.round(1000 * gathering.size() / bookkeepingPerS);
    return Math.max(least, Math.min(paced, settings.workers().leaseMs() / 2));
  }

  /** What one put of a chunk carries. */
  private static final class Flush {
    boolean built;
    final List<Attempt> planned = new ArrayList<>();
    final List<Attempt> completed = new ArrayList<>();
  }

  private void enqueue(Job job, Chunk c, Priority priority) {
    Flush flush = new Flush();
    long flushTerm = term;
    state.commit(
        1,
        () -> term == flushTerm ? put(job, c, priority, flush) : null,
        priority,
        settings.workers().reportMs(),
        outcome -> {
          if (!building || term != flushTerm) {
            return;
          }
          if (!flush.built) {
            unqueued(c, priority);
            timers.after(retryMs, () -> again(job, c));
            return;
          }
          c.inFlight = false;
          written(job, c, Keys.run(job.spec().ref(), c.index), outcome, flush);
        });
  }

  private void unqueued(Chunk c, Priority priority) {
    if (priority == Priority.LAUNCH) {
      c.launchQueued = false;
    } else {
      gathering.remove(c);
    }
  }

  /** The put of a chunk as it is now, or null when there is none to make. */
  private Txn put(Job job, Chunk c, Priority priority, Flush flush) {
    unqueued(c, priority);
    if (!building || c.inFlight || !c.dirty || job.over() || !leadership.leading()) {
      return null;
    }
    flush.built = true;
    c.inFlight = true;
    c.dirty = false;
    c.urgent = false;
    for (Attempt a : c.live.values()) {
      if (a.phase == Attempt.Phase.PLANNED) {
        flush.planned.add(a);
      }
      if (a.done) {
        flush.completed.add(a);
      }
    }
    // The job's own stamp: nothing starts for a job that was withdrawn meanwhile.
    String ref = job.spec().ref();
    String key = Keys.run(ref, c.index);
    return leadership
        .guard(new Txn())
        .when(key, c.stamp)
        .when(Keys.job(ref), job.stamp)
        .put(key, c.toJson());
  }

  private void written(Job job, Chunk c, String key, Outcome outcome, Flush flush) {
    List<Attempt> planned = flush.planned;
    if (outcome instanceof Outcome.Applied applied) {
      c.stamp = applied.stamp();
      if (job.over) {
        cleanUp(job);
        return;
      }
      for (Attempt a : planned) {
        if (c.live.get(a.step) == a && a.phase == Attempt.Phase.PLANNED) {
          a.phase = Attempt.Phase.COMMITTED;
          hooks.launch(a);
        }
      }
      for (Attempt a : flush.completed) {
        if (c.live.get(a.step) == a) {
          c.live.remove(a.step);
          job.held--;
          hooks.host(a.host).forget(a);
          hooks.clear(a.host, a.key(), a.number);
        }
      }
      if (!finishIfDone(job)) {
        again(job, c);
      }
      return;
    }
    c.dirty = true;
    c.urgent |= !planned.isEmpty();
    if (outcome instanceof Outcome.Conflict conflict) {
      if (conflict.failed().contains(Keys.LEADER)) {
        leadership.guardFailed();
        return;
      }
      if (conflict.failed().contains(Keys.job(job.spec().ref()))) {
        // Withdrawn: the replica will say so; what was not sent never will be.
        for (Attempt a : planned) {
          if (c.live.get(a.step) == a && !a.sent()) {
            retire(a);
          }
        }
        return;
      }
    }
    if (outcome instanceof Outcome.Conflict || outcome instanceof Outcome.Unknown) {
      readBack(job, c, key);
    } else {
      timers.after(retryMs, () -> again(job, c));
    }
  }

  /**
   * An unanswered write may have been applied, or may be later. Each write is conditional on the
   * stamp of the one before, so once a newer one has succeeded, the lost one cannot follow.
   */
  private void readBack(Job job, Chunk c, String key) {
    long readTerm = term;
    c.inFlight = true;
    state.get(
        key,
        read -> {
          if (!building || term != readTerm) {
            return;
          }
          c.inFlight = false;
          if (read.known()) {
            c.stamp = read.stamp();
          }
          if (job.over) {
            cleanUp(job);
          } else {
            timers.after(read.known() ? 0 : retryMs, () -> again(job, c));
          }
        });
  }

  private boolean finishIfDone(Job job) {
    if (job.over() || !armed || !job.allDone()) {
      return job.over();
    }
    job.finishing = true;
    finish(job);
    return true;
  }

  private void finish(Job job) {
    if (!building || job.over || !leadership.leading()) {
      return;
    }
    List<Chunk> removed = new ArrayList<>();
    long finishTerm = term;
    state.commit(
        2 + job.chunks.size(),
        () -> term == finishTerm && !job.over ? finishing(job, removed) : null,
        Priority.FINISH,
        settings.workers().reportMs(),
        outcome -> {
          if (!building || term != finishTerm) {
            return;
          }
          if (outcome instanceof Outcome.Applied) {
            // Also when the replica was quicker to say that the job's key is gone.
            hooks.ended(job.spec().ref(), true);
          }
          if (!job.over) {
            finished(job, removed, outcome);
          }
        });
  }

  /** The transaction that makes a job done, with the records that it no longer needs. */
  private Txn finishing(Job job, List<Chunk> removed) {
    String ref = job.spec().ref();
    Txn txn =
        leadership
            .guard(new Txn())
            .when(Keys.job(ref), job.stamp)
            .put(Keys.over(ref), overRecord(job, "done"))
            .remove(Keys.job(ref));
    for (Chunk c : job.chunks.values()) {
      if (c.stamp != 0 && !c.inFlight && txn.size() < settings.state().txnOps()) {
        txn.when(Keys.run(ref, c.index), c.stamp).remove(Keys.run(ref, c.index));
        removed.add(c);
      }
    }
    return txn;
  }

  private void finished(Job job, List<Chunk> removed, Outcome outcome) {
    String ref = job.spec().ref();
    if (outcome instanceof Outcome.Applied) {
      removed.forEach(c -> c.stamp = 0);
      endJob(job);
      return;
    }
    if (outcome instanceof Outcome.Conflict conflict) {
      if (conflict.failed().contains(Keys.LEADER)) {
        leadership.guardFailed();
        return;
      }
      if (conflict.failed().contains(Keys.job(ref))) {
        // Withdrawn before, or our own unanswered write was applied: over/ tells which.
        endJob(job);
        return;
      }
      for (Chunk c : removed) {
        if (conflict.failed().contains(Keys.run(ref, c.index))) {
          readBack(job, c, Keys.run(ref, c.index));
        }
      }
    }
    timers.after(retryMs, () -> finish(job));
  }

  /** Deletes the records of a job that is over, each once nothing in it can be running. */
  private void cleanUp(Job job) {
    if (!building) {
      return;
    }
    boolean left = false;
    for (Chunk c : job.chunks.values()) {
      if (!c.empty() || c.stamp != 0 || c.inFlight) {
        left = true;
      }
      if (c.empty() && c.stamp != 0 && !c.inFlight) {
        removeRecord(job, c);
      }
    }
    if (!left) {
      jobs.remove(job.spec().ref(), job);
    }
  }

  private void removeRecord(Job job, Chunk c) {
    c.inFlight = true;
    String key = Keys.run(job.spec().ref(), c.index);
    Txn txn = leadership.guard(new Txn()).when(key, c.stamp).remove(key);
    long removeTerm = term;
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        settings.workers().leaseMs(),
        outcome -> {
          if (!building || term != removeTerm) {
            return;
          }
          c.inFlight = false;
          if (outcome instanceof Outcome.Applied) {
            c.stamp = 0;
            cleanUp(job);
          } else if (outcome instanceof Outcome.Conflict conflict
              && conflict.failed().contains(Keys.LEADER)) {
            leadership.guardFailed();
          } else if (outcome instanceof Outcome.Refused) {
            timers.after(4 * retryMs, () -> cleanUp(job));
          } else {
            c.inFlight = true;
            timers.after(retryMs, () -> readBack(job, c, key));
          }
        });
  }
}
