package dapplestair.ledger;

import dapplestair.leadership.FencingToken;
import dapplestair.work.Report;
import dapplestair.work.Submission;

/** One try at running one task on one machine, from its planning until its absence is proved. */
public final class Attempt {
  /** How far an attempt's launch has come. */
  public enum Phase {
    /** In memory only: it may be dropped freely. */
    PLANNED,
    /** Recorded, its launch not sent: it may still be dropped freely. */
    COMMITTED,
    /** Its launch may be on its way or done. */
    SENT
  }

  /** A launch whose outcome is open: no report proves anything yet. */
  static final long OPEN = Long.MAX_VALUE;

  final Job job;
  final int step;
  final long number;
  final String host;
  final String zone;
  final long session;
  final long plannedAt;
  Phase phase = Phase.PLANNED;

  /**
   * A report proves this attempt's absence only if its token is at least this. {@link #OPEN} while
   * the launch is under way; a raised fence after a launch without answer; 0 once answered.
   */
  long neededToken;

  Report.Status status;
  long statusAt;
  double ranBeforeExitS;
  boolean exited;
  boolean done;
  boolean halting;

  /** It was seen to run. */
  boolean began;

  /** Read from the records of an earlier leader. */
  boolean adopted;

  long haltAt;
  private long lastHaltAt;
  private double windDownS;
  private final double savedS;

  Attempt(Job job, int step, long number, String host, String zone, long session, long now) {
    this.savedS = job.savedS(step);
    this.job = job;
    this.step = step;
    this.number = number;
    this.host = host;
    this.zone = zone;
    this.session = session;
    this.plannedAt = now;
  }

  /** The task's name on the wire. */
  public String key() {
    return job.spec().ref() + "/" + step;
  }

  /** Its job. */
  public Job job() {
    return job;
  }

  /** The job's description. */
  public Submission spec() {
    return job.spec();
  }

  /** Index of the task in its job. */
  public int step() {
    return step;
  }

  /** True when an earlier leader launched it, so that how long it has run is not known. */
  public boolean adopted() {
    return adopted;
  }

  /** When it was planned, or read from the records. */
  public long plannedAt() {
    return plannedAt;
  }

  /** Run time that earlier attempts saved. */
  public double savedS() {
    return savedS;
  }

  /** Seconds for which it has run, as far as seen here. */
  public double ranS(long now) {
    return status == Report.Status.RUNNING ? (now - statusAt) / 1000.0 : 0;
  }

  /** Seconds for which it ran before it exited, as far as seen here. */
  public double ranBeforeExitS() {
    return ranBeforeExitS;
  }

  /** Of {@code ranS} seconds run, those that its own checkpoints keep. */
  public double keptS(double ranS) {
    double every = spec().saveIntervalS();
    return every > 0 ? Math.floor(ranS / every) * every : 0;
  }

  /** Number of this try. */
  public long number() {
    return number;
  }

  /** Its machine. */
  public String host() {
    return host;
  }

  /** Its machine's zone. */
  public String zone() {
    return zone;
  }

  /** The worker's session it was launched in. */
  public long session() {
    return session;
  }

  /** What its machine last said, or null. */
  public Report.Status status() {
    return status;
  }

  /** Since when it is in that state, as seen here. */
  public long statusAt() {
    return statusAt;
  }

  /** True once its launch may be under way. */
  public boolean sent() {
    return phase == Phase.SENT;
  }

  /** True when a stop was asked for. */
  public boolean halting() {
    return halting;
  }

  /** True once it has ended on its machine: it holds no room there. */
  public boolean exited() {
    return exited;
  }

  /** The launch left for the worker. */
  public void launchSent() {
    phase = Phase.SENT;
    neededToken = OPEN;
  }

  /** True while nothing tells whether its launch was executed. */
  public boolean launchOpen() {
    return sent() && neededToken == OPEN;
  }

  /** The worker answered: it has executed the launch, or refused the whole message. */
  public void launchAnswered() {
    neededToken = 0;
  }

  /** The launch was surely not sent. */
  public void launchNotSent() {
    phase = Phase.COMMITTED;
  }

  /**
   * No answer. The launch may still be executed, however late, until the worker has shown a token
   * that is at least {@code fence}.
   */
  public void launchUnknown(long fence) {
    neededToken = fence;
  }

  /**
   * Read from the records of an earlier leader. Its launch may still be on its way: only a report
   * under a token of this term proves anything about it.
   */
  void adoptedBy(long term) {
    phase = Phase.SENT;
    adopted = true;
    neededToken = FencingToken.of(term, 0);
  }

  /** A report of its session shows it. Recorded but not sent, it is of an earlier leader's time. */
  void seenOnMachine() {
    phase = Phase.SENT;
    neededToken = 0;
  }

  /** A stop was sent. */
  public void haltSent(long now, double newWindDownS) {
    lastHaltAt = now;
    windDownS = newWindDownS;
  }

  /** When a stop was last sent. */
  public long lastHaltAt() {
    return lastHaltAt;
  }

  /** When a stop was first asked for. */
  public long haltAt() {
    return haltAt;
  }

  /** Time it was given to save. */
  public double windDownS() {
    return windDownS;
  }
}
