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
 * Carries out orders to replace machines step by step: new machines are rented first, then the old
 * ones are drained through the disruption gate and returned, then the step is watched. The progress
 * of an order is recorded before any action is taken, so that any leader can continue it.
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
  private final ReplacementStepRunner stepRunner;
  private final Map<String, ReplacementState> orders = new TreeMap<>();
  private final Set<Host> leavingHosts = new LinkedHashSet<>();
  private boolean leading;
  private long nextTickAtMs;
  private long laggingUntilMs = Long.MIN_VALUE / 2;
  private Cancellable timer = () -> {};

  /** Creates an instance without any orders. */
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
    stepRunner =
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
            this::surgeMachines,
            this::markLeavingHosts);
    drains.setOtherDrains(this::drainOf, this::hasOrders);
  }

  // ---- records from the replica ----

  /** Applies the recorded value of an order, or its removal if {@code value} is null. */
  public void applyRecord(String key, JsonNode value, long stamp) {
    String name = key.substring(StateKeys.REPLACEMENT.length());
    ReplacementState known = orders.get(name);
    if (value == null) {
      orders.remove(name);
      if (leading) {
        LOG.info("replacement {} has ended; its order was removed", name);
        stepRunner.emitEvent(name, "ended", null);
      }
    } else if (known == null || known.stamp < stamp) {
      if (known != null && known.order.equals(ReplacementOrder.parse(value))) {
        // Keeps this leader's observations of the current step.
        known.progress = ReplacementProgress.read(value);
        known.stamp = stamp;
      } else {
        orders.put(name, new ReplacementState(name, value, stamp));
      }
    }
  }

  /** Forgets all records; the replica delivers them again. */
  public void clear() {
    leading = false;
    stepRunner.reset();
    timer.cancel();
    orders.clear();
    leavingHosts.clear();
  }

  // ---- leading ----

  /** Starts to carry out the recorded orders as the leader. */
  public void lead() {
    leading = true;
    stepRunner.reset();
    nextTickAtMs = clock.now();
    orders.values().forEach(r -> r.writeInFlight = false);
    tick();
  }

  private void tick() {
    long nowMs = clock.now();
    long reportMs = settings.workers().reportMs();
    if (nowMs - nextTickAtMs > reportMs / 2) {
      laggingUntilMs = nowMs + 2 * reportMs;
    }
    for (ReplacementState replacement : List.copyOf(orders.values())) {
      if (!replacement.writeInFlight && state.unreachableMs() == 0) {
        stepRunner.advance(replacement, nowMs < laggingUntilMs);
      }
    }
    markLeavingHosts();
    nextTickAtMs = nowMs + reportMs / 6;
    timer = timers.after(reportMs / 6, this::tick);
  }

  /** Marks machines that will be drained soon, so that they accept only tasks that end before. */
  private void markLeavingHosts() {
    if (orders.isEmpty() && leavingHosts.isEmpty()) {
      return;
    }
    Set<Host> currentlyLeaving = new LinkedHashSet<>();
    for (ReplacementState replacement : orders.values()) {
      if (replacement.isActive() && replacement.progress.phase() == Phase.RAISE) {
        for (Host host : targets.remaining(replacement.progress.batch())) {
          long bootMs = Math.round(1000 * types.bootS(host.type()));
          host.setDrainAt(
              clock.now() - (clock.wall() - replacement.progress.phaseStartWallMs()) + bootMs);
          currentlyLeaving.add(host);
        }
      }
    }
    leavingHosts.removeAll(currentlyLeaving);
    leavingHosts.forEach(h -> h.setDrainAt(Long.MAX_VALUE));
    leavingHosts.clear();
    leavingHosts.addAll(currentlyLeaving);
  }

  // ---- queries from other components ----

  private boolean hasOrders() {
    return !orders.isEmpty();
  }

  /** Returns the drain that a replacement order currently imposes on a machine, or null. */
  private Drain drainOf(Host host) {
    for (ReplacementState replacement : orders.values()) {
      if (replacement.isActive()
          && replacement.progress.phase() == Phase.EMPTY
          && replacement.progress.batch().contains(host.id())) {
        return new Drain(
            replacement.order.orderedBy(),
            replacement.progress.phaseStartWallMs(),
            "replacement " + replacement.name,
            true,
            replacement.order.deadlineS());
      }
    }
    return null;
  }

  /**
   * Returns how many machines of a kind to hold in addition to the plan's count; may be negative.
   * Old machines that are being drained offer no capacity and do not count as held, but they still
   * exist: apart from the permitted surge, their successors must not come up before they are gone.
   */
  public int surgeMachines(MachineKind kind) {
    int surge = 0;
    for (ReplacementState replacement : orders.values()) {
      if (replacement.progress.phase() == Phase.CHOOSE
          || replacement.progress.phase() == Phase.DONE) {
        continue;
      }
      Map<MachineKind, Integer> remainingByKind =
          ReplacementTargets.countByKind(targets.remaining(replacement.progress.batch()));
      int remainingOfKind = remainingByKind.getOrDefault(kind, 0);
      // When a replica has nowhere to go, the whole permitted surge is held: the next machine is
      // rented in the zone that has the fewest.
      int surgeCount =
          remainingOfKind > 0 && replacement.lacksCapacity
              ? surgeCapacity.affordableSurge(
                  Map.of(kind, replacement.order.maxSurge()), replacement.order.maxSurge())
              : surgeCapacity.surgeOfKind(remainingByKind, kind, replacement.progress.surgeCount());
      // While the order pauses, the old machines are back in use, and the new ones are kept until
      // it resumes.
      surge +=
          replacement.isActive() && replacement.progress.phase() == Phase.EMPTY
              ? surgeCount - remainingOfKind
              : surgeCount;
    }
    return surge;
  }

  /** Returns the number of machines that an order with this selector would apply to now. */
  public int countMatching(MachineSelector selector) {
    return targets.matchingMachines(selector).size();
  }

  // ---- views ----

  /**
   * An order with its current progress.
   *
   * @param remainingMachines number of old machines that still exist
   * @param expectedEndS seconds until the order is expected to be done, or -1 if unknown
   */
  public record ReplacementView(
      String name,
      ReplacementOrder order,
      String phase,
      int stepsBegun,
      Collection<String> batch,
      int remainingMachines,
      String pauseReason,
      boolean operatorMustResume,
      String remark,
      double expectedEndS) {}

  /** Returns all orders, sorted by name. */
  public List<ReplacementView> views() {
    return orders.values().stream().map(this::view).toList();
  }

  /** Returns the order with the given name, or null. */
  public ReplacementView view(String name) {
    ReplacementState replacement = orders.get(name);
    return replacement == null ? null : view(replacement);
  }

  private ReplacementView view(ReplacementState replacement) {
    int remainingMachines =
        replacement.progress.phase() == Phase.DONE
            ? 0
            : targets.oldMachines(replacement.order).size();
    int replacedMachines = replacement.order.totalMachines() - remainingMachines;
    double elapsedS = (clock.wall() - replacement.order.orderedAtWallMs()) / 1000.0;
    double expectedEndS =
        remainingMachines == 0
            ? 0
            : replacedMachines <= 0 || replacement.progress.pauseReason() != null
                ? -1
                : elapsedS / replacedMachines * remainingMachines;
    return new ReplacementView(
        replacement.name,
        replacement.order,
        phaseName(replacement.progress),
        replacement.progress.stepsBegun(),
        new TreeSet<>(replacement.progress.batch()),
        remainingMachines,
        replacement.progress.pauseReason(),
        replacement.progress.operatorMustResume(),
        replacement.progress.remark(),
        expectedEndS);
  }

  private String phaseName(ReplacementProgress progress) {
    boolean isWatched =
        progress.phase() == Phase.EMPTY && targets.remaining(progress.batch()).isEmpty();
    return isWatched ? "watch" : progress.phase().name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Returns the recorded form of a new order. */
  public static ObjectNode newOrderRecord(ReplacementOrder order) {
    ObjectNode object = order.toJson();
    ReplacementProgress.INITIAL.writeTo(object);
    return object;
  }

  /**
   * Returns the recorded form of an order that an operator pauses, or resumes if {@code
   * pauseReason} is null; null if there is no such order.
   */
  public ObjectNode pausedOrResumedRecord(String name, String pauseReason) {
    ReplacementState replacement = orders.get(name);
    if (replacement == null) {
      return null;
    }
    return replacement.toJson(
        pauseReason != null
            ? replacement.progress.pause(pauseReason, true)
            : replacement.progress.resume(clock.wall()));
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
