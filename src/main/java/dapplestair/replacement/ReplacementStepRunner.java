package dapplestair.replacement;

import dapplestair.drain.Drains;
import dapplestair.events.Events;
import dapplestair.fleet.MachineKind;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.replacement.ReplacementProgress.Phase;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Moves orders from step to step. Each transition is recorded before it is carried out. */
final class ReplacementStepRunner {
  private static final Logger LOG = LoggerFactory.getLogger(Replacements.class);

  // One recorded value holds this many machine names with space to spare.
  static final int MAX_MACHINES_PER_STEP = 200;

  // Multiple of the stated boot time after which a boot is overdue, as in MachineHealthMonitor:
  // usual boots take up to 1.5 times the stated time, and a bad day nearly doubles that.
  private static final double BOOT_OVERDUE_RATIO = 3.0;

  private final Clock clock;
  private final Settings settings;
  private final FencedWriter writer;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Drains drains;
  private final Events events;
  private final ReplacementTargets targets;
  private final StepHealthCheck healthCheck;
  private final SurgeCapacity surgeCapacity;
  private final Map<String, ReplacementState> orders;
  private final ToIntFunction<MachineKind> surgeMachines;
  private final Runnable onRecorded;
  private long leadingSinceMs;
  private boolean isLoopLagging;

  /** Creates a runner for {@code orders} that runs {@code onRecorded} after each recorded step. */
  ReplacementStepRunner(
      Clock clock,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      Drains drains,
      Events events,
      ReplacementTargets targets,
      StepHealthCheck healthCheck,
      SurgeCapacity surgeCapacity,
      Map<String, ReplacementState> orders,
      ToIntFunction<MachineKind> surgeMachines,
      Runnable onRecorded) {
    this.clock = clock;
    this.settings = settings;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.leadership = leadership;
    this.types = types;
    this.drains = drains;
    this.events = events;
    this.targets = targets;
    this.healthCheck = healthCheck;
    this.surgeCapacity = surgeCapacity;
    this.orders = orders;
    this.surgeMachines = surgeMachines;
    this.onRecorded = onRecorded;
  }

  /** Discards writes in flight when this controller begins or ceases to lead. */
  void reset() {
    writer.reset();
    leadingSinceMs = clock.now();
  }

  /** Advances an order as far as possible now. No write of the order may be in flight. */
  void advance(ReplacementState replacement, boolean loopLagging) {
    isLoopLagging = loopLagging;
    if (replacement.progress.pauseReason() != null) {
      resumeIfHealthy(replacement);
      return;
    }
    if (replacement.progress.phase() == Phase.DONE) {
      return;
    }
    String outsideFault = healthCheck.findOutsideFault(loopLagging);
    String machineFault =
        outsideFault == null
            ? healthCheck.findMachineFault(
                replacement.order, replacement.progress.judgedSinceWallMs())
            : null;
    if (outsideFault != null || machineFault != null) {
      pause(replacement, outsideFault != null ? outsideFault : machineFault, machineFault != null);
      return;
    }
    switch (replacement.progress.phase()) {
      case CHOOSE -> chooseBatch(replacement);
      case RAISE -> awaitNewMachines(replacement);
      case EMPTY -> drainBatch(replacement);
      default -> {}
    }
  }

  /**
   * Returns whether this leader knows all machines. A new leader knows the machines in records and
   * attempts at once; others appear only in the cloud's lists. It must not conclude that a machine
   * is gone before the longest delay of these lists has passed.
   */
  private boolean knowsAllMachines() {
    return clock.now() - leadingSinceMs > surgeCapacity.longestListLagMs();
  }

  private void chooseBatch(ReplacementState replacement) {
    if (!knowsAllMachines()) {
      return;
    }
    List<Host> oldMachines = targets.oldMachines(replacement.order);
    if (oldMachines.isEmpty()) {
      recordProgress(replacement, replacement.progress.complete(clock.wall()));
      return;
    }
    int maxMachines = Math.min(MAX_MACHINES_PER_STEP, replacement.order.maxPerStep());
    Set<String> excluded = machinesOfOtherOrders(replacement);
    Set<String> batch =
        targets.nextBatch(oldMachines, excluded, replacement.progress.batch(), maxMachines);
    if (batch.isEmpty()) {
      return;
    }
    List<Host> hosts = targets.remaining(batch);
    int surge =
        surgeCapacity.affordableSurge(
            ReplacementTargets.countByKind(hosts), replacement.order.maxSurge());
    Phase phase = surge > 0 ? Phase.RAISE : Phase.EMPTY;
    ReplacementProgress next = replacement.progress.beginStep(phase, batch, surge, clock.wall());
    if (replacement.order.maxSurge() > 0 && surge == 0) {
      next =
          next.withRemark("the plan's budget pays for no machine beyond: none beyond in this step");
    }
    recordProgress(replacement, next);
  }

  /** Returns the machines in the current steps of other orders. */
  private Set<String> machinesOfOtherOrders(ReplacementState replacement) {
    Set<String> machines = new HashSet<>();
    orders.values().stream()
        .filter(o -> o != replacement && o.progress.phase() != Phase.DONE)
        .forEach(o -> machines.addAll(o.progress.batch()));
    return machines;
  }

  /**
   * Waits for the new machines. If the cloud does not provide all of them in time, the step is
   * reduced to as many old machines as new ones are up, but at least one.
   */
  private void awaitNewMachines(ReplacementState replacement) {
    List<Host> remaining = targets.remaining(replacement.progress.batch());
    if (remaining.isEmpty()
        || surgeCapacity.isReady(ReplacementTargets.countByKind(remaining), surgeMachines)) {
      recordProgress(replacement, replacement.progress.enterPhase(Phase.EMPTY, clock.wall()));
      return;
    }
    long elapsedMs = clock.wall() - replacement.progress.phaseStartWallMs();
    double bootS = remaining.stream().mapToDouble(h -> types.bootS(h.type())).max().orElse(60);
    if (elapsedMs < BOOT_OVERDUE_RATIO * 1000 * bootS) {
      return;
    }
    List<Host> newMachines =
        targets.newMachines(replacement.order, replacement.progress.judgedSinceWallMs());
    int upCount = (int) newMachines.stream().filter(Host::isUp).count();
    if (upCount == 0 && !newMachines.isEmpty()) {
      // The new machines are rented but none boots: their fault, not a shortage in the cloud.
      if (elapsedMs > 2 * BOOT_OVERDUE_RATIO * 1000 * bootS) {
        pause(replacement, "new machines do not come up", true);
      }
      return;
    }
    Set<String> reduced = targets.nextBatch(remaining, Set.of(), Set.of(), Math.max(1, upCount));
    if (!reduced.isEmpty()) {
      String reason =
          "the cloud gave %d machines beyond for %d: %d at a time"
              .formatted(upCount, remaining.size(), reduced.size());
      recordProgress(replacement, replacement.progress.restrictTo(reduced, clock.wall(), reason));
    }
  }

  private void drainBatch(ReplacementState replacement) {
    List<Host> remaining = targets.remaining(replacement.progress.batch());
    if (!remaining.isEmpty() || !knowsAllMachines()) {
      replacement.emptiedAtMs = 0;
      handleBlockedStep(replacement, remaining);
      return;
    }
    long nowMs = clock.now();
    if (replacement.emptiedAtMs == 0) {
      replacement.emptiedAtMs = nowMs;
      replacement.lacksCapacity = false;
      replacement.blockedSinceMs = 0;
      replacement.passedOver.clear();
    }
    if (nowMs - replacement.emptiedAtMs < 1000 * replacement.order.watchS()) {
      return;
    }
    String unavailableReplicas = healthCheck.findUnavailableReplicas();
    if (unavailableReplicas == null) {
      chooseBatch(replacement);
    } else if (nowMs - replacement.emptiedAtMs
        > 1000 * replacement.order.watchS() + settings.workers().leaseMs()) {
      pause(replacement, unavailableReplicas, false);
    }
  }

  /**
   * Makes way for replicas that have nowhere to go. If the step is blocked for longer than a lease,
   * records the reason as a remark; such remarks are rare enough to cost little.
   */
  private void handleBlockedStep(ReplacementState replacement, List<Host> remaining) {
    long nowMs = clock.now();
    String blockedReason = null;
    for (Host host : remaining) {
      String reason = drains.progress(host).blockedReason();
      if (reason != null) {
        blockedReason = host.id() + ": " + reason;
        break;
      }
    }
    if (blockedReason == null) {
      replacement.blockedSinceMs = 0;
      return;
    }
    boolean noDestination = remaining.stream().anyMatch(h -> drains.progress(h).lacksDestination());
    if (replacement.blockedSinceMs == 0) {
      replacement.blockedSinceMs = nowMs;
    }
    replacement.lacksCapacity |=
        noDestination && nowMs - replacement.blockedSinceMs > settings.workers().reportMs();
    swapOrPassOver(replacement, remaining, nowMs);
    if (replacement.writeInFlight) {
      return;
    }
    if (noDestination
        && remaining.size() > 1
        && nowMs - replacement.blockedSinceMs > 2 * settings.workers().reportMs()) {
      // The other machines of the step return to use, which frees their capacity for replicas.
      String nextMachine =
          targets.nextBatch(remaining, Set.of(), Set.of(), 1).stream().findFirst().orElse(null);
      if (nextMachine != null) {
        replacement.blockedSinceMs = 0;
        String remark = "no room for what runs on " + remaining.size() + " machines: one by one";
        recordProgress(
            replacement,
            replacement.progress.restrictTo(
                Set.of(nextMachine), replacement.progress.phaseStartWallMs(), remark));
      }
    } else if (nowMs - replacement.blockedSinceMs > settings.workers().leaseMs()
        && !blockedReason.equals(replacement.lastRecordedRemark)) {
      replacement.lastRecordedRemark = blockedReason;
      replacement.blockedSinceMs = nowMs;
      recordProgress(replacement, replacement.progress.withRemark(blockedReason));
    }
  }

  /**
   * At most once per time that a machine may take to boot, exchanges an empty machine for one in
   * the zone of the blocked machine; without an empty one, passes over a single blocked machine.
   */
  private void swapOrPassOver(ReplacementState replacement, List<Host> remaining, long nowMs) {
    if (!replacement.lacksCapacity) {
      replacement.lastSwapAtMs = 0;
      return;
    }
    Host stuck = remaining.get(0);
    if (replacement.lastSwapAtMs == 0) {
      replacement.lastSwapAtMs = nowMs;
    } else if (nowMs - replacement.lastSwapAtMs
        > BOOT_OVERDUE_RATIO * 1000 * types.bootS(stuck.type())) {
      if (surgeCapacity.swapEmptyMachine(stuck)) {
        LOG.info(
            "replacement {}: replicas on machine {} have nowhere to go; exchanging an empty machine"
                + " for one in zone {}",
            replacement.name,
            stuck.id(),
            stuck.zone());
        replacement.lastSwapAtMs = nowMs;
      } else if (remaining.size() == 1) {
        passOver(replacement, stuck);
      }
    }
  }

  /**
   * Replaces another old machine first when no machine is empty and the free capacity lies in zones
   * that the rules of the remaining replicas forbid. The replicas of that other machine may use
   * this capacity and the free capacity of the machine passed over. Without this, an order for a
   * full fleet made no progress forever (ReplacementTest).
   */
  private void passOver(ReplacementState replacement, Host stuck) {
    Set<String> excluded = machinesOfOtherOrders(replacement);
    replacement.passedOver.add(stuck.id());
    excluded.addAll(replacement.passedOver);
    Set<String> nextBatch =
        targets.nextBatch(targets.oldMachines(replacement.order), excluded, Set.of(), 1);
    if (nextBatch.isEmpty()) {
      // Every machine has been passed over once, so each gets another turn.
      replacement.passedOver.clear();
      return;
    }
    replacement.lacksCapacity = false;
    replacement.lastSwapAtMs = 0;
    replacement.blockedSinceMs = 0;
    String remark = "no room for what is left on " + stuck.id() + ": another one first";
    recordProgress(replacement, replacement.progress.restrictTo(nextBatch, clock.wall(), remark));
  }

  private void pause(ReplacementState replacement, String reason, boolean untilOperatorResumes) {
    LOG.info("pausing replacement {}: {}", replacement.name, reason);
    recordProgress(
        replacement,
        replacement.progress.pause(reason, untilOperatorResumes),
        () -> emitEvent(replacement.name, "paused", reason));
  }

  private void resumeIfHealthy(ReplacementState replacement) {
    boolean isHealthy =
        !replacement.progress.operatorMustResume()
            && healthCheck.findOutsideFault(isLoopLagging) == null
            && healthCheck.findUnavailableReplicas() == null;
    if (!isHealthy) {
      replacement.healthySinceMs = 0;
    } else if (replacement.healthySinceMs == 0) {
      replacement.healthySinceMs = clock.now();
    } else if (clock.now() - replacement.healthySinceMs > 2 * settings.workers().reportMs()) {
      recordProgress(
          replacement,
          replacement.progress.resume(clock.wall()),
          () -> emitEvent(replacement.name, "resumed", null));
    }
  }

  private void recordProgress(ReplacementState replacement, ReplacementProgress next) {
    recordProgress(replacement, next, () -> {});
  }

  /** Records the next progress; it takes effect only once it is recorded. */
  private void recordProgress(
      ReplacementState replacement, ReplacementProgress next, Runnable onSuccess) {
    replacement.writeInFlight = true;
    String key = StateKeys.REPLACEMENT + replacement.name;
    writer.put(
        key,
        replacement.stamp,
        replacement.toJson(next),
        Priority.BOOKKEEPING,
        outcome -> {
          ReplacementState current = orders.get(replacement.name);
          if (current != null) {
            current.writeInFlight = false;
          }
          if (outcome instanceof TxnOutcome.Applied applied) {
            if (current != null && current.stamp < applied.stamp()) {
              current.stamp = applied.stamp();
              current.progress = next;
            }
            onRecorded.run();
            emitEvent(
                replacement.name,
                next.phase().name().toLowerCase(java.util.Locale.ROOT),
                next.remark());
            onSuccess.run();
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
          // If the outcome is unknown, the next call continues from what the replica delivers.
        });
  }

  /** Emits an event about an order. */
  void emitEvent(String name, String newState, String reason) {
    events.publish(
        Events.Kind.REPLACEMENT,
        o -> {
          o.put("replacement", name).put("state", newState);
          if (reason != null) {
            o.put("reason", reason);
          }
        });
  }
}
