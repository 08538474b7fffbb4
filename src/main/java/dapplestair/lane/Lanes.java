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
 * Lanes let some jobs (riders) evict batch tasks. Which rider takes which capacity, and whose tasks
 * are evicted for it, is recorded before the first of them is stopped, with one put for all claims
 * of a turn. The next leader reads this record before it launches anything and carries each claim
 * to its end. A claim proves nothing about evicted tasks: as everywhere, a stopped task counts as
 * gone only once that is proved.
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

  // Claims as the replica has them on record, for whichever controller leads next.
  private final Map<String, JsonNode> recordByLane = new HashMap<>();

  // Open claims by lane; filled only while this controller leads.
  private final Map<String, List<OpenClaim>> openClaimsByLane = new TreeMap<>();
  private final Set<Host> claimedHosts = new LinkedHashSet<>();
  private final ReserveCapacity reserveCapacity = new ReserveCapacity();
  private Runnable roomListener = () -> {};
  private Cancellable timer = () -> {};
  private long stopCount;

  /** Creates the lanes of the operators' file; without any lane, this class does no work. */
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
    this.writer = new ClaimWriter(timers, settings, state, replica, leadership, new ClaimSource());
    lanes.forEach(l -> this.lanes.put(l.name(), l));
  }

  /**
   * Sets the listener to call when claims are dropped and their capacity is free for others, and
   * the predicate of protected attempts, which are evicted last.
   */
  public void setCallbacks(Runnable listener, Predicate<Attempt> isProtected) {
    roomListener = listener;
    victimSelector.setProtection(isProtected);
  }

  // ---- records from the replica ----

  /** Takes over the recorded value of a lane's key; null when the key was removed. */
  public void applyRecord(String key, JsonNode value) {
    String name = key.substring(StateKeys.LANE.length());
    if (value == null) {
      recordByLane.remove(name);
    } else {
      recordByLane.put(name, value);
    }
  }

  /** Discards all state, because the replica will deliver its records again. */
  public void clear() {
    timer.cancel();
    recordByLane.clear();
    openClaimsByLane.clear();
    claimedHosts.clear();
    writer.clear();
  }

  // ---- leading ----

  /** Continues the claims on record; must be called before anything is placed. */
  public void lead() {
    writer.lead();
    if (lanes.isEmpty() && recordByLane.isEmpty()) {
      return;
    }
    recordByLane.forEach(
        (name, value) -> {
          List<OpenClaim> list = openClaimsByLane.computeIfAbsent(name, n -> new ArrayList<>());
          value
              .path("claims")
              .forEach(c -> list.add(new OpenClaim(Claim.parse(c), clock.now(), true)));
        });
    rebuildClaimedHosts();
    reviewClaims();
  }

  private void reviewClaims() {
    for (String name : List.copyOf(openClaimsByLane.keySet())) {
      if (lanes.containsKey(name)) {
        if (pruneClaims(name)) {
          writer.write(name, Priority.BOOKKEEPING);
        }
        stopVictims(name);
      } else {
        // The lane was removed from the settings, so its claims end.
        openClaimsByLane.get(name).clear();
        rebuildClaimedHosts();
        writer.write(name, Priority.BOOKKEEPING);
      }
    }
    timer = timers.after(settings.workers().reportMs() / 12, this::reviewClaims);
  }

  /** Drops claims that are no longer needed; returns whether there were any. */
  private boolean pruneClaims(String name) {
    Lane lane = lanes.get(name);
    Map<String, Integer> missingTasksByJob = new HashMap<>();
    int sizeBefore = openClaimsByLane.get(name).size();
    openClaimsByLane
        .get(name)
        .removeIf(
            openClaim -> {
              Job job = ledger.job(openClaim.claim().ref());
              Host host = workers.findHost(openClaim.claim().host());
              if (job == null
                  || job.isOver()
                  || host == null
                  || host.closed() && host.hasAcknowledgedTerm()) {
                return true;
              }
              if (openClaim.isRecorded() && isRoomTaken(openClaim.claim(), job, host)) {
                return true;
              }
              int missingTasks =
                  missingTasksByJob.computeIfAbsent(
                      openClaim.claim().ref(), r -> job.waitingTasks());
              missingTasksByJob.put(
                  openClaim.claim().ref(), missingTasks - openClaim.claim().tasks());
              boolean expired =
                  clock.now() - openClaim.sinceMs()
                      > 2 * (lane.beginWithinMs() + settings.workers().leaseMs());
              return missingTasks <= 0 || expired;
            });
    boolean dropped = openClaimsByLane.get(name).size() < sizeBefore;
    if (dropped) {
      rebuildClaimedHosts();
      roomListener.run();
    }
    return dropped;
  }

  /**
   * Returns whether all victims of a claim are gone but its rider does not fit: a rider that was
   * accepted later uses the capacity. While such a claim stood, no other capacity would be claimed
   * for the claim's rider.
   */
  private static boolean isRoomTaken(Claim claim, Job job, Host host) {
    return !host.fits(job.spec())
        && claim.victims().stream()
            .map(victim -> host.attempt(Claim.victimTaskKey(victim)))
            .allMatch(Objects::isNull);
  }

  /**
   * Stops the victims of recorded claims, and stops at once those that take too long to save their
   * work.
   */
  private void stopVictims(String name) {
    Lane lane = lanes.get(name);
    for (OpenClaim openClaim : openClaimsByLane.getOrDefault(name, List.of())) {
      Host host = openClaim.isRecorded() ? workers.findHost(openClaim.claim().host()) : null;
      if (host == null) {
        continue;
      }
      for (String victim : openClaim.claim().victims()) {
        Attempt attempt = host.attempt(Claim.victimTaskKey(victim));
        if (attempt != null
            && attempt.number() == Claim.victimAttemptNumber(victim)
            && !attempt.exited()) {
          stop(lane, attempt);
        }
      }
    }
  }

  private void stop(Lane lane, Attempt attempt) {
    if (!attempt.halting()) {
      stopCount++;
      disruptionGate.stopForRider(attempt, lane.windDownS(attempt.spec()));
    } else if (attempt.windDownS() > 0
        && clock.now() - attempt.firstHaltAtMs() > lane.beginWithinMs()) {
      disruptionGate.stopForRider(attempt, 0);
    }
  }

  // ---- queries by placement ----

  /** Returns whether any lane is configured. */
  public boolean hasLanes() {
    return !lanes.isEmpty();
  }

  /** Returns whether the job is a rider of some lane. */
  public boolean isRider(Submission submission) {
    return findLane(submission) != null;
  }

  private Lane findLane(Submission submission) {
    for (Lane lane : lanes.values()) {
      if (lane.isRider(submission)) {
        return lane;
      }
    }
    return null;
  }

  /** Returns whether this machine is claimed by riders and this job is not a rider. */
  public boolean isKeptForRiders(Submission submission, Host host) {
    return !claimedHosts.isEmpty() && claimedHosts.contains(host) && !isRider(submission);
  }

  /** Begins a placement turn in which {@code usableHosts} may be used. */
  public void beginTurn(List<Host> usableHosts) {
    if (hasLanes()) {
      reserveCapacity.beginTurn(usableHosts);
    }
  }

  /** Adds free CPUs of a machine to the reserve of this turn. */
  public void addFreeCpus(Host host, double cpus) {
    if (hasLanes()) {
      reserveCapacity.addFreeCpus(host, cpus);
    }
  }

  /**
   * Returns whether the riders' reserve remains after a task of the job starts on the machine, so
   * that each zone holds its share of the reserve. Also true for work that riders can stop in time,
   * since that work does not use up the reserve.
   */
  public boolean leavesReserve(Submission submission, Host host) {
    for (Lane lane : lanes.values()) {
      if (lane.isPreemptible(submission)
          && !lane.canStopInTime(submission)
          && !reserveCapacity.leavesReserve(lane, submission, host)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Claims capacity for the waiting tasks of these riders, in their order, with one put for each
   * lane.
   */
  public void claimRoom(List<Job> riders) {
    Set<String> changedLanes = new TreeSet<>();
    int maxClaims = settings.state().valueBytes() / BYTES_PER_CLAIM;
    for (Job job : riders) {
      Lane lane = findLane(job.spec());
      if (lane == null || job.isSuspected()) {
        continue;
      }
      List<OpenClaim> list = openClaimsByLane.computeIfAbsent(lane.name(), n -> new ArrayList<>());
      int claimedTasks =
          list.stream()
              .filter(o -> o.claim().ref().equals(job.spec().ref()))
              .mapToInt(o -> o.claim().tasks())
              .sum();
      int wantedTasks =
          Math.min(
              job.waitingTasks() - claimedTasks, ledger.maxAdditionalTeamTasks(job.spec(), false));
      if (wantedTasks <= 0 || list.size() >= maxClaims) {
        continue;
      }
      for (Claim claim :
          victimSelector.selectClaims(lane, job, wantedTasks, h -> !claimedHosts.contains(h))) {
        if (list.size() < maxClaims) {
          list.add(new OpenClaim(claim, clock.now(), false));
          claimedHosts.add(workers.getOrCreateHost(claim.host()));
          changedLanes.add(lane.name());
        }
      }
    }
    changedLanes.forEach(name -> writer.write(name, Priority.REPLICA));
  }

  private void rebuildClaimedHosts() {
    claimedHosts.clear();
    openClaimsByLane
        .values()
        .forEach(
            list -> list.forEach(o -> claimedHosts.add(workers.getOrCreateHost(o.claim().host()))));
  }

  // ---- source of the claim records ----

  private final class ClaimSource implements ClaimWriter.Source {
    @Override
    public boolean keepsRecordOf(String name) {
      return openClaimsByLane.containsKey(name);
    }

    @Override
    public List<OpenClaim> openClaims(String name) {
      return List.copyOf(openClaimsByLane.getOrDefault(name, List.of()));
    }

    @Override
    public void onWritten(String name, List<OpenClaim> claims) {
      if (lanes.containsKey(name)) {
        stopVictims(name);
      } else if (claims.isEmpty()) {
        openClaimsByLane.remove(name);
      }
    }
  }

  // ---- views ----

  /** Returns the number of open claims by lane. */
  public Map<String, Integer> openClaimCounts() {
    Map<String, Integer> counts = new TreeMap<>();
    lanes.keySet().forEach(n -> counts.put(n, openClaimsByLane.getOrDefault(n, List.of()).size()));
    return counts;
  }

  /** Returns how many tasks were stopped for riders since this process began. */
  public long stopCount() {
    return stopCount;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
