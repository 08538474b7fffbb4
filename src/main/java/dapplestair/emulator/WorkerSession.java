package dapplestair.emulator;

/** A worker's session: its number, the tick of its reports, its fencing token and its lease. */
final class WorkerSession {
  private final EmulatorEnvironment environment;
  private final long leaseMs;
  private long number = 1;
  private long tick;
  private long token;
  private long leaseStartMs;

  WorkerSession(EmulatorEnvironment environment, long leaseMs) {
    this.environment = environment;
    this.leaseMs = leaseMs;
  }

  /** Returns the session's number; each expired lease begins the next session. */
  long number() {
    return number;
  }

  /** Returns the tick of the last report. */
  long tick() {
    return tick;
  }

  /** Returns the highest fencing token that the worker has seen. */
  long token() {
    return token;
  }

  /** Advances the tick for another report. */
  void advanceTick() {
    tick++;
  }

  /** Accepts a token that is not lower than the present one; returns true if it is higher. */
  boolean acceptToken(long shownToken) {
    boolean higher = shownToken > token;
    token = shownToken;
    return higher;
  }

  /** Starts the lease now. */
  void startLease() {
    leaseStartMs = environment.now();
  }

  /** Renews the lease from the time at which an answered report was sent. */
  void renewLease(long sentAtMs) {
    leaseStartMs = Math.max(leaseStartMs, sentAtMs);
  }

  /** Returns the milliseconds since the worker sent the last report that was answered. */
  long leaseAgeMs() {
    return environment.now() - leaseStartMs;
  }

  boolean leaseExpired() {
    return leaseAgeMs() > leaseMs;
  }

  /** Begins the next session, with a new lease. */
  void restart() {
    number++;
    startLease();
  }
}
