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

  /** Its number; each expired lease begins the next session. */
  long number() {
    return number;
  }

  /** The tick of the last report. */
  long tick() {
    return tick;
  }

  /** The highest fencing token that was shown to it. */
  long token() {
    return token;
  }

  /** Another report is made. */
  void advanceTick() {
    tick++;
  }

  /** Takes a token that is not lower than its own; true when it is higher. */
  boolean acceptToken(long shownToken) {
    boolean higher = shownToken > token;
    token = shownToken;
    return higher;
  }

  /** The lease begins now. */
  void startLease() {
    leaseStartMs = environment.now();
  }

  /** A report sent at this moment was answered. */
  void renewLease(long sentAtMs) {
    leaseStartMs = Math.max(leaseStartMs, sentAtMs);
  }

  /** Milliseconds since it sent the last report that was answered. */
  long leaseAgeMs() {
    return environment.now() - leaseStartMs;
  }

  boolean leaseExpired() {
    return leaseAgeMs() > leaseMs;
  }

  /** The next session, with a lease of its own. */
  void restart() {
    number++;
    startLease();
  }
}
