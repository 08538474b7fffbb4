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
 * Which machines and zones are drained, as recorded. Every controller knows; the leader empties
 * them, a step at a time. Nothing here is remembered but the records, so the next leader goes on.
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
  private final Set<String> forgetting = new HashSet<>();
  private boolean leading;
  private long leadingSince;
  private long lacksSince;
  private Cancellable timer = () -> {};
  private Function<Host, Drain> also = h -> null;
  private BooleanSupplier anyElse = () -> false;

  /** No drains yet. */
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

  /** Machines may be under other orders as well; {@code any} tells whether some are. */
  public void also(Function<Host, Drain> other, BooleanSupplier any) {
    also = other;
    anyElse = any;
  }

  // ---- what the replica says ----

  /** A drain's key has this value, or is gone. */
  public void recorded(String key, JsonNode value) {
    boolean zone = key.startsWith(StateKeys.DRAIN_ZONE);
    String name = key.substring((zone ? StateKeys.DRAIN_ZONE : StateKeys.DRAIN).length());
    Map<String, Drain> of = zone ? zones : machines;
    if (value == null) {
      of.remove(name);
    } else {
      of.put(name, Drain.parse(value));
    }
    if (leading) {
      Drain drain = of.get(name);
      events.publish(
          Events.Kind.DRAIN,
          o -> {
            o.put(zone ? "zone" : "machine", name).put("on", drain != null);
            if (drain != null) {
              o.put("by", drain.by()).put("reason", drain.why());
            }
          });
      look();
    }
  }

  /** Forgets all records: the replica tells them again. */
  public void clear() {
    leading = false;
    timer.cancel();
    machines.clear();
    zones.clear();
    forgetting.clear();
    drainExecutor.clear();
    lacksSince = 0;
  }

  // ---- views ----

  /** The order that a machine is under, its own before others', or null. */
  public Drain of(Host host) {
    Drain found = machines.get(host.id());
    if (found == null && host.zone() != null) {
      found = zones.get(host.zone());
    }
    // A machine that is to be replaced is given back, whoever else has it emptied.
    Drain replaced = also.apply(host);
    return replaced != null && (found == null || !found.giveBack()) ? replaced : found;
  }

  /** Drained machines by name; they need not exist any more. */
  public Map<String, Drain> machines() {
    return machines;
  }

  /** Drained zones by name. */
  public Map<String, Drain> zones() {
    return zones;
  }

  /** What still stands against emptying a machine. */
  public DrainExecutor.DrainProgress progress(Host host) {
    return drainExecutor.progress(host);
  }

  /** True when replicas on drained machines have had no place to go for a while. */
  public boolean lackRoom() {
    return leading
        && lacksSince != 0
        && clock.now() - lacksSince > 2 * settings.workers().reportMs();
  }

  // ---- orders ----

  /**
   * Records an order for a key of {@link StateKeys#DRAIN} or {@link StateKeys#DRAIN_ZONE}; null
   * ends it.
   */
  public void order(
      String key, Drain drain, long deadline, Consumer<ConditionalWriter.Result> done) {
    conditionalWriter.write(key, drain == null ? null : drain.toJson(), deadline, done);
  }

  // ---- leading ----

  /** A machine is newly heard of: it is closed at once if it is drained. */
  public void mark(Host host) {
    if (leading && any()) {
      host.setDrained(of(host) != null);
    }
  }

  private boolean any() {
    return !machines.isEmpty() || !zones.isEmpty() || anyElse.getAsBoolean();
  }

  /** Goes on with whatever is recorded. */
  public void lead() {
    leading = true;
    leadingSince = clock.now();
    tick();
  }

  private void tick() {
    look();
    timer = timers.after(settings.workers().reportMs() / 6, this::tick);
  }

  /** Machines learn whether they are drained, and are emptied a little further. */
  private void look() {
    if (!leading) {
      return;
    }
    if (!any() && !drainExecutor.any()) {
      return;
    }
    Map<Host, Drain> drained = new LinkedHashMap<>();
    for (Host h : workers.hosts()) {
      Drain drain = of(h);
      h.setDrained(drain != null);
      if (drain != null) {
        drained.put(h, drain);
      }
    }
    drainExecutor.step(drained, clock.wall());
    // Orders to replace machines say themselves how many may be beyond.
    boolean lack =
        drained.keySet().stream()
            .anyMatch(h -> also.apply(h) == null && drainExecutor.progress(h).noPlace());
    lacksSince = !lack ? 0 : lacksSince == 0 ? clock.now() : lacksSince;
    forget();
  }

  /** The orders for machines that are proved to be gone are of no use. */
  private void forget() {
    for (String id : List.copyOf(machines.keySet())) {
      boolean never =
          workers.known(id) == null && clock.now() - leadingSince > settings.workers().leaseMs();
      if ((workers.isGone(id) || never) && forgetting.add(id)) {
        forget(StateKeys.DRAIN + id, id);
      }
    }
  }

  private void forget(String key, String id) {
    Txn txn = leadership.guard(new Txn()).when(key, replica.stamp(key)).remove(key);
    // The replica says when it is gone; if it is not, it is asked for again.
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        settings.workers().reportMs(),
        outcome -> timers.after(settings.workers().reportMs(), () -> forgetting.remove(id)));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
