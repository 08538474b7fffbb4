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
  private final ReplacementTargets machines;
  private final SurgeCapacity room;
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
      WorkerManager desk,
      Drains drains,
      DisruptionGate disruption,
      SurgeCapacity room,
      Events events) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.room = room;
    this.types = types;
    machines = new ReplacementTargets(clock, desk, disruption);
    steps =
        new ReplacementStepRunner(
            clock,
            settings,
            state,
            leadership,
            types,
            drains,
            events,
            machines,
            new StepHealthCheck(desk, disruption, machines),
            room,
            orders,
            this::extra,
            this::markLeaving);
    drains.also(this::drain, this::any);
  }

  // ---- what the replica says ----

  /** An order's key has this value, or is gone. */
  public void recorded(String key, JsonNode value, long stamp) {
    String name = key.substring(StateKeys.REPLACE.length());
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
    for (ReplacementState running : List.copyOf(orders.values())) {
      if (!running.writing && state.unreachableMs() == 0) {
        steps.look(running, now < lagUntil);
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
    for (ReplacementState running : orders.values()) {
      if (running.active() && running.progress.phase() == Phase.RAISE) {
        for (Host h : machines.left(running.progress.batch())) {
          long bootMs = Math.round(1000 * types.bootS(h.type()));
          h.setLeavesAt(clock.now() - (clock.wall() - running.progress.stepWall()) + bootMs);
          now.add(h);
        }
      }
    }
    leaving.removeAll(now);
    leaving.forEach(h -> h.setLeavesAt(Long.MAX_VALUE));
    leaving.clear();
    leaving.addAll(now);
  }

  // ---- what others ask ----

  private boolean any() {
    return !orders.isEmpty();
  }

  /** The order under which a machine is emptied now, or null. */
  private Drain drain(Host host) {
    for (ReplacementState running : orders.values()) {
      if (running.active()
          && running.progress.phase() == Phase.EMPTY
          && running.progress.batch().contains(host.id())) {
        return new Drain(
            running.order.by(),
            running.progress.stepWall(),
            "replacement " + running.name,
            true,
            running.order.deadlineS());
      }
    }
    return null;
  }

  /**
   * How many machines of a kind are to be held beyond the plan's count, or below it. Old machines
   * that are being emptied are no room and not counted as held, but they are still there: what
   * takes their place must not come up before they are gone, but for as many as may be beyond.
   */
  public int extra(MachineKind slot) {
    int extra = 0;
    for (ReplacementState running : orders.values()) {
      if (running.progress.phase() == Phase.CHOOSE || running.progress.phase() == Phase.DONE) {
        continue;
      }
      Map<MachineKind, Integer> left =
          ReplacementTargets.bySlot(machines.left(running.progress.batch()));
      int mine = left.getOrDefault(slot, 0);
      // Where a replica has no place to go, all that may be beyond is: the next comes in the zone
      // that has fewest.
      int beyond =
          mine > 0 && running.cramped
              ? room.affords(Map.of(slot, running.order.beyond()), running.order.beyond())
              : room.share(left, slot, running.progress.beyond());
      // While it pauses the old are back in use, and the new are kept for when it goes on.
      extra += running.active() && running.progress.phase() == Phase.EMPTY ? beyond - mine : beyond;
    }
    return extra;
  }

  /** How many machines an order like this would be about now. */
  public int covered(MachineSelector selection) {
    return machines.selected(selection).size();
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
    ReplacementState running = orders.get(name);
    return running == null ? null : view(running);
  }

  private ReplacementView view(ReplacementState running) {
    int left = running.progress.phase() == Phase.DONE ? 0 : machines.old(running.order).size();
    int done = running.order.total() - left;
    double elapsedS = (clock.wall() - running.order.atWall()) / 1000.0;
    double endS =
        left == 0
            ? 0
            : done <= 0 || running.progress.paused() != null ? -1 : elapsedS / done * left;
    return new ReplacementView(
        running.name,
        running.order,
        phase(running.progress),
        running.progress.steps(),
        new TreeSet<>(running.progress.batch()),
        left,
        running.progress.paused(),
        running.progress.byWord(),
        running.progress.remark(),
        endS);
  }

  private String phase(ReplacementProgress progress) {
    boolean watched = progress.phase() == Phase.EMPTY && machines.left(progress.batch()).isEmpty();
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
    ReplacementState running = orders.get(name);
    if (running == null) {
      return null;
    }
    return running.record(
        pause != null
            ? running.progress.pause(pause, true)
            : running.progress.resume(clock.wall()));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
