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
  private boolean crowded;
  private long deafUntil;
  private long muteUntil;

  MachineCondition(EmulatorEnvironment environment) {
    this.environment = environment;
  }

  /** True while it has power, executes, hears what it is told and fails no tasks. */
  boolean sound() {
    return !gone && !hanging && !deaf() && !failing;
  }

  /** True when it has no power any more. */
  boolean gone() {
    return gone;
  }

  /** True while it executes nothing. */
  boolean hanging() {
    return hanging;
  }

  /** True while neither commands nor answers reach it. */
  boolean deaf() {
    return environment.now() < deafUntil;
  }

  /** True while it opens no connection to any controller. */
  boolean mute() {
    return environment.now() < muteUntil;
  }

  /** True when every task fails that starts here. */
  boolean failing() {
    return failing;
  }

  void powerOff() {
    gone = true;
  }

  void fail() {
    failing = true;
  }

  /** True while something that is no task takes all of its room. */
  boolean crowded() {
    return crowded;
  }

  void crowd(long ms) {
    crowded = true;
    environment.after(ms, () -> crowded = false);
  }

  void deafen(long ms) {
    deafUntil = Math.max(deafUntil, environment.now() + ms);
  }

  void mute(long ms) {
    muteUntil = Math.max(muteUntil, environment.now() + ms);
  }

  /** Its tasks stay on it past its lease, for a while in which it hangs. */
  void stall(long ms) {
    stalled = true;
    environment.after(ms, () -> stalled = false);
  }

  /** True while its tasks stay on it past its lease. */
  boolean stalled() {
    return stalled;
  }

  /**
   * Hangs for a while; then {@code resumed} runs, after it all that was deferred, and after that
   * {@code caughtUp}.
   */
  void hang(long ms, Runnable resumed, Runnable caughtUp) {
    hanging = true;
    environment.after(
        ms,
        () -> {
          hanging = false;
          resumed.run();
          List<Runnable> late = List.copyOf(deferred);
          deferred.clear();
          late.forEach(Runnable::run);
          caughtUp.run();
        });
  }

  /** Keeps an action until the present stall is over. */
  void defer(Runnable action) {
    deferred.add(action);
  }
}
