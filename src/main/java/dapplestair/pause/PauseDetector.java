package dapplestair.pause;

import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this process did not run for a while although its clocks went on. After such a pause
 * its timers may be due before anything that arrived meanwhile is read, so another controller may
 * lead and all that this one knows may be out of date. Requests that can be neither fenced nor
 * undone must wait until the records have been read again.
 */
public final class PauseDetector implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
  private static final int CHECKS_PER_MAX_GAP = 4;

  private final Clock clock;
  private final Timers timers;
  private final long maxGapMs;
  private final long unansweredMs;
  private final LongSupplier recordsAsOfMs;
  private long lastRunAtMs;
  private long pauseEndedAtMs = Long.MIN_VALUE / 2;
  private long pauseCount;
  private long heldBackCount;
  private boolean isWaitLogged = true;
  private Cancellable timer = () -> {};

  /**
   * Creates a detector, which detects pauses after {@link #start}.
   *
   * @param maxGapMs a longer time without a turn of the event loop counts as a pause
   * @param unansweredMs so long after a pause the records count as unreadable for now
   * @param recordsAsOfMs returns when the newest read of the records was requested
   */
  public PauseDetector(
      Clock clock, Timers timers, long maxGapMs, long unansweredMs, LongSupplier recordsAsOfMs) {
    this.clock = clock;
    this.timers = timers;
    this.maxGapMs = maxGapMs;
    this.unansweredMs = unansweredMs;
    this.recordsAsOfMs = recordsAsOfMs;
    this.lastRunAtMs = clock.now();
  }

  /** Starts to watch for pauses. */
  public void start() {
    lastRunAtMs = clock.now();
    check();
  }

  private void check() {
    observe();
    if (!isWaitLogged && hasReadRecords()) {
      isWaitLogged = true;
      LOG.info(
          "records read again {} ms after the pause; {} requests were held back so far",
          clock.now() - pauseEndedAtMs,
          heldBackCount);
    }
    timer = timers.after(maxGapMs / CHECKS_PER_MAX_GAP, this::check);
  }

  /**
   * Notes that this process runs. Whoever asks notes it, too: after a pause, other timers may run
   * before that of this class.
   */
  private void observe() {
    long nowMs = clock.now();
    long gapMs = nowMs - lastRunAtMs;
    lastRunAtMs = nowMs;
    if (gapMs > maxGapMs) {
      pauseEndedAtMs = nowMs;
      pauseCount++;
      isWaitLogged = false;
      LOG.warn(
          "this process did not run for {} ms; no machine is returned until the records are read",
          gapMs);
    }
  }

  private boolean hasReadRecords() {
    return recordsAsOfMs.getAsLong() >= pauseEndedAtMs;
  }

  /** Returns whether the records have been read since the last pause, if there was any. */
  public boolean isKnowledgeCurrent() {
    observe();
    return hasReadRecords();
  }

  /**
   * Returns whether a request may be made that cannot wait for ever: the records have been read
   * since the last pause, or have not answered for so long that they count as unreadable.
   */
  public boolean mayActOnDeadline() {
    return isKnowledgeCurrent() || clock.now() - pauseEndedAtMs >= unansweredMs;
  }

  /** Returns when the last pause ended, on the steady clock; a time long ago if there was none. */
  public long pauseEndedAtMs() {
    observe();
    return pauseEndedAtMs;
  }

  /** Returns the number of pauses so far; what was decided at another number is judged again. */
  public long pauseCount() {
    observe();
    return pauseCount;
  }

  /** Counts a request that was not made because of a pause. */
  public void countHeldBack() {
    heldBackCount++;
  }

  /** Returns the number of requests that were not made because of a pause. */
  public long heldBackCount() {
    return heldBackCount;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
