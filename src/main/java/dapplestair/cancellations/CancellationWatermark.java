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
    long log;

    /** The last entry of it that is here. */
    long after;

    /** When this process was first heard. */
    long metAt = NEVER;

    /** All that the peer confirmed before this moment is known here. */
    long upTo = NEVER;
  }

  private final Clock clock;
  private final LongSupplier stateAsOf;
  private final Map<String, PeerLog> peers = new HashMap<>();

  /** {@code stateAsOf} is when the newest read of the records was asked for, or {@link #NEVER}. */
  CancellationWatermark(Clock clock, LongSupplier stateAsOf, Iterable<String> members) {
    this.clock = clock;
    this.stateAsOf = stateAsOf;
    members.forEach(m -> peers.put(m, new PeerLog()));
  }

  PeerLog peer(String member) {
    return peers.get(member);
  }

  /** True when this process is a peer's present one and {@code alive} says so of that peer. */
  boolean lives(long process, Predicate<String> alive) {
    return peers.entrySet().stream()
        .anyMatch(e -> e.getValue().log == process && alive.test(e.getKey()));
  }

  /** The peer's process is another one than before. */
  void met(PeerLog peer, long log) {
    peer.log = log;
    peer.after = 0;
    peer.metAt = clock.now();
  }

  /**
   * The peer has told all that its present life confirmed before {@code askedAt}. What an earlier
   * life of it confirmed it does not know itself: only the records tell, if they were read after
   * that life's end. A refused connection or a silence says nothing; both a dead peer and one that
   * is cut off stay at what they told last.
   */
  void told(PeerLog peer, long askedAt) {
    if (stateAsOf.getAsLong() >= peer.metAt || peer.upTo >= peer.metAt) {
      peer.upTo = Math.max(peer.upTo, askedAt);
    }
  }

  /** How old this knowledge is. */
  long ageMs() {
    long records = stateAsOf.getAsLong();
    if (records <= NEVER) {
      // What an earlier life of this controller confirmed is on record at best.
      return Long.MAX_VALUE / 2;
    }
    long least = peers.values().stream().mapToLong(p -> p.upTo).min().orElse(clock.now());
    return clock.now() - Math.max(records, least);
  }
}
