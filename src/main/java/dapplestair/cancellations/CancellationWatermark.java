package dapplestair.cancellations;

import dapplestair.ports.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Tracks the time up to which this controller knows every cancellation that any controller has
 * confirmed. This is the later of two times: that of its last read of the state service, and the
 * earliest of the times up to which each peer has sent its complete log.
 */
final class CancellationWatermark {
  static final long NEVER = Long.MIN_VALUE / 2;

  /** What this controller knows of the log of one peer. */
  static final class PeerLog {
    /** The process that owns the log. A peer that restarts has a new process and a new log. */
    long logId;

    /** Number of the last entry received from the log. */
    long lastEntryNumber;

    /** When the first response of this process was received. */
    long firstHeardAtMs = NEVER;

    /** All cancellations that the peer confirmed before this time are known here. */
    long completeUpToMs = NEVER;
  }

  private final Clock clock;
  private final LongSupplier stateReadAtMs;
  private final Map<String, PeerLog> peerLogs = new HashMap<>();

  /**
   * Creates a watermark.
   *
   * @param stateReadAtMs when the newest read of the records was requested, or {@link #NEVER}
   * @param members the peers whose logs count
   */
  CancellationWatermark(Clock clock, LongSupplier stateReadAtMs, Iterable<String> members) {
    this.clock = clock;
    this.stateReadAtMs = stateReadAtMs;
    members.forEach(member -> peerLogs.put(member, new PeerLog()));
  }

  PeerLog peerLog(String member) {
    return peerLogs.get(member);
  }

  /**
   * Returns true if this process is the current one of a peer and {@code isMemberAlive} accepts
   * that peer.
   */
  boolean isAlive(long processId, Predicate<String> isMemberAlive) {
    return peerLogs.entrySet().stream()
        .anyMatch(
            entry -> entry.getValue().logId == processId && isMemberAlive.test(entry.getKey()));
  }

  /** Starts a new log for a peer whose process has changed. */
  void startNewLog(PeerLog peerLog, long logId) {
    peerLog.logId = logId;
    peerLog.lastEntryNumber = 0;
    peerLog.firstHeardAtMs = clock.now();
  }

  /**
   * Records that the peer has sent everything that its current process confirmed before {@code
   * askedAtMs}. The peer does not know what an earlier process of its own confirmed: only the
   * records show that, if they were read after that process had ended. Nothing is concluded from a
   * refused connection or a missing response, so the time of a dead or disconnected peer stays at
   * that of its last complete response.
   */
  void recordComplete(PeerLog peerLog, long askedAtMs) {
    if (stateReadAtMs.getAsLong() >= peerLog.firstHeardAtMs
        || peerLog.completeUpToMs >= peerLog.firstHeardAtMs) {
      peerLog.completeUpToMs = Math.max(peerLog.completeUpToMs, askedAtMs);
    }
  }

  /** Returns the age of this controller's knowledge: milliseconds since the watermark. */
  long ageMs() {
    long lastReadAtMs = stateReadAtMs.getAsLong();
    if (lastReadAtMs <= NEVER) {
      // Cancellations confirmed by an earlier process of this controller can only be read from the
      // records, which have not been read yet.
      return Long.MAX_VALUE / 2;
    }
    long earliestPeerMs =
        peerLogs.values().stream()
            .mapToLong(peerLog -> peerLog.completeUpToMs)
            .min()
            .orElse(clock.now());
    return clock.now() - Math.max(lastReadAtMs, earliestPeerMs);
  }
}
