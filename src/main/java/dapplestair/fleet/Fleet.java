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
  private static final int MOST_PER_RENTAL = 50;

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
  private final MachineList list;
  private final MachineHealthMonitor healthMonitor;
  private boolean leading;
  private long typesStamp;
  private long typesAt = Long.MIN_VALUE / 2;
  private boolean typing;
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
            this::open,
            this::refused);
    capacity = new FleetCapacity(clock, workers, rentals, timeouts);
    capacityEstimator =
        new CapacityEstimator(
            clock,
            types,
            events,
            5 * settings.workers().reportMs(),
            capacity::given,
            capacity::holding,
            capacity::staying);
    capacityEstimator.closeZones(z -> workers.zoneSilentMs(z) > 0);
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
            disruptionGate::debitAttemptsOn,
            events);
    list = new MachineList(clock, settings, types, workers, cloud, healthMonitor);
  }

  private boolean open(CapacityPool pool) {
    return capacityEstimator.open(pool);
  }

  private void refused(CapacityPool pool) {
    if (capacityEstimator.refuse(pool)) {
      // What is wanted must come from elsewhere: a plan that knows, not the next one in its turn.
      healthMonitor.roomLost();
    }
  }

  /** Zones in which nothing is to be rented, since operators have them emptied. */
  public void closeZones(Predicate<String> closed) {
    // Nothing is rented in a silent zone either: what boots there cannot be reached.
    capacityEstimator.closeZones(z -> closed.test(z) || workers.zoneSilentMs(z) > 0);
  }

  /**
   * How much work waits for room, for the decision which silent machines to give up, and who hears
   * of room that is lost.
   */
  public void weigh(DoubleSupplier waitingCpus, Runnable roomLost) {
    healthMonitor.weigh(waitingCpus, roomLost);
  }

  // ---- what the replica says ----

  /** The recorded types have this value. */
  public void typesKey(JsonNode value, long stamp) {
    typesStamp = stamp;
    if (value != null && !types.known()) {
      types.read(value);
    }
  }

  /** A rental's record has this value. */
  public void rentalPut(String name, JsonNode value, long stamp) {
    rentals.recorded(name, value, stamp);
  }

  /** A rental's record is gone. */
  public void rentalRemoved(String name) {
    rentals.removed(name);
  }

  // ---- leading ----

  /** Takes over the machines that earlier terms rented. */
  public void lead() {
    leading = true;
    healthMonitor.lead(list);
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
    list.clear();
    typing = false;
    typesAt = Long.MIN_VALUE / 2;
  }

  private void tick() {
    long every = types.known() ? 5 * settings.workers().reportMs() : 500;
    if (clock.now() - typesAt > every && !typing) {
      askTypes();
    }
    list.refresh();
    healthMonitor.look();
    releases.send();
    rentals.forget();
    timer = timers.after(settings.workers().reportMs() / 8, this::tick);
  }

  private void askTypes() {
    typing = true;
    cloud.types(
        reply -> {
          typing = false;
          typesAt = clock.now();
          if (!leading || !reply.ok()) {
            return;
          }
          boolean knewNone = !types.known() || typesStamp == 0;
          if (types.read(Json.parse(reply.body()))) {
            spotHistory.notePrices(types.all());
            if (knewNone) {
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
  public SpotHistory market() {
    return spotHistory;
  }

  // ---- returning and renting ----

  /** Returns an idle machine; false when something holds room on it. */
  public boolean release(Host host) {
    if (!host.idle() || host.releasing() || !healthMonitor.mayJudge()) {
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
            (pool, n) -> {
              // Where the cloud has refused lately one lot tells whether it has more again: each
              // is a put before the cloud is asked.
              int most = capacityEstimator.refusedBefore(pool) ? Math.min(n, MOST_PER_RENTAL) : n;
              for (int left = most; left > 0; left -= MOST_PER_RENTAL) {
                rentals.begin(pool, Math.min(left, MOST_PER_RENTAL));
              }
            });
  }

  /** Rents one more in this zone; false when nothing is to be had there now. */
  public boolean rentIn(MachineKind kind, String zone) {
    if (!leading || !mayRentIn(kind, zone)) {
      return false;
    }
    rentals.begin(new CapacityPool(kind, zone), 1);
    return true;
  }

  /** Rents up to {@code count} more in this zone, at most one lot. */
  public void rentIn(MachineKind kind, String zone, int count) {
    if (leading && count > 0 && mayRentIn(kind, zone)) {
      rentals.begin(new CapacityPool(kind, zone), Math.min(count, MOST_PER_RENTAL));
    }
  }

  /**
   * Rents one machine in this zone though it may be closed, of the kind that costs least; false
   * when none is to be had there now.
   */
  public boolean rentAnyIn(String zone) {
    CapacityPool cheapest = leading ? capacityEstimator.cheapestIn(zone, spotHistory) : null;
    if (cheapest == null || rentals.pending(cheapest) > 0) {
      return false;
    }
    rentals.begin(cheapest, 1);
    return true;
  }

  /** True when the cloud may have more there, and something may be rented there. */
  public boolean mayRentIn(MachineKind kind, String zone) {
    return capacityEstimator.mayRent(new CapacityPool(kind, zone));
  }

  /** Machines asked for in this zone of which the cloud has not told yet. */
  public int pendingIn(MachineKind kind, String zone) {
    return rentals.pending(new CapacityPool(kind, zone));
  }

  /** A machine that no list has shown for so long is not there; milliseconds. */
  public long longestListLag() {
    return list.longestLag();
  }

  // ---- views ----

  /** Machines of a slot that are or will be of use. */
  public int holding(MachineKind kind) {
    return capacity.holding(kind);
  }

  /** True when a machine is, or will be, of use in this slot. */
  public boolean counts(Host host, MachineKind kind) {
    return capacity.counts(host, kind);
  }

  /** Most machines of a slot that the cloud has shown to give, or {@code otherwise}. */
  public int capacity(MachineKind kind, int otherwise) {
    return capacityEstimator.capacity(kind, otherwise);
  }

  /**
   * Keeps new work from so many steady machines of a slot, those that empty soonest, none of them
   * in the zones that are spared.
   */
  public void cordon(MachineKind kind, int count, Predicate<String> spared) {
    capacity.cordon(kind, count, spared);
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  public List<Host> returnable(MachineKind kind) {
    return capacity.returnable(kind);
  }

  /** What is on its way for a job, and what the cloud refused. */
  public PendingCapacity prospects(Submission submission) {
    long now = clock.now();
    int booting = 0;
    double next = -1;
    for (Host host : workers.hosts()) {
      if (!host.up()
          && !host.gone()
          && !host.releasing()
          && !host.drained()
          && host.allowed(submission)) {
        booting++;
        double due = Math.max(0, host.type().bootS() - Math.max(0, now - host.rentedAt()) / 1000.0);
        next = next < 0 ? due : Math.min(next, due);
      }
    }
    for (Rental rental : rentals.all()) {
      if (rental.pending() && suits(submission, rental.pool)) {
        booting += rental.count;
        double due = types.get(rental.pool.kind().type()).bootS();
        next = next < 0 ? due : Math.min(next, due);
      }
    }
    List<PendingCapacity.CapacityRefusal> refusals = new ArrayList<>();
    capacityEstimator.refusals(
        (p, againS) -> {
          if (suits(submission, p)) {
            refusals.add(
                new PendingCapacity.CapacityRefusal(
                    p.kind().type(), p.zone(), p.kind().spot(), againS));
          }
        });
    return new PendingCapacity(booting, next, refusals);
  }

  private boolean suits(Submission submission, CapacityPool capacityPool) {
    MachineType type = types.get(capacityPool.kind().type());
    return type != null
        && type.suits(submission)
        && (submission.spot() || !capacityPool.kind().spot())
        && (submission.zone() == null || submission.zone().equals(capacityPool.zone()));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
