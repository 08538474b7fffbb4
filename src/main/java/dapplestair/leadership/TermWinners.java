package dapplestair.leadership;

import dapplestair.ports.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which processes won the latest terms. A process that wins again after another one has
 * led was still running when it was deposed: its port refuses connections although it runs, and the
 * ports of others may do so, too. Refused connections are then ignored for a while; otherwise
 * controllers whose links are filtered would depose each other every few seconds.
 */
final class TermWinners {
  private static final int MAX_TERMS_KEPT = 16;

  private final Clock clock;
  private final long ignoreRefusalsMs;
  private final Map<String, Long> lastTermByIncarnation = new HashMap<>();
  private long ignoreRefusalsUntilMs = Long.MIN_VALUE;

  /** Creates an empty memory; refused connections are ignored for {@code ignoreRefusalsMs}. */
  TermWinners(Clock clock, long ignoreRefusalsMs) {
    this.clock = clock;
    this.ignoreRefusalsMs = ignoreRefusalsMs;
  }

  /** Notes who won a term; {@code incarnation} is null if the record names none. */
  void record(String incarnation, long wonTerm) {
    Long previousTerm =
        incarnation == null ? null : lastTermByIncarnation.put(incarnation, wonTerm);
    if (previousTerm != null && previousTerm < wonTerm - 1) {
      ignoreRefusalsUntilMs = clock.now() + ignoreRefusalsMs;
    }
    lastTermByIncarnation.values().removeIf(oldTerm -> oldTerm < wonTerm - MAX_TERMS_KEPT);
  }

  /** Returns whether a refused connection may be taken for the end of a process. */
  boolean refusalsCount() {
    return clock.now() > ignoreRefusalsUntilMs;
  }
}
