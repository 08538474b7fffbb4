package dapplestair.cancellations;

import dapplestair.ports.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Up to which moment this controller knows every cancellation that any controller has confirmed:
 * its last read of the state service, or the least of the moments up to which each peer has told
 * all.
 */
final class CancellationWatermark {
  static final long NEVER = Long.MIN_VALUE / 2;

  /** What is known of one peer's log. */
  static final class PeerLog {
    /** The process whose log it is; a process that begins again has another one. */
    long logId;

    /** The last entry of it that is here. */
    long lastEntryNumber;

    /** When this process was first heard. */
    long firstHeardAtMs = NEVER;

    /** All that the peer confirmed before this moment is known here. */
    long completeUpToMs = NEVER;
  }

  private final Clock clock;
  private final LongSupplier stateReadAtMs;
  private final Map<String, PeerLog> peerLogs = new HashMap<>();

  /**
   * {@code stateReadAtMs} is when the newest read of the records was asked for, or {@link #NEVER}.
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
   * True when this process is a peer's present one and {@code isMemberAlive} says so of that peer.
   */
  boolean isAlive(long processId, Predicate<String> isMemberAlive) {
    return peerLogs.entrySet().stream()
        .anyMatch(
            entry -> entry.getValue().logId == processId && isMemberAlive.test(entry.getKey()));
  }

  /** The peer's process is another one than before. */
  void startNewLog(PeerLog peerLog, long logId) {
    peerLog.logId = logId;
    peerLog.lastEntryNumber = 0;
    peerLog.firstHeardAtMs = clock.now();
  }

  /**
   * The peer has told all that its present life confirmed before {@code askedAtMs}. What an earlier
   * life of it confirmed it does not know itself: only the records tell, if they were read after
   * that life's end. A refused connection or a silence says nothing; both a dead peer and one that
   * is cut off stay at what they told last.
   */
  void recordComplete(PeerLog peerLog, long askedAtMs) {
    if (stateReadAtMs.getAsLong() >= peerLog.firstHeardAtMs
        || peerLog.completeUpToMs >= peerLog.firstHeardAtMs) {
      peerLog.completeUpToMs = Math.max(peerLog.completeUpToMs, askedAtMs);
    }
  }

  /** How old this knowledge is. */
  long ageMs() {
    long lastReadAtMs = stateReadAtMs.getAsLong();
    if (lastReadAtMs <= NEVER) {
      // What an earlier life of this controller confirmed is on record at best.
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
