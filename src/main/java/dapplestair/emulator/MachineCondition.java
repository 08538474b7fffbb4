package dapplestair.emulator;

import java.util.ArrayList;
import java.util.List;

/** The injected faults of a machine: power loss, hangs, network cuts, failing tasks, occupation. */
final class MachineCondition {
  private final EmulatorEnvironment environment;
  private final List<Runnable> deferred = new ArrayList<>();
  private boolean gone;
  private boolean hanging;
  private boolean failing;
  private boolean stalled;
  private boolean occupied;
  private long inboundCutUntilMs;
  private long outboundCutUntilMs;

  MachineCondition(EmulatorEnvironment environment) {
    this.environment = environment;
  }

  /** Returns true if the machine has power, executes, receives traffic and fails no tasks. */
  boolean isHealthy() {
    return !gone && !hanging && !isInboundCut() && !failing;
  }

  /** Returns true once the machine has lost power. */
  boolean isGone() {
    return gone;
  }

  /** Returns true while the machine executes nothing. */
  boolean isHanging() {
    return hanging;
  }

  /** Returns true while neither commands nor replies reach the machine. */
  boolean isInboundCut() {
    return environment.now() < inboundCutUntilMs;
  }

  /** Returns true while the machine can't open a connection to any controller. */
  boolean isOutboundCut() {
    return environment.now() < outboundCutUntilMs;
  }

  /** Returns true if every task that starts here fails. */
  boolean failsTasks() {
    return failing;
  }

  void powerOff() {
    gone = true;
  }

  void failAllTasks() {
    failing = true;
  }

  /** Returns true while something other than tasks occupies the whole machine. */
  boolean isOccupied() {
    return occupied;
  }

  void occupy(long ms) {
    occupied = true;
    environment.after(ms, () -> occupied = false);
  }

  void cutInbound(long ms) {
    inboundCutUntilMs = Math.max(inboundCutUntilMs, environment.now() + ms);
  }

  void cutOutbound(long ms) {
    outboundCutUntilMs = Math.max(outboundCutUntilMs, environment.now() + ms);
  }

  /** Makes the tasks survive an expired lease for a while; the caller makes the machine hang. */
  void stall(long ms) {
    stalled = true;
    environment.after(ms, () -> stalled = false);
  }

  /** Returns true while the tasks survive an expired lease. */
  boolean isStalled() {
    return stalled;
  }

  /**
   * Makes the machine execute nothing for a while. Afterwards {@code onResumed} runs, then all
   * deferred actions, then {@code onCaughtUp}.
   */
  void hang(long ms, Runnable onResumed, Runnable onCaughtUp) {
    hanging = true;
    environment.after(
        ms,
        () -> {
          hanging = false;
          onResumed.run();
          List<Runnable> dueActions = List.copyOf(deferred);
          deferred.clear();
          dueActions.forEach(Runnable::run);
          onCaughtUp.run();
        });
  }

  /** Defers an action until the machine no longer hangs. */
  void defer(Runnable action) {
    deferred.add(action);
  }
}
