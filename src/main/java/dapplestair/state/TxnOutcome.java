package dapplestair.state;

import java.util.Set;

/** How a transaction ended. */
public sealed interface TxnOutcome {
  /** Applied; every key it wrote has this stamp. */
  record Applied(long stamp) implements TxnOutcome {}

  /** Not applied, since these keys had other stamps. */
  record Conflict(Set<String> failedKeys) implements TxnOutcome {}

  /** Surely not applied: refused, shed or never sent. */
  record Refused() implements TxnOutcome {}

  /** May have been applied, or may yet be. */
  record Unknown() implements TxnOutcome {}

  /** Not applied: the hold it names has ended. */
  record NoHold() implements TxnOutcome {}
}
