package dapplestair.metrics;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Histograms and counters of the time since the last summary. */
public final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);

  /** Receives each measurement in addition to the summary. */
  public interface Sink {
    /** See {@link Metrics#recordAcceptance}. */
    void recordAcceptance(long ms);

    /** See {@link Metrics#recordTaskStart}. */
    void recordTaskStart(long ms);

    /** See {@link Metrics#recordLoopLag}. */
    void recordLoopLag(long ms);

    /** See {@link Metrics#recordShedRequest}. */
    void recordShedRequest();

    /** See {@link Metrics#recordFailedAttempt}. */
    void recordFailedAttempt();
  }

  private Sink sink;
  private final Histogram acceptanceMs = new Histogram(60_000, 2);
  private final Histogram taskStartMs = new Histogram(3_600_000, 2);
  private final Histogram loopLagMs = new Histogram(60_000, 2);
  private long shedRequests;
  private long startedTasks;
  private long failedAttempts;

  /** Sets the sink that receives all further measurements. */
  public void setSink(Sink newSink) {
    sink = newSink;
  }

  /** Records that a submission was accepted {@code ms} after it arrived. */
  public void recordAcceptance(long ms) {
    if (sink != null) {
      sink.recordAcceptance(ms);
    }
    acceptanceMs.recordValue(Math.min(60_000, Math.max(0, ms)));
  }

  /** Records that a task started {@code ms} after the first known attempt to submit its job. */
  public void recordTaskStart(long ms) {
    startedTasks++;
    if (sink != null) {
      sink.recordTaskStart(ms);
    }
    taskStartMs.recordValue(Math.min(3_600_000, Math.max(0, ms)));
  }

  /** Records that a timer fired {@code ms} late, which is how far the event loop lags behind. */
  public void recordLoopLag(long ms) {
    if (sink != null) {
      sink.recordLoopLag(Math.max(0, ms));
    }
    loopLagMs.recordValue(Math.min(60_000, Math.max(0, ms)));
  }

  /** Records that a user's request was rejected with 503. */
  public void recordShedRequest() {
    shedRequests++;
    if (sink != null) {
      sink.recordShedRequest();
    }
  }

  /** Records that an attempt ended on its own without completing. */
  public void recordFailedAttempt() {
    failedAttempts++;
    if (sink != null) {
      sink.recordFailedAttempt();
    }
  }

  /** Logs one summary line, which ends with {@code status}, and resets all measurements. */
  public void logSummary(String status) {
    LOG.info(
        "summary: accepted {} (p50 {} ms, p99 {} ms), turned away {}, started {} (p50 {} ms,"
            + " p90 {} ms), lost {}, lag p99 {} ms, most {} ms; {}",
        acceptanceMs.getTotalCount(),
        acceptanceMs.getValueAtPercentile(50),
        acceptanceMs.getValueAtPercentile(99),
        shedRequests,
        startedTasks,
        taskStartMs.getValueAtPercentile(50),
        taskStartMs.getValueAtPercentile(90),
        failedAttempts,
        loopLagMs.getValueAtPercentile(99),
        loopLagMs.getMaxValue(),
        status);
    loopLagMs.reset();
    acceptanceMs.reset();
    taskStartMs.reset();
    shedRequests = 0;
    startedTasks = 0;
    failedAttempts = 0;
  }
}
