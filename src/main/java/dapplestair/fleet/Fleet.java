package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.disruption.DisruptionGate;
import dapplestair.events.Events;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.pause.PauseDetector;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.state.StateClient;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** Rents, lists and returns machines. Acts only while this controller leads. */
public final class Fleet implements AutoCloseable {
  private static final int MAX_MACHINES_PER_RENTAL = 50;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final CloudClient cloud;
  private final SpotHistory spotHistory;
  private final MachineTypeRefresher typeRefresher;
  private final Rentals rentals;
  private final FleetCapacity capacity;
  private final CapacityEstimator capacityEstimator;
  private final Releases releases;
  private final MachineList machineList;
  private final MachineHealthMonitor healthMonitor;
  private boolean leading;
  private Cancellable timer = () -> {};

  /** Creates a fleet that knows no machines yet. */
  public Fleet(
      Clock clock,
      TermTimers timers,
      CloudClient cloud,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      WorkerManager workers,
      DisruptionGate disruptionGate,
      PauseDetector pauses,
      Events events) {
    this.clock = clock;
    this.cloud = cloud;
    this.timers = timers;
    this.settings = settings;
    this.types = types;
    this.workers = workers;
    spotHistory = new SpotHistory(clock);
    typeRefresher =
        new MachineTypeRefresher(clock, cloud, settings, state, leadership, types, spotHistory);
    SilenceTimeouts timeouts = new SilenceTimeouts(settings);
    rentals =
        new Rentals(
            clock,
            timers,
            settings,
            state,
            leadership,
            types,
            workers,
            cloud,
            events,
            this::mayHaveCapacity,
            this::onCapacityRefused);
    capacity = new FleetCapacity(clock, workers, rentals, timeouts);
    capacityEstimator =
        new CapacityEstimator(
            clock,
            types,
            events,
            5 * settings.workers().reportMs(),
            capacity::heldCount,
            capacity::heldOrPendingCount,
            capacity::stayingCount);
    capacityEstimator.setZoneClosedTest(z -> workers.zoneSilentMs(z) > 0);
    releases = new Releases(workers, cloud, pauses, events);
    healthMonitor =
        new MachineHealthMonitor(
            clock,
            settings,
            state,
            types,
            workers,
            releases,
            spotHistory,
            timeouts,
            capacityEstimator,
            disruptionGate::debitAttemptsOn,
            pauses,
            events);
    machineList = new MachineList(clock, settings, types, workers, cloud, healthMonitor);
  }

  private boolean mayHaveCapacity(CapacityPool pool) {
    return capacityEstimator.mayHaveCapacity(pool);
  }

  private void onCapacityRefused(CapacityPool pool) {
    if (capacityEstimator.recordRefusal(pool)) {
      // The machines must come from elsewhere: plan again at once, with knowledge of the refusal,
      // instead of at the next regular interval.
      healthMonitor.notifyCapacityLost();
    }
  }

  /** Sets the test for zones in which nothing may be rented, such as those operators drain. */
  public void setZoneClosedTest(Predicate<String> isZoneClosed) {
    // Nothing is rented in a silent zone either: machines that boot there cannot be reached.
    capacityEstimator.setZoneClosedTest(z -> isZoneClosed.test(z) || workers.zoneSilentMs(z) > 0);
  }

  /**
   * Sets the supplier of the CPUs of waiting work, which helps to decide which silent machines are
   * given up, and the callback for lost capacity.
   */
  public void setCapacityCallbacks(DoubleSupplier waitingCpus, Runnable onCapacityLost) {
    healthMonitor.setCapacityCallbacks(waitingCpus, onCapacityLost);
  }

  // ---- records from the replica ----

  /** Applies the record of the machine types. */
  public void applyTypesRecord(JsonNode value, long stamp) {
    typeRefresher.applyRecord(value, stamp);
  }

  /** Applies a rental's record. */
  public void applyRentalRecord(String name, JsonNode value, long stamp) {
    rentals.applyRecord(name, value, stamp);
  }

  /** Applies the removal of a rental's record. */
  public void applyRentalRemoval(String name) {
    rentals.applyRemoval(name);
  }

  // ---- leading ----

  /** Begins to lead and takes over the machines that earlier terms rented. */
  public void lead() {
    leading = true;
    typeRefresher.lead();
    healthMonitor.lead(machineList);
    releases.lead();
    rentals.lead();
    tick();
  }

  /** Drops all state except prices; the replica delivers its records again. */
  public void clear() {
    leading = false;
    timer.cancel();
    cloud.dropLeaderRequests();
    rentals.clear();
    releases.clear();
    machineList.clear();
    typeRefresher.clear();
  }

  private void tick() {
    typeRefresher.refresh();
    machineList.refresh();
    releases.judgeAgainAfterPause();
    healthMonitor.inspectAll();
    releases.sendNextBatch();
    rentals.cleanUp();
    timer = timers.after(settings.workers().reportMs() / 8, this::tick);
  }

  /** Returns the recent spot prices and reclaims. */
  public SpotHistory spotHistory() {
    return spotHistory;
  }

  // ---- returning and renting ----

  /** Returns an idle machine; false when it is in use or the state service is unreachable. */
  public boolean release(Host host) {
    if (!host.isIdle() || host.isReleasing() || !healthMonitor.mayReturnMachines()) {
      return false;
    }
    releases.add(host);
    return true;
  }

  /** Rents up to {@code count} more machines, spread over the zones that may have capacity. */
  public void rent(MachineKind kind, int count) {
    MachineType type = types.get(kind.type());
    if (type == null || !leading) {
      return;
    }
    capacityEstimator
        .spread(kind, type, count)
        .forEach(
            (pool, share) -> {
              // Each rental costs a put before the cloud is asked. In a pool that the cloud has
              // refused before, a single rental is enough to learn whether it has capacity again.
              int total =
                  capacityEstimator.wasEverRefused(pool)
                      ? Math.min(share, MAX_MACHINES_PER_RENTAL)
                      : share;
              for (int remaining = total; remaining > 0; remaining -= MAX_MACHINES_PER_RENTAL) {
                rentals.startRental(pool, Math.min(remaining, MAX_MACHINES_PER_RENTAL));
              }
            });
  }

  /** Rents one more machine in this zone; returns false when none can be rented there now. */
  public boolean rentIn(MachineKind kind, String zone) {
    if (!leading || !mayRentIn(kind, zone)) {
      return false;
    }
    rentals.startRental(new CapacityPool(kind, zone), 1);
    return true;
  }

  /** Rents up to {@code count} more machines in this zone, in at most one rental. */
  public void rentIn(MachineKind kind, String zone, int count) {
    if (leading && count > 0 && mayRentIn(kind, zone)) {
      rentals.startRental(new CapacityPool(kind, zone), Math.min(count, MAX_MACHINES_PER_RENTAL));
    }
  }

  /**
   * Rents one machine of the cheapest kind in this zone, even if closed; returns false if none is
   * available or the cloud has not yet answered an earlier request for that kind.
   */
  public boolean rentCheapestIn(String zone) {
    CapacityPool cheapest = leading ? capacityEstimator.cheapestIn(zone, spotHistory) : null;
    if (cheapest == null || rentals.pendingCount(cheapest) > 0) {
      return false;
    }
    rentals.startRental(cheapest, 1);
    return true;
  }

  /** Returns true when the zone is not closed and the cloud may have more of this kind in it. */
  public boolean mayRentIn(MachineKind kind, String zone) {
    return capacityEstimator.mayRent(new CapacityPool(kind, zone));
  }

  /** Returns how many machines were requested in this zone and not yet answered by the cloud. */
  public int pendingIn(MachineKind kind, String zone) {
    return rentals.pendingCount(new CapacityPool(kind, zone));
  }

  /** Returns the maximum lag of the cloud's list; machines unlisted for longer do not exist. */
  public long maxListLagMs() {
    return machineList.maxLagMs();
  }

  // ---- views ----

  /** Returns how many machines of this kind are usable or will be. */
  public int heldOrPendingCount(MachineKind kind) {
    return capacity.heldOrPendingCount(kind);
  }

  /** Returns true when a machine is, or will be, usable as one of this kind. */
  public boolean isUsableAs(Host host, MachineKind kind) {
    return capacity.isUsableAs(host, kind);
  }

  /**
   * Returns the estimated maximum number of machines of a kind, with {@code headroomPerZone} more
   * than now for each open zone without a recent refusal.
   */
  public int capacity(MachineKind kind, int headroomPerZone) {
    return capacityEstimator.capacity(kind, headroomPerZone);
  }

  /**
   * Cordons {@code count} steady machines of a kind against new work: those that become empty
   * soonest, and none in the zones that {@code isZoneSpared} accepts.
   */
  public void cordon(MachineKind kind, int count, Predicate<String> isZoneSpared) {
    capacity.cordon(kind, count, isZoneSpared);
  }

  /** Returns the idle machines of a kind that may be returned now, those idle longest first. */
  public List<Host> returnable(MachineKind kind) {
    return capacity.returnable(kind);
  }

  /** Returns the machines that are on their way for a job, and what the cloud refused. */
  public PendingCapacity pendingCapacity(Submission submission) {
    long now = clock.now();
    int booting = 0;
    double nextDueS = -1;
    for (Host host : workers.hosts()) {
      if (!host.isUp()
          && !host.isGone()
          && !host.isReleasing()
          && !host.isDrainedByOperator()
          && host.isAllowedBy(submission)) {
        booting++;
        double dueS =
            Math.max(0, host.type().bootS() - Math.max(0, now - host.rentedAt()) / 1000.0);
        nextDueS = nextDueS < 0 ? dueS : Math.min(nextDueS, dueS);
      }
    }
    for (Rental rental : rentals.all()) {
      if (rental.isPending() && suits(submission, rental.pool)) {
        booting += rental.count;
        double dueS = types.get(rental.pool.kind().type()).bootS();
        nextDueS = nextDueS < 0 ? dueS : Math.min(nextDueS, dueS);
      }
    }
    List<PendingCapacity.CapacityRefusal> refusals = new ArrayList<>();
    capacityEstimator.forEachRefusal(
        (pool, retryInS) -> {
          if (suits(submission, pool)) {
            refusals.add(
                new PendingCapacity.CapacityRefusal(
                    pool.kind().type(), pool.zone(), pool.kind().spot(), retryInS));
          }
        });
    return new PendingCapacity(booting, nextDueS, refusals);
  }

  private boolean suits(Submission submission, CapacityPool pool) {
    MachineType type = types.get(pool.kind().type());
    return type != null
        && type.suits(submission)
        && (submission.spot() || !pool.kind().spot())
        && (submission.zone() == null || submission.zone().equals(pool.zone()));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
