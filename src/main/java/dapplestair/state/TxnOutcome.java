package dapplestair.state;

import java.util.Set;

/** Outcome of a transaction. */
public sealed interface TxnOutcome {
  /** The transaction was applied; every key that it wrote has this stamp. */
  record Applied(long stamp) implements TxnOutcome {}

  /** The transaction was not applied, since these keys had other stamps. */
  record Conflict(Set<String> failedKeys) implements TxnOutcome {}

  /** The transaction was certainly not applied: it was refused, shed or never sent. */
  record Refused() implements TxnOutcome {}

  /** The transaction may have been applied, or may still be applied. */
  record Unknown() implements TxnOutcome {}

  /** The transaction was not applied, since the hold that it names has ended. */
  record NoHold() implements TxnOutcome {}
}
