package dapplestair.ledger;

import dapplestair.leadership.FencingToken;
import dapplestair.work.Report;
import dapplestair.work.Submission;

/** One attempt to run a task on a machine, from its planning until its absence is proved. */
public final class Attempt {
  /** The state of an attempt's launch. */
  public enum Phase {
    /** Planned in memory only: the attempt may be dropped freely. */
    PLANNED,
    /** Recorded, but its launch is not sent: the attempt may still be dropped freely. */
    COMMITTED,
    /** Its launch may be in flight or executed. */
    SENT
  }

  /**
   * Value of {@link #neededToken} while a launch's outcome is open: no report proves anything yet.
   */
  static final long LAUNCH_OPEN = Long.MAX_VALUE;

  final Job job;
  final int step;
  final long number;
  final String host;
  final String zone;
  final long session;
  final long plannedAtMs;
  Phase phase = Phase.PLANNED;

  /**
   * The least token with which a report proves this attempt's absence: {@link #LAUNCH_OPEN} while
   * the launch is in flight, a raised fence after a launch without an answer, 0 once the launch was
   * answered.
   */
  long neededToken;

  Report.Status status;
  long statusSinceMs;
  double runTimeBeforeExitS;
  boolean exited;
  boolean done;
  boolean halting;

  /** True if this leader has seen the attempt run. */
  boolean seenRunning;

  /** True if the attempt was read from the records of an earlier leader. */
  boolean adopted;

  long firstHaltAtMs;
  private long lastHaltSentAtMs;
  private double windDownS;
  private final double savedS;

  Attempt(Job job, int step, long number, String host, String zone, long session, long nowMs) {
    this.savedS = job.savedS(step);
    this.job = job;
    this.step = step;
    this.number = number;
    this.host = host;
    this.zone = zone;
    this.session = session;
    this.plannedAtMs = nowMs;
  }

  /** Returns the task's name on the wire. */
  public String key() {
    return job.spec().ref() + "/" + step;
  }

  /** Returns the attempt's job. */
  public Job job() {
    return job;
  }

  /** Returns the job's description. */
  public Submission spec() {
    return job.spec();
  }

  /** Returns the index of the task in its job. */
  public int step() {
    return step;
  }

  /**
   * Returns true if an earlier leader launched the attempt, so that its run time so far is not
   * known.
   */
  public boolean adopted() {
    return adopted;
  }

  /** Returns when the attempt was planned or read from the records, in steady time. */
  public long plannedAtMs() {
    return plannedAtMs;
  }

  /** Returns the run time that checkpoints of earlier attempts keep. */
  public double savedS() {
    return savedS;
  }

  /** Returns the seconds since this leader first saw the attempt running; 0 unless it runs. */
  public double runTimeS(long nowMs) {
    return status == Report.Status.RUNNING ? (nowMs - statusSinceMs) / 1000.0 : 0;
  }

  /** Returns the seconds for which this leader saw the attempt run before it exited. */
  public double runTimeBeforeExitS() {
    return runTimeBeforeExitS;
  }

  /**
   * Returns how many of {@code runTimeS} seconds of run time the attempt's own checkpoints keep.
   */
  public double checkpointedS(double runTimeS) {
    double saveIntervalS = spec().saveIntervalS();
    return saveIntervalS > 0 ? Math.floor(runTimeS / saveIntervalS) * saveIntervalS : 0;
  }

  /** Returns the attempt's number. */
  public long number() {
    return number;
  }

  /** Returns the identifier of the attempt's machine. */
  public String host() {
    return host;
  }

  /** Returns the zone of the attempt's machine. */
  public String zone() {
    return zone;
  }

  /** Returns the worker's session in which the attempt was launched. */
  public long session() {
    return session;
  }

  /** Returns the status that the machine last reported, or null. */
  public Report.Status status() {
    return status;
  }

  /** Returns when this leader first saw that status, in steady time. */
  public long statusSinceMs() {
    return statusSinceMs;
  }

  /** Returns true once the launch may be in flight. */
  public boolean isSent() {
    return phase == Phase.SENT;
  }

  /** Returns true if a stop was requested. */
  public boolean halting() {
    return halting;
  }

  /** Returns true once the attempt has ended on its machine and holds no resources there. */
  public boolean exited() {
    return exited;
  }

  /** Marks the launch as sent to the worker. */
  public void markLaunchSent() {
    phase = Phase.SENT;
    neededToken = LAUNCH_OPEN;
  }

  /** Returns true while it is not known whether the launch was executed. */
  public boolean isLaunchOpen() {
    return isSent() && neededToken == LAUNCH_OPEN;
  }

  /** Marks the launch as answered: the worker has executed it or refused the whole message. */
  public void markLaunchAnswered() {
    neededToken = 0;
  }

  /** Marks the launch as certainly not sent. */
  public void markLaunchNotSent() {
    phase = Phase.COMMITTED;
  }

  /**
   * Marks the launch as unanswered. It may still be executed, however late, until the worker has
   * shown a token of at least {@code fence}.
   */
  public void markLaunchUnknown(long fence) {
    neededToken = fence;
  }

  /**
   * Marks the attempt as read from the records of an earlier leader. Its launch may still be in
   * flight: only a report under a token of this term proves anything about it.
   */
  void markAdopted(long term) {
    phase = Phase.SENT;
    adopted = true;
    neededToken = FencingToken.of(term, 0);
  }

  /**
   * Marks the attempt as shown by a report of its session. If it is recorded but was not sent by
   * this leader, an earlier leader sent it.
   */
  void markSeenOnMachine() {
    phase = Phase.SENT;
    neededToken = 0;
  }

  /** Marks a stop as sent. */
  public void markHaltSent(long nowMs, double newWindDownS) {
    lastHaltSentAtMs = nowMs;
    windDownS = newWindDownS;
  }

  /** Returns when a stop was last sent, in steady time. */
  public long lastHaltSentAtMs() {
    return lastHaltSentAtMs;
  }

  /** Returns when a stop was first requested, in steady time. */
  public long firstHaltAtMs() {
    return firstHaltAtMs;
  }

  /** Returns the seconds that the last stop gave the task to save its state. */
  public double windDownS() {
    return windDownS;
  }
}
