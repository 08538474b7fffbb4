package dapplestair.emulator;

import java.util.ArrayList;
import java.util.List;

/** What ails a machine: no power, a stall, an inbound link that drops everything, failing tasks. */
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

  /** True while it has power, executes, hears what it is told and fails no tasks. */
  boolean isHealthy() {
    return !gone && !hanging && !isInboundCut() && !failing;
  }

  /** True when it has no power any more. */
  boolean isGone() {
    return gone;
  }

  /** True while it executes nothing. */
  boolean isHanging() {
    return hanging;
  }

  /** True while neither commands nor answers reach it. */
  boolean isInboundCut() {
    return environment.now() < inboundCutUntilMs;
  }

  /** True while it opens no connection to any controller. */
  boolean isOutboundCut() {
    return environment.now() < outboundCutUntilMs;
  }

  /** True when every task fails that starts here. */
  boolean failsTasks() {
    return failing;
  }

  void powerOff() {
    gone = true;
  }

  void failAllTasks() {
    failing = true;
  }

  /** True while something that is no task takes all of its room. */
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

  /** Its tasks stay on it past its lease, for a while in which it hangs. */
  void stall(long ms) {
    stalled = true;
    environment.after(ms, () -> stalled = false);
  }

  /** True while its tasks stay on it past its lease. */
  boolean isStalled() {
    return stalled;
  }

  /**
   * Hangs for a while; then {@code onResumed} runs, after it all that was deferred, and after that
   * {@code onCaughtUp}.
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

  /** Keeps an action until the present stall is over. */
  void defer(Runnable action) {
    deferred.add(action);
  }
}
