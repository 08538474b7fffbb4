package dapplestair.emulator;

/** A worker's session: its number, the tick of its reports, its fencing token and its lease. */
final class WorkerSession {
  private final EmulatorEnvironment environment;
  private final long leaseMs;
  private long number = 1;
  private long tick;
  private long token;
  private long leaseFrom;

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
  void nextTick() {
    tick++;
  }

  /** Takes a token that is not lower than its own; true when it is higher. */
  boolean accept(long shown) {
    boolean higher = shown > token;
    token = shown;
    return higher;
  }

  /** The lease begins now. */
  void startLease() {
    leaseFrom = environment.now();
  }

  /** A report sent at this moment was answered. */
  void renewLease(long sentAt) {
    leaseFrom = Math.max(leaseFrom, sentAt);
  }

  /** Milliseconds since it sent the last report that was answered. */
  long leaseAgeMs() {
    return environment.now() - leaseFrom;
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
