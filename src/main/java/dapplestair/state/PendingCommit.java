package dapplestair.state;

import java.util.function.Consumer;

/**
 * A transaction that may be sent several times, since its response may be lost. Its conditions name
 * the keys that it writes, so at most one copy is applied. Its outcome follows from the responses
 * to all copies.
 */
final class PendingCommit {
  private final Consumer<TxnOutcome> done;
  private int unansweredCopies;
  private boolean resendQueued;
  private boolean hasUnknownCopy;
  private TxnOutcome notAppliedOutcome;
  private boolean settled;

  /** Creates a transaction whose outcome is passed to {@code done} once. */
  PendingCommit(Consumer<TxnOutcome> done) {
    this.done = done;
  }

  /** Returns whether the outcome has been determined. */
  boolean isSettled() {
    return settled;
  }

  /** Returns whether another copy may help: the outcome is open and no copy has failed. */
  boolean mayResend() {
    return !settled && notAppliedOutcome == null;
  }

  /** Notes that another copy is queued to be sent. */
  void queueResend() {
    resendQueued = true;
  }

  /** Notes that a copy was sent. */
  void copySent() {
    resendQueued = false;
    unansweredCopies++;
  }

  /** Notes that the deadline of the queued copy passed before it could be sent. */
  void queuedCopyExpired() {
    resendQueued = false;
    recordOutcome(new TxnOutcome.Refused());
  }

  /** Notes that a sent copy was not executed and is queued to be sent again. */
  void copyRejected() {
    unansweredCopies--;
  }

  /** Notes the outcome of a sent copy. */
  void copyEnded(TxnOutcome outcome) {
    unansweredCopies--;
    recordOutcome(outcome);
  }

  private void recordOutcome(TxnOutcome outcome) {
    if (outcome instanceof TxnOutcome.Applied) {
      settle(outcome);
    } else if (outcome instanceof TxnOutcome.Unknown) {
      hasUnknownCopy = true;
    } else if (!(notAppliedOutcome instanceof TxnOutcome.Conflict)) {
      notAppliedOutcome = outcome;
    }
    // A conflict may be with another copy of this transaction, as long as that copy is unanswered.
    if (unansweredCopies == 0 && (!resendQueued || notAppliedOutcome != null)) {
      settle(hasUnknownCopy ? new TxnOutcome.Unknown() : notAppliedOutcome);
    }
  }

  private void settle(TxnOutcome outcome) {
    if (!settled) {
      settled = true;
      done.accept(outcome);
    }
  }
}
