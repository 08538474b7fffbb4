package dapplestair.drain;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.events.Events;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.ConditionalWriter;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Holds the recorded drains of machines and zones. Every controller knows them; the leader empties
 * the machines step by step. All state is in the records, so the next leader continues from them.
 */
public final class Drains implements AutoCloseable {
  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final Replica replica;
  private final ConditionalWriter conditionalWriter;
  private final Leadership leadership;
  private final WorkerManager workers;
  private final DrainExecutor drainExecutor;
  private final Events events;
  private final Map<String, Drain> machines = new TreeMap<>();
  private final Map<String, Drain> zones = new TreeMap<>();
  private final Set<String> removalsInFlight = new HashSet<>();
  private boolean leading;
  private long leadingSinceMs;
  private long lacksCapacitySinceMs;
  private Cancellable timer = () -> {};
  private Function<Host, Drain> otherDrains = h -> null;
  private BooleanSupplier hasOtherDrains = () -> false;

  /** Creates an instance without any drains. */
  public Drains(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Replica replica,
      ConditionalWriter conditionalWriter,
      Leadership leadership,
      WorkerManager workers,
      DrainExecutor drainExecutor,
      Events events) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.replica = replica;
    this.conditionalWriter = conditionalWriter;
    this.leadership = leadership;
    this.workers = workers;
    this.drainExecutor = drainExecutor;
    this.events = events;
  }

  /**
   * Sets the source of drains that result from other orders; {@code hasOther} tells whether there
   * are any such orders.
   */
  public void setOtherDrains(Function<Host, Drain> drainOfHost, BooleanSupplier hasOther) {
    otherDrains = drainOfHost;
    hasOtherDrains = hasOther;
  }

  // ---- records from the replica ----

  /** Applies the recorded value of a drain, or its removal if {@code value} is null. */
  public void applyRecord(String key, JsonNode value) {
    boolean isZone = key.startsWith(StateKeys.DRAIN_ZONE);
    String name = key.substring((isZone ? StateKeys.DRAIN_ZONE : StateKeys.DRAIN).length());
    Map<String, Drain> drainsByName = isZone ? zones : machines;
    if (value == null) {
      drainsByName.remove(name);
    } else {
      drainsByName.put(name, Drain.parse(value));
    }
    if (leading) {
      Drain drain = drainsByName.get(name);
      events.publish(
          Events.Kind.DRAIN,
          o -> {
            o.put(isZone ? "zone" : "machine", name).put("on", drain != null);
            if (drain != null) {
              o.put("by", drain.orderedBy()).put("reason", drain.reason());
            }
          });
      advanceDrains();
    }
  }

  /** Forgets all records; the replica delivers them again. */
  public void clear() {
    leading = false;
    timer.cancel();
    machines.clear();
    zones.clear();
    removalsInFlight.clear();
    drainExecutor.clear();
    lacksCapacitySinceMs = 0;
  }

  // ---- views ----

  /** Returns the order that drains a machine, or null; its own order precedes that of its zone. */
  public Drain drainOf(Host host) {
    Drain found = machines.get(host.id());
    if (found == null && host.zone() != null) {
      found = zones.get(host.zone());
    }
    // A machine under replacement is returned to the cloud, even if another order drains it too.
    Drain otherDrain = otherDrains.apply(host);
    return otherDrain != null && (found == null || !found.returnToCloud()) ? otherDrain : found;
  }

  /** Returns the drains of machines by machine name; the machines may no longer exist. */
  public Map<String, Drain> machines() {
    return machines;
  }

  /** Returns the drains of zones by zone name. */
  public Map<String, Drain> zones() {
    return zones;
  }

  /** Returns the tasks that remain on a machine and the reason why they are not stopped. */
  public DrainExecutor.DrainProgress progress(Host host) {
    return drainExecutor.progress(host);
  }

  /** Returns whether replicas on drained machines have had nowhere to go for a while. */
  public boolean lacksCapacity() {
    return leading
        && lacksCapacitySinceMs != 0
        && clock.now() - lacksCapacitySinceMs > 2 * settings.workers().reportMs();
  }

  // ---- orders ----

  /**
   * Records an order under a key of {@link StateKeys#DRAIN} or {@link StateKeys#DRAIN_ZONE}, or
   * removes it if {@code drain} is null.
   */
  public void recordOrder(
      String key, Drain drain, long deadlineMs, Consumer<ConditionalWriter.Result> done) {
    conditionalWriter.write(key, drain == null ? null : drain.toJson(), deadlineMs, done);
  }

  // ---- leading ----

  /** Marks a newly known machine as drained at once if an order drains it. */
  public void updateDrained(Host host) {
    if (leading && hasDrains()) {
      host.setDrainedByOperator(drainOf(host) != null);
    }
  }

  private boolean hasDrains() {
    return !machines.isEmpty() || !zones.isEmpty() || hasOtherDrains.getAsBoolean();
  }

  /** Starts to carry out the recorded drains as the leader. */
  public void lead() {
    leading = true;
    leadingSinceMs = clock.now();
    tick();
  }

  private void tick() {
    advanceDrains();
    timer = timers.after(settings.workers().reportMs() / 6, this::tick);
  }

  /** Marks all machines as drained or not, and performs one step of emptying them. */
  private void advanceDrains() {
    if (!leading) {
      return;
    }
    if (!hasDrains() && !drainExecutor.hasDrainedHosts()) {
      return;
    }
    Map<Host, Drain> drained = new LinkedHashMap<>();
    for (Host host : workers.hosts()) {
      Drain drain = drainOf(host);
      host.setDrainedByOperator(drain != null);
      if (drain != null) {
        drained.put(host, drain);
      }
    }
    drainExecutor.step(drained, clock.wall());
    // Machines under replacement are left out, because their orders limit the surge machines
    // themselves.
    boolean lacksDestination =
        drained.keySet().stream()
            .anyMatch(
                h -> otherDrains.apply(h) == null && drainExecutor.progress(h).lacksDestination());
    lacksCapacitySinceMs =
        !lacksDestination ? 0 : lacksCapacitySinceMs == 0 ? clock.now() : lacksCapacitySinceMs;
    removeObsoleteOrders();
  }

  /**
   * Removes the orders for machines that are proved to be gone, or that are still unknown a lease
   * after this controller began to lead.
   */
  private void removeObsoleteOrders() {
    for (String id : List.copyOf(machines.keySet())) {
      boolean neverKnown =
          workers.findHost(id) == null
              && clock.now() - leadingSinceMs > settings.workers().leaseMs();
      if ((workers.isGone(id) || neverKnown) && removalsInFlight.add(id)) {
        removeRecord(StateKeys.DRAIN + id, id);
      }
    }
  }

  private void removeRecord(String key, String id) {
    Txn txn = leadership.guard(new Txn()).when(key, replica.stamp(key)).remove(key);
    // The replica reports the removal of the key; if the key remains, the removal is retried.
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        settings.workers().reportMs(),
        outcome -> timers.after(settings.workers().reportMs(), () -> removalsInFlight.remove(id)));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
