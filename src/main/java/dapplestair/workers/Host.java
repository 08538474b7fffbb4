package dapplestair.workers;

import dapplestair.ledger.Machine;
import dapplestair.machines.MachineType;
import dapplestair.work.WorkerCommand;
import java.util.LinkedHashMap;
import java.util.Map;

/** One machine as the leader knows it. */
public final class Host extends Machine {
  String endpoint;

  // What its worker last said.
  long session;
  long tick = -1;
  long tokenSeen;
  long lastReachedAt = Long.MIN_VALUE / 2;

  /**
   * When its worker last reported by itself, as one that hears us; until it does, when it was first
   * reached. Answers to calls don't count: they renew no lease.
   */
  long lastReportedAt = Long.MIN_VALUE / 2;

  long reclaimAt = Long.MAX_VALUE;
  int strayTaskCount;

  // What we may conclude from it.
  long fence;

  /**
   * The token that a report has to show before it says that our answers reach the machine: the
   * first of the term, then the one raised by the first call of several that got no answer.
   */
  long reachabilityToken;

  boolean termAcknowledged;

  // Orders.
  final Map<String, WorkerCommand> outbox = new LinkedHashMap<>();
  boolean callInProgress;
  int failedCalls;

  /** The controller that holds its connection and passes its reports on, or null for this one. */
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

  /** Fills in what is learnt from the cloud or from the worker itself. */
  public void describe(String newEndpoint, MachineType newType, String newZone, boolean isSpot) {
    if (newEndpoint != null) {
      endpoint = newEndpoint;
    }
    describe(newType, newZone, isSpot);
  }

  /** True once its worker has reported. */
  public boolean isUp() {
    return tick >= 0;
  }

  /** True once it was reached: heard, and known to have heard us. */
  boolean wasReached() {
    return lastReachedAt > Long.MIN_VALUE / 2;
  }

  /**
   * When its worker was last reached, in steady time: it reported, and showed that our answers come
   * through.
   */
  public long lastReachedAt() {
    return lastReachedAt;
  }

  /** When this controller first knew of it. */
  public long knownSince() {
    return knownSince;
  }

  @Override
  public long session() {
    return session;
  }

  /** True once a notice says that it will be taken. */
  public boolean hasReclaimNotice() {
    return reclaimAt != Long.MAX_VALUE;
  }

  /** When it will be taken. */
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
        || overfull()
        || type() == null;
  }

  /** True while a release is under way. */
  public boolean isReleasing() {
    return releasing;
  }

  /** Marks it as being returned: nothing may start on it from now on. */
  public void setReleasing(boolean value) {
    releasing = value;
  }

  /** True when it is proved to be gone. */
  public boolean isGone() {
    return gone;
  }

  /** Marks it as proved to be gone. */
  public void markGone() {
    gone = true;
  }

  /** True when it is being emptied. */
  public boolean isDraining() {
    return draining;
  }

  /** Empties it, or not. */
  public void setDraining(boolean value) {
    draining = value;
  }

  /** True when operators have it emptied; it stays rented, and is no room to plan with. */
  public boolean isDrainedByOperator() {
    return drainedByOperator;
  }

  /** Operators want it emptied, or not any more. */
  public void setDrainedByOperator(boolean value) {
    drainedByOperator = value;
  }

  /** True when its worker has shown a token of this term, so that reports prove something. */
  public boolean hasAcknowledgedTerm() {
    return termAcknowledged;
  }

  /** True while something runs on it that no record accounts for. */
  public boolean hasStrayTasks() {
    return strayTaskCount > 0;
  }

  /** Orders that wait to be sent to it. */
  public int queuedCommands() {
    return outbox.size();
  }

  /** Its address, or null. */
  public String endpoint() {
    return endpoint;
  }

  /** True when it gets no new work, since the plan wants fewer of its kind. */
  public boolean isCordoned() {
    return cordoned;
  }

  /** Gives it new work or not; unlike a drained machine it goes back into use for the asking. */
  public void setCordoned(boolean value) {
    cordoned = value;
  }

  /** When it was rented, or {@link Long#MAX_VALUE}. */
  public long rentedAt() {
    return rentedAt;
  }

  /** Sets when it was rented. */
  public void setRentedAt(long at) {
    rentedAt = Math.min(rentedAt, at);
  }

  /** When a list first held it. */
  public long firstListedAt() {
    return firstListedAt;
  }

  /** A list holds it. */
  public void markListed(long at) {
    firstListedAt = Math.min(firstListedAt, at);
  }

  /** The cloud says that it is up, so its worker should answer. */
  public void markExpectedUp() {
    reportedUpByCloud = true;
  }

  /** True when its worker should answer. */
  public boolean expectedUp() {
    return isUp() || reportedUpByCloud;
  }

  /** True when it has been silent for long enough that its room is no room. */
  public boolean isUnreachable() {
    return unreachable;
  }

  void setUnreachable(boolean value) {
    unreachable = value;
  }

  /** True when it answers calls but does not report, so that its lease runs out. */
  public boolean isNotReporting() {
    return notReporting;
  }

  void setNotReporting(boolean value) {
    notReporting = value;
  }

  /**
   * True when it still takes connections, but answers nothing: it hangs, and may go on at any time
   * within its lease. A machine without power, or behind a cut, takes none.
   */
  public boolean isHanging() {
    return failedCalls >= 2 && lastCallConnected;
  }

  /** How long its whole zone has been silent; 0 while the zone is heard. */
  public long zoneSilentMs() {
    return zoneSilentMs;
  }

  void setZoneSilentMs(long value) {
    zoneSilentMs = value;
  }

  /** True when its address is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /** A task completed here. */
  public void taskCompleted() {
    completedTasks++;
  }

  /** Tasks completed here, as far as this leader has seen. */
  public int completedTasks() {
    return completedTasks;
  }

  /** When it is to be emptied, steady time, or {@link Long#MAX_VALUE}. */
  public long drainAt() {
    return drainAt;
  }

  /** It is to be emptied then: it takes only what ends before. */
  public void setDrainAt(long at) {
    drainAt = at;
  }

  /** Failures here that no wrong job explains, since a task last began and completed here. */
  public int failures() {
    return failures;
  }

  /** See package blame. */
  public void setFailures(int count) {
    failures = count;
  }

  /** See package blame. */
  public void setProbation(Probation value) {
    probation = value;
  }

  /** True when it gets one task at a time. */
  public boolean onProbation(long now) {
    return now < probation.until();
  }

  /** True when it gets one task at a time, and has it. */
  public boolean hasProbationTask(long now) {
    return onProbation(now)
        && attempts().stream()
            .anyMatch(attempt -> !attempt.exited() && attempt.plannedAt() > probation.since());
  }

  /** Run time here over the run time expected, smoothed. */
  public double slowness() {
    return slowness;
  }

  /** One more observation of the machine's speed. */
  public void observeSlowness(double ratio) {
    slowness += 0.3 * (ratio - slowness);
  }
}
