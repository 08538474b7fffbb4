package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.disruption.DisruptionGate;
import dapplestair.events.Events;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** Rents and returns machines, and learns from the cloud which exist. Acts only for a leader. */
public final class Fleet implements AutoCloseable {
  private static final int MAX_MACHINES_PER_RENTAL = 50;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final CloudClient cloud;
  private final SpotHistory spotHistory;
  private final Rentals rentals;
  private final FleetCapacity capacity;
  private final CapacityEstimator capacityEstimator;
  private final Releases releases;
  private final MachineList machineList;
  private final MachineHealthMonitor healthMonitor;
  private boolean leading;
  private long typesStamp;
  private long typesFetchedAtMs = Long.MIN_VALUE / 2;
  private boolean fetchingTypes;
  private Cancellable timer = () -> {};

  /** A fleet without machines. */
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
      Events events) {
    this.clock = clock;
    this.cloud = cloud;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.workers = workers;
    spotHistory = new SpotHistory(clock);
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
    releases = new Releases(workers, cloud, events);
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
            disruptionGate::givenUp,
            events);
    machineList = new MachineList(clock, settings, types, workers, cloud, healthMonitor);
  }

  private boolean mayHaveCapacity(CapacityPool pool) {
    return capacityEstimator.mayHaveCapacity(pool);
  }

  private void onCapacityRefused(CapacityPool pool) {
    if (capacityEstimator.recordRefusal(pool)) {
      // What is wanted must come from elsewhere: a plan that knows, not the next one in its turn.
      healthMonitor.notifyCapacityLost();
    }
  }

  /** Zones in which nothing is to be rented, since operators have them emptied. */
  public void setZoneClosedTest(Predicate<String> isZoneClosed) {
    // Nothing is rented in a silent zone either: what boots there cannot be reached.
    capacityEstimator.setZoneClosedTest(z -> isZoneClosed.test(z) || workers.zoneSilentMs(z) > 0);
  }

  /**
   * How much work waits for room, for the decision which silent machines to give up, and who hears
   * of room that is lost.
   */
  public void setCapacityCallbacks(DoubleSupplier waitingCpus, Runnable onCapacityLost) {
    healthMonitor.setCapacityCallbacks(waitingCpus, onCapacityLost);
  }

  // ---- what the replica says ----

  /** The recorded types have this value. */
  public void applyTypesRecord(JsonNode value, long stamp) {
    typesStamp = stamp;
    if (value != null && !types.known()) {
      types.read(value);
    }
  }

  /** A rental's record has this value. */
  public void applyRentalRecord(String name, JsonNode value, long stamp) {
    rentals.applyRecord(name, value, stamp);
  }

  /** A rental's record is gone. */
  public void applyRentalRemoval(String name) {
    rentals.applyRemoval(name);
  }

  // ---- leading ----

  /** Takes over the machines that earlier terms rented. */
  public void lead() {
    leading = true;
    healthMonitor.lead(machineList);
    releases.lead();
    rentals.lead();
    tick();
  }

  /** Forgets all but prices: the replica tells it again. */
  public void clear() {
    leading = false;
    timer.cancel();
    cloud.clear();
    rentals.clear();
    releases.clear();
    machineList.clear();
    fetchingTypes = false;
    typesFetchedAtMs = Long.MIN_VALUE / 2;
  }

  private void tick() {
    long intervalMs = types.known() ? 5 * settings.workers().reportMs() : 500;
    if (clock.now() - typesFetchedAtMs > intervalMs && !fetchingTypes) {
      fetchTypes();
    }
    machineList.refresh();
    healthMonitor.inspectAll();
    releases.sendNextBatch();
    rentals.cleanUp();
    timer = timers.after(settings.workers().reportMs() / 8, this::tick);
  }

  private void fetchTypes() {
    fetchingTypes = true;
    cloud.types(
        reply -> {
          fetchingTypes = false;
          typesFetchedAtMs = clock.now();
          if (!leading || !reply.ok()) {
            return;
          }
          boolean hadNoTypes = !types.known() || typesStamp == 0;
          if (types.read(Json.parse(reply.body()))) {
            spotHistory.notePrices(types.all());
            if (hadNoTypes) {
              recordTypes();
            }
          }
        });
  }

  private void recordTypes() {
    Txn txn =
        leadership
            .guard(new Txn())
            .when(StateKeys.TYPES, typesStamp)
            .put(StateKeys.TYPES, types.toJson());
    long term = leadership.term();
    state.commit(
        txn,
        Priority.LAUNCH,
        settings.workers().reportMs(),
        outcome -> {
          // What was refused to a former term says nothing of this one.
          if (leadership.leads(term)) {
            leadership.deposedBy(outcome);
          }
        });
  }

  /** What the cloud's machines cost and how often it takes them. */
  public SpotHistory spotHistory() {
    return spotHistory;
  }

  // ---- returning and renting ----

  /** Returns an idle machine; false when something holds room on it. */
  public boolean release(Host host) {
    if (!host.idle() || host.releasing() || !healthMonitor.mayReturnMachines()) {
      return false;
    }
    releases.add(host);
    return true;
  }

  /** Rents up to {@code count} more, spread over the zones that still have some. */
  public void rent(MachineKind kind, int count) {
    MachineType type = types.get(kind.type());
    if (type == null || !leading) {
      return;
    }
    capacityEstimator
        .spread(kind, type, count)
        .forEach(
            (pool, share) -> {
              // Where the cloud has refused lately one lot tells whether it has more again: each
              // is a put before the cloud is asked.
              int total =
                  capacityEstimator.wasEverRefused(pool)
                      ? Math.min(share, MAX_MACHINES_PER_RENTAL)
                      : share;
              for (int remaining = total; remaining > 0; remaining -= MAX_MACHINES_PER_RENTAL) {
                rentals.startRental(pool, Math.min(remaining, MAX_MACHINES_PER_RENTAL));
              }
            });
  }

  /** Rents one more in this zone; false when nothing is to be had there now. */
  public boolean rentIn(MachineKind kind, String zone) {
    if (!leading || !mayRentIn(kind, zone)) {
      return false;
    }
    rentals.startRental(new CapacityPool(kind, zone), 1);
    return true;
  }

  /** Rents up to {@code count} more in this zone, at most one lot. */
  public void rentIn(MachineKind kind, String zone, int count) {
    if (leading && count > 0 && mayRentIn(kind, zone)) {
      rentals.startRental(new CapacityPool(kind, zone), Math.min(count, MAX_MACHINES_PER_RENTAL));
    }
  }

  /**
   * Rents one machine in this zone though it may be closed, of the kind that costs least; false
   * when none is to be had there now.
   */
  public boolean rentCheapestIn(String zone) {
    CapacityPool cheapest = leading ? capacityEstimator.cheapestIn(zone, spotHistory) : null;
    if (cheapest == null || rentals.pendingCount(cheapest) > 0) {
      return false;
    }
    rentals.startRental(cheapest, 1);
    return true;
  }

  /** True when the cloud may have more there, and something may be rented there. */
  public boolean mayRentIn(MachineKind kind, String zone) {
    return capacityEstimator.mayRent(new CapacityPool(kind, zone));
  }

  /** Machines asked for in this zone of which the cloud has not told yet. */
  public int pendingIn(MachineKind kind, String zone) {
    return rentals.pendingCount(new CapacityPool(kind, zone));
  }

  /** A machine that no list has shown for so long is not there; milliseconds. */
  public long maxListLagMs() {
    return machineList.maxLagMs();
  }

  // ---- views ----

  /** Machines of a slot that are or will be of use. */
  public int heldOrPendingCount(MachineKind kind) {
    return capacity.heldOrPendingCount(kind);
  }

  /** True when a machine is, or will be, of use in this slot. */
  public boolean isUsableAs(Host host, MachineKind kind) {
    return capacity.isUsableAs(host, kind);
  }

  /** Most machines of a slot that the cloud has shown to give, or {@code headroomPerZone}. */
  public int capacity(MachineKind kind, int headroomPerZone) {
    return capacityEstimator.capacity(kind, headroomPerZone);
  }

  /**
   * Keeps new work from so many steady machines of a slot, those that empty soonest, none of them
   * in the zones that are spared.
   */
  public void cordon(MachineKind kind, int count, Predicate<String> isZoneSpared) {
    capacity.cordon(kind, count, isZoneSpared);
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  public List<Host> returnable(MachineKind kind) {
    return capacity.returnable(kind);
  }

  /** What is on its way for a job, and what the cloud refused. */
  public PendingCapacity pendingCapacity(Submission submission) {
    long now = clock.now();
    int booting = 0;
    double nextDueS = -1;
    for (Host host : workers.hosts()) {
      if (!host.up()
          && !host.gone()
          && !host.releasing()
          && !host.drained()
          && host.allowed(submission)) {
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
