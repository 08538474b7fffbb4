package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.disruption.DisruptionGate;
import dapplestair.drain.Drain;
import dapplestair.drain.Drains;
import dapplestair.events.Events;
import dapplestair.fleet.MachineKind;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.replacement.ReplacementProgress.Phase;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateKeys;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries orders to replace machines on, a step at a time: new machines first, then the old are
 * emptied through the gate for disruption and returned, then the step is watched. Where an order
 * stands is on record before anything is done of it, so any leader goes on from there.
 */
public final class Replacements implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Replacements.class);

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final MachineTypes types;
  private final ReplacementTargets targets;
  private final SurgeCapacity surgeCapacity;
  private final ReplacementStepRunner steps;
  private final Map<String, ReplacementState> orders = new TreeMap<>();
  private final Set<Host> leaving = new LinkedHashSet<>();
  private boolean leading;
  private long due;
  private long lagUntil = Long.MIN_VALUE / 2;
  private Cancellable timer = () -> {};

  /** No orders yet. */
  public Replacements(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      WorkerManager workers,
      Drains drains,
      DisruptionGate disruptionGate,
      SurgeCapacity surgeCapacity,
      Events events) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.surgeCapacity = surgeCapacity;
    this.types = types;
    targets = new ReplacementTargets(clock, workers, disruptionGate);
    steps =
        new ReplacementStepRunner(
            clock,
            settings,
            state,
            leadership,
            types,
            drains,
            events,
            targets,
            new StepHealthCheck(workers, disruptionGate, targets),
            surgeCapacity,
            orders,
            this::extra,
            this::markLeaving);
    drains.also(this::drain, this::any);
  }

  // ---- what the replica says ----

  /** An order's key has this value, or is gone. */
  public void recorded(String key, JsonNode value, long stamp) {
    String name = key.substring(StateKeys.REPLACEMENT.length());
    ReplacementState known = orders.get(name);
    if (value == null) {
      orders.remove(name);
      if (leading) {
        LOG.info("replacement {} is ended", name);
        steps.note(name, "ended", null);
      }
    } else if (known == null || known.stamp < stamp) {
      if (known != null && known.order.equals(ReplacementOrder.parse(value))) {
        // What this leader has seen of the step under way stays.
        known.progress = ReplacementProgress.read(value);
        known.stamp = stamp;
      } else {
        orders.put(name, new ReplacementState(name, value, stamp));
      }
    }
  }

  /** Forgets all records: the replica tells them again. */
  public void clear() {
    leading = false;
    steps.begin();
    timer.cancel();
    orders.clear();
    leaving.clear();
  }

  // ---- leading ----

  /** Goes on with whatever is recorded. */
  public void lead() {
    leading = true;
    steps.begin();
    due = clock.now();
    orders.values().forEach(r -> r.writing = false);
    tick();
  }

  private void tick() {
    long now = clock.now();
    long reportMs = settings.workers().reportMs();
    if (now - due > reportMs / 2) {
      lagUntil = now + 2 * reportMs;
    }
    for (ReplacementState replacement : List.copyOf(orders.values())) {
      if (!replacement.writing && state.unreachableMs() == 0) {
        steps.look(replacement, now < lagUntil);
      }
    }
    markLeaving();
    due = now + reportMs / 6;
    timer = timers.after(reportMs / 6, this::tick);
  }

  /** Machines that are about to be emptied take only what ends before. */
  private void markLeaving() {
    if (orders.isEmpty() && leaving.isEmpty()) {
      return;
    }
    Set<Host> now = new LinkedHashSet<>();
    for (ReplacementState replacement : orders.values()) {
      if (replacement.active() && replacement.progress.phase() == Phase.RAISE) {
        for (Host h : targets.left(replacement.progress.batch())) {
          long bootMs = Math.round(1000 * types.bootS(h.type()));
          h.setDrainAt(clock.now() - (clock.wall() - replacement.progress.stepWall()) + bootMs);
          now.add(h);
        }
      }
    }
    leaving.removeAll(now);
    leaving.forEach(h -> h.setDrainAt(Long.MAX_VALUE));
    leaving.clear();
    leaving.addAll(now);
  }

  // ---- what others ask ----

  private boolean any() {
    return !orders.isEmpty();
  }

  /** The order under which a machine is emptied now, or null. */
  private Drain drain(Host host) {
    for (ReplacementState replacement : orders.values()) {
      if (replacement.active()
          && replacement.progress.phase() == Phase.EMPTY
          && replacement.progress.batch().contains(host.id())) {
        return new Drain(
            replacement.order.by(),
            replacement.progress.stepWall(),
            "replacement " + replacement.name,
            true,
            replacement.order.deadlineS());
      }
    }
    return null;
  }

  /**
   * How many machines of a kind are to be held beyond the plan's count, or below it. Old machines
   * that are being emptied are no room and not counted as held, but they are still there: what
   * takes their place must not come up before they are gone, but for as many as may be beyond.
   */
  public int extra(MachineKind kind) {
    int extra = 0;
    for (ReplacementState replacement : orders.values()) {
      if (replacement.progress.phase() == Phase.CHOOSE
          || replacement.progress.phase() == Phase.DONE) {
        continue;
      }
      Map<MachineKind, Integer> left =
          ReplacementTargets.bySlot(targets.left(replacement.progress.batch()));
      int mine = left.getOrDefault(kind, 0);
      // Where a replica has no place to go, all that may be beyond is: the next comes in the zone
      // that has fewest.
      int beyond =
          mine > 0 && replacement.cramped
              ? surgeCapacity.affords(
                  Map.of(kind, replacement.order.beyond()), replacement.order.beyond())
              : surgeCapacity.share(left, kind, replacement.progress.beyond());
      // While it pauses the old are back in use, and the new are kept for when it goes on.
      extra +=
          replacement.active() && replacement.progress.phase() == Phase.EMPTY
              ? beyond - mine
              : beyond;
    }
    return extra;
  }

  /** How many machines an order like this would be about now. */
  public int covered(MachineSelector selection) {
    return targets.selected(selection).size();
  }

  // ---- views ----

  /**
   * An order as it stands.
   *
   * @param left old machines that are still there
   * @param endS seconds until it is expected to be done, or -1
   */
  public record ReplacementView(
      String name,
      ReplacementOrder order,
      String phase,
      int steps,
      Collection<String> batch,
      int left,
      String paused,
      boolean byWord,
      String remark,
      double endS) {}

  /** All orders, by name. */
  public List<ReplacementView> views() {
    return orders.values().stream().map(this::view).toList();
  }

  /** One order, or null. */
  public ReplacementView view(String name) {
    ReplacementState replacement = orders.get(name);
    return replacement == null ? null : view(replacement);
  }

  private ReplacementView view(ReplacementState replacement) {
    int left =
        replacement.progress.phase() == Phase.DONE ? 0 : targets.old(replacement.order).size();
    int done = replacement.order.total() - left;
    double elapsedS = (clock.wall() - replacement.order.atWall()) / 1000.0;
    double endS =
        left == 0
            ? 0
            : done <= 0 || replacement.progress.paused() != null ? -1 : elapsedS / done * left;
    return new ReplacementView(
        replacement.name,
        replacement.order,
        phase(replacement.progress),
        replacement.progress.steps(),
        new TreeSet<>(replacement.progress.batch()),
        left,
        replacement.progress.paused(),
        replacement.progress.byWord(),
        replacement.progress.remark(),
        endS);
  }

  private String phase(ReplacementProgress progress) {
    boolean watched = progress.phase() == Phase.EMPTY && targets.left(progress.batch()).isEmpty();
    return watched ? "watch" : progress.phase().name().toLowerCase(java.util.Locale.ROOT);
  }

  /** The recorded form of a new order. */
  public static ObjectNode begun(ReplacementOrder order) {
    ObjectNode object = order.toJson();
    ReplacementProgress.BEGIN.write(object);
    return object;
  }

  /** The recorded form of an order that pauses by an operator's word, or goes on; null: no such. */
  public ObjectNode told(String name, String pause) {
    ReplacementState replacement = orders.get(name);
    if (replacement == null) {
      return null;
    }
    return replacement.record(
        pause != null
            ? replacement.progress.pause(pause, true)
            : replacement.progress.resume(clock.wall()));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
