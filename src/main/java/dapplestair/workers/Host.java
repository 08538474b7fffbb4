package dapplestair.workers;

import dapplestair.ledger.Machine;
import dapplestair.machines.MachineType;
import dapplestair.work.WorkerCommand;
import java.util.LinkedHashMap;
import java.util.Map;

/** A machine as the leader knows it. Times are milliseconds of the steady clock. */
public final class Host extends Machine {
  String endpoint;

  // What its worker's newest report says, and when the worker was reached.
  long session;
  long tick = -1;
  long tokenSeen;
  long lastReachedAt = Long.MIN_VALUE / 2;

  /**
   * When its worker last sent a report of its own accord that shows that it receives our replies.
   * Until the first such report, the time at which the machine was first reached. Replies to calls
   * don't count, since they renew no lease.
   */
  long lastReportedAt = Long.MIN_VALUE / 2;

  long reclaimAt = Long.MAX_VALUE;
  int strayTaskCount;

  // Fencing: what may be concluded from its reports.
  long fence;

  /**
   * The lowest token that a report must show to prove that our replies reach the machine: the first
   * token of the term, and after failed calls the token that was raised by the first of them.
   */
  long reachabilityToken;

  boolean termAcknowledged;

  // Commands.
  final Map<String, WorkerCommand> outbox = new LinkedHashMap<>();
  boolean callInProgress;
  int failedCalls;

  /**
   * The controller that holds the worker's connection and relays its reports, or null if this
   * controller does.
   */
  String relayController;

  boolean lastCallConnected;
  long nextCallAt;

  // Rental.
  private final long knownSince;
  private long rentedAt = Long.MAX_VALUE;
  private long firstListedAt = Long.MAX_VALUE;
  private boolean releasing;
  private boolean gone;
  private boolean draining;
  private boolean cordoned;
  private boolean drainedByOperator;
  private boolean reportedUpByCloud;
  private long drainAt = Long.MAX_VALUE;
  private boolean unreachable;
  private boolean notReporting;
  private long zoneSilentMs;

  private int completedTasks;
  private Probation probation = Probation.NONE;
  private int failures;
  private double slowness = 1;

  Host(String id, long now) {
    super(id, now);
    this.knownSince = now;
  }

  /** Updates what the cloud or the worker itself says about the machine. */
  public void describe(String newEndpoint, MachineType newType, String newZone, boolean isSpot) {
    if (newEndpoint != null) {
      endpoint = newEndpoint;
    }
    describe(newType, newZone, isSpot);
  }

  /** Returns true once its worker has reported. */
  public boolean isUp() {
    return tick >= 0;
  }

  /** Returns true once it was reached: it was heard, and is known to receive our replies. */
  boolean wasReached() {
    return lastReachedAt > Long.MIN_VALUE / 2;
  }

  /**
   * Returns when its worker was last reached, in steady time: when it last answered a call, or sent
   * a report that shows that our replies arrive.
   */
  public long lastReachedAt() {
    return lastReachedAt;
  }

  /** Returns when this controller first learned of it. */
  public long knownSince() {
    return knownSince;
  }

  @Override
  public long session() {
    return session;
  }

  /** Returns true once a reclaim notice says that the cloud will take the machine back. */
  public boolean hasReclaimNotice() {
    return reclaimAt != Long.MAX_VALUE;
  }

  /** Returns when the cloud will take the machine back, or {@link Long#MAX_VALUE}. */
  public long reclaimAt() {
    return reclaimAt;
  }

  @Override
  public boolean closed() {
    return !termAcknowledged
        || gone
        || releasing
        || draining
        || drainedByOperator
        || cordoned
        || hasReclaimNotice()
        || strayTaskCount > 0
        || isOverfull()
        || type() == null;
  }

  /** Returns true while it is being returned to the cloud. */
  public boolean isReleasing() {
    return releasing;
  }

  /** Marks it as being returned, or not: nothing may start on it while it is. */
  public void setReleasing(boolean value) {
    releasing = value;
  }

  /** Returns true when it is proved to be gone. */
  public boolean isGone() {
    return gone;
  }

  /** Marks it as proved to be gone. */
  public void markGone() {
    gone = true;
  }

  /** Returns true when it is being emptied because it is found to be faulty. */
  public boolean isDraining() {
    return draining;
  }

  /** Sets whether it is being emptied. */
  public void setDraining(boolean value) {
    draining = value;
  }

  /**
   * Returns true when operators have ordered it to be emptied. It stays rented, but doesn't count
   * as capacity for planning.
   */
  public boolean isDrainedByOperator() {
    return drainedByOperator;
  }

  /** Sets whether operators have ordered it to be emptied. */
  public void setDrainedByOperator(boolean value) {
    drainedByOperator = value;
  }

  /**
   * Returns true when its worker has shown a token of this term, so that its reports are proofs.
   */
  public boolean hasAcknowledgedTerm() {
    return termAcknowledged;
  }

  /** Returns true while a task runs on it that no record accounts for. */
  public boolean hasStrayTasks() {
    return strayTaskCount > 0;
  }

  /** Returns the number of commands that wait to be sent to it. */
  public int queuedCommands() {
    return outbox.size();
  }

  /** Returns its address, or null while it is unknown. */
  public String endpoint() {
    return endpoint;
  }

  /** Returns true when it gets no new work because the plan asks for fewer machines of its kind. */
  public boolean isCordoned() {
    return cordoned;
  }

  /**
   * Sets whether it gets no new work. Unlike a drained machine, a cordoned one can be taken back
   * into use at any time.
   */
  public void setCordoned(boolean value) {
    cordoned = value;
  }

  /** Returns when it was rented, or {@link Long#MAX_VALUE}. */
  public long rentedAt() {
    return rentedAt;
  }

  /** Sets when it was rented; an earlier time that is known already is kept. */
  public void setRentedAt(long at) {
    rentedAt = Math.min(rentedAt, at);
  }

  /** Returns when a machine list of the cloud first contained it, or {@link Long#MAX_VALUE}. */
  public long firstListedAt() {
    return firstListedAt;
  }

  /** Records that a machine list of the cloud contains it. */
  public void markListed(long at) {
    firstListedAt = Math.min(firstListedAt, at);
  }

  /** Records that the cloud reports it as up, so that its worker is expected to answer. */
  public void markExpectedUp() {
    reportedUpByCloud = true;
  }

  /** Returns true when its worker is expected to answer. */
  public boolean isExpectedUp() {
    return isUp() || reportedUpByCloud;
  }

  /**
   * Returns true when it has been silent for so long that it doesn't count as capacity any more.
   */
  public boolean isUnreachable() {
    return unreachable;
  }

  void setUnreachable(boolean value) {
    unreachable = value;
  }

  /** Returns true when it answers calls but doesn't report, so that its lease will expire. */
  public boolean isNotReporting() {
    return notReporting;
  }

  void setNotReporting(boolean value) {
    notReporting = value;
  }

  /**
   * Returns true when it still accepts connections but doesn't answer: it hangs, and may continue
   * at any time within its lease. A machine without power, or behind a network cut, accepts no
   * connections.
   */
  public boolean isHanging() {
    return failedCalls >= 2 && lastCallConnected;
  }

  /** Returns how long its whole zone has been silent, or 0 while the zone is heard. */
  public long zoneSilentMs() {
    return zoneSilentMs;
  }

  void setZoneSilentMs(long value) {
    zoneSilentMs = value;
  }

  /** Returns true when its address is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /** Records that a task completed on it. */
  public void taskCompleted() {
    completedTasks++;
  }

  /** Returns the number of tasks that completed on it, as far as this leader has seen. */
  public int completedTasks() {
    return completedTasks;
  }

  /** Returns when it is to be emptied, in steady time, or {@link Long#MAX_VALUE}. */
  public long drainAt() {
    return drainAt;
  }

  /** Sets when it is to be emptied: it gets only tasks that end before that time. */
  public void setDrainAt(long at) {
    drainAt = at;
  }

  /**
   * Returns the number of failures on it that no failing job explains, since a task last began and
   * completed on it.
   */
  public int failures() {
    return failures;
  }

  /** Sets the number of unexplained failures; see package blame. */
  public void setFailures(int count) {
    failures = count;
  }

  /** Sets its probation; see package blame. */
  public void setProbation(Probation value) {
    probation = value;
  }

  /** Returns true when it gets only one task at a time. */
  public boolean isOnProbation(long now) {
    return now < probation.until();
  }

  /** Returns true when it gets only one task at a time, and has that task already. */
  public boolean hasProbationTask(long now) {
    return isOnProbation(now)
        && attempts().stream()
            .anyMatch(attempt -> !attempt.exited() && attempt.plannedAtMs() > probation.since());
  }

  /** Returns the smoothed ratio of the run times on it to the expected run times. */
  public double slowness() {
    return slowness;
  }

  /** Adds an observed ratio of actual to expected run time to the smoothed one. */
  public void observeSlowness(double ratio) {
    slowness += 0.3 * (ratio - slowness);
  }
}
