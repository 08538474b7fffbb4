package dapplestair.lane;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.disruption.DisruptionGate;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Lane;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Lanes: riders go over batches. Which rider takes which room, and whose tasks go for it, is on
 * record before the first of them is stopped, a put for all claims of a turn; the next leader reads
 * it before it launches anything and carries each claim to its end. Nothing here is a proof: what
 * is stopped is gone when that is proved, as ever.
 */
public final class Lanes implements AutoCloseable {
  private static final int BYTES_PER_CLAIM = 400;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final Map<String, Lane> lanes = new LinkedHashMap<>();
  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final VictimSelector victimSelector;
  private final ClaimWriter writer;

  // What the records say, for whoever leads next.
  private final Map<String, JsonNode> records = new HashMap<>();

  // By lane, while leading.
  private final Map<String, List<OpenClaim>> open = new TreeMap<>();
  private final Set<Host> claimed = new LinkedHashSet<>();
  private final ReserveCapacity reserve = new ReserveCapacity();
  private Runnable changed = () -> {};
  private Cancellable timer = () -> {};
  private long stops;

  /** The lanes of the operators' file; without any, nothing here costs anything. */
  public Lanes(
      Clock clock,
      TermTimers timers,
      Settings settings,
      List<Lane> lanes,
      StateClient state,
      Replica replica,
      Leadership leadership,
      Ledger ledger,
      WorkerManager workers,
      DisruptionGate disruptionGate) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.ledger = ledger;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
    this.victimSelector = new VictimSelector(ledger, workers, disruptionGate);
    this.writer = new ClaimWriter(timers, settings, state, replica, leadership, new Claims());
    lanes.forEach(l -> this.lanes.put(l.name(), l));
  }

  /** {@code change} hears of room that comes; {@code sheltered} attempts go last. */
  public void wire(Runnable change, Predicate<Attempt> sheltered) {
    changed = change;
    victimSelector.shelter(sheltered);
  }

  // ---- what the replica says ----

  /** A lane's key has this value, or is gone. */
  public void recorded(String key, JsonNode value) {
    String name = key.substring(StateKeys.LANE.length());
    if (value == null) {
      records.remove(name);
    } else {
      records.put(name, value);
    }
  }

  /** Forgets all: the replica tells its records again. */
  public void clear() {
    timer.cancel();
    records.clear();
    open.clear();
    claimed.clear();
    writer.clear();
  }

  // ---- leading ----

  /** Goes on with the claims on record; to be called before anything is placed. */
  public void lead() {
    writer.lead();
    if (lanes.isEmpty() && records.isEmpty()) {
      return;
    }
    records.forEach(
        (name, value) -> {
          List<OpenClaim> list = open.computeIfAbsent(name, n -> new ArrayList<>());
          value
              .path("claims")
              .forEach(c -> list.add(new OpenClaim(Claim.parse(c), clock.now(), true)));
        });
    recount();
    tick();
  }

  private void tick() {
    for (String name : List.copyOf(open.keySet())) {
      if (lanes.containsKey(name)) {
        if (prune(name)) {
          writer.write(name, Priority.BOOKKEEPING);
        }
        carryOn(name);
      } else {
        // Removed from the settings meanwhile: its claims end with it.
        open.get(name).clear();
        recount();
        writer.write(name, Priority.BOOKKEEPING);
      }
    }
    timer = timers.after(settings.workers().reportMs() / 12, this::tick);
  }

  /** Drops what is not needed any more. */
  private boolean prune(String name) {
    Lane lane = lanes.get(name);
    Map<String, Integer> needed = new HashMap<>();
    int before = open.get(name).size();
    open.get(name)
        .removeIf(
            o -> {
              Job job = ledger.job(o.claim().ref());
              Host host = workers.known(o.claim().host());
              if (job == null
                  || job.over()
                  || host == null
                  || host.closed() && host.acknowledged()) {
                return true;
              }
              if (o.recorded() && taken(o.claim(), job, host)) {
                return true;
              }
              int left = needed.computeIfAbsent(o.claim().ref(), r -> job.waiting());
              needed.put(o.claim().ref(), left - o.claim().tasks());
              boolean tooLong =
                  clock.now() - o.since()
                      > 2 * (lane.beginWithinMs() + settings.workers().leaseMs());
              return left <= 0 || tooLong;
            });
    boolean dropped = open.get(name).size() < before;
    if (dropped) {
      recount();
      changed.run();
    }
    return dropped;
  }

  /**
   * True when all who had to go are gone, and another rider that was accepted later has their room:
   * as long as this claim stood, no other room would be claimed instead.
   */
  private static boolean taken(Claim claim, Job job, Host host) {
    return !host.fits(job.spec())
        && claim.victims().stream()
            .map(victim -> host.attempt(Claim.key(victim)))
            .allMatch(Objects::isNull);
  }

  /** Stops whoever has to go for claims on record, and at once whoever saves for too long. */
  private void carryOn(String name) {
    Lane lane = lanes.get(name);
    for (OpenClaim openClaim : open.getOrDefault(name, List.of())) {
      Host host = openClaim.recorded() ? workers.known(openClaim.claim().host()) : null;
      if (host == null) {
        continue;
      }
      for (String victim : openClaim.claim().victims()) {
        Attempt attempt = host.attempt(Claim.key(victim));
        if (attempt != null && attempt.number() == Claim.number(victim) && !attempt.exited()) {
          stop(lane, attempt);
        }
      }
    }
  }

  private void stop(Lane lane, Attempt attempt) {
    if (!attempt.halting()) {
      stops++;
      disruptionGate.stopForRider(attempt, lane.windDownS(attempt.spec()));
    } else if (attempt.windDownS() > 0 && clock.now() - attempt.haltAt() > lane.beginWithinMs()) {
      disruptionGate.stopForRider(attempt, 0);
    }
  }

  // ---- asked by placement ----

  /** True when any lane is set. */
  public boolean any() {
    return !lanes.isEmpty();
  }

  /** True for a job that rides. */
  public boolean rides(Submission submission) {
    return lane(submission) != null;
  }

  private Lane lane(Submission submission) {
    for (Lane lane : lanes.values()) {
      if (lane.rides(submission)) {
        return lane;
      }
    }
    return null;
  }

  /** True when this machine is claimed by riders, and this job is none. */
  public boolean keptFrom(Submission submission, Host host) {
    return !claimed.isEmpty() && claimed.contains(host) && !rides(submission);
  }

  /** A turn of placing begins: {@code free} machines may be used. */
  public void begin(List<Host> free) {
    if (any()) {
      reserve.begin(free);
    }
  }

  /** So many CPUs more are free on a machine. */
  public void add(Host host, double cpus) {
    if (any()) {
      reserve.add(host, cpus);
    }
  }

  /**
   * True when riders find their reserve after this task has started there: each zone holds its part
   * of it, but for what can be gone in time.
   */
  public boolean leavesReserve(Submission submission, Host host) {
    for (Lane lane : lanes.values()) {
      if (lane.over(submission)
          && !lane.goneInTime(submission)
          && !reserve.leaves(lane, submission, host)) {
        return false;
      }
    }
    return true;
  }

  /** Claims room for what still waits of these riders, in their order, with one put a lane. */
  public void claim(List<Job> riders) {
    Set<String> more = new TreeSet<>();
    int most = settings.state().valueBytes() / BYTES_PER_CLAIM;
    for (Job job : riders) {
      Lane lane = lane(job.spec());
      if (lane == null || job.suspected()) {
        continue;
      }
      List<OpenClaim> list = open.computeIfAbsent(lane.name(), n -> new ArrayList<>());
      int claimedFor =
          list.stream()
              .filter(o -> o.claim().ref().equals(job.spec().ref()))
              .mapToInt(o -> o.claim().tasks())
              .sum();
      int wanted = Math.min(job.waiting() - claimedFor, ledger.teamRoom(job.spec(), false));
      if (wanted <= 0 || list.size() >= most) {
        continue;
      }
      for (Claim claim : victimSelector.claims(lane, job, wanted, h -> !claimed.contains(h))) {
        if (list.size() < most) {
          list.add(new OpenClaim(claim, clock.now(), false));
          claimed.add(workers.host(claim.host()));
          more.add(lane.name());
        }
      }
    }
    more.forEach(name -> writer.write(name, Priority.REPLICA));
  }

  private void recount() {
    claimed.clear();
    open.values().forEach(list -> list.forEach(o -> claimed.add(workers.host(o.claim().host()))));
  }

  // ---- the record ----

  private final class Claims implements ClaimWriter.Source {
    @Override
    public boolean has(String name) {
      return open.containsKey(name);
    }

    @Override
    public List<OpenClaim> open(String name) {
      return List.copyOf(open.getOrDefault(name, List.of()));
    }

    @Override
    public void written(String name, List<OpenClaim> claims) {
      if (lanes.containsKey(name)) {
        carryOn(name);
      } else if (claims.isEmpty()) {
        open.remove(name);
      }
    }
  }

  // ---- views ----

  /** OpenClaim claims by lane. */
  public Map<String, Integer> claims() {
    Map<String, Integer> out = new TreeMap<>();
    lanes.keySet().forEach(n -> out.put(n, open.getOrDefault(n, List.of()).size()));
    return out;
  }

  /** Tasks stopped for riders since this process began. */
  public long stops() {
    return stops;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
