package dapplestair.state;

import java.util.function.Consumer;

/**
 * One transaction that may be sent several times, since its answer may be lost. Its conditions name
 * the keys that it writes, so at most one copy is applied; how it ended follows from all answers.
 */
final class PendingCommit {
  private final Consumer<TxnOutcome> done;
  private int unansweredCopies;
  private boolean resendQueued;
  private boolean hasUnknownCopy;
  private TxnOutcome notAppliedOutcome;
  private boolean settled;

  /** {@code done} hears once how it ended. */
  PendingCommit(Consumer<TxnOutcome> done) {
    this.done = done;
  }

  /** True when it is known how it ended. */
  boolean isSettled() {
    return settled;
  }

  /** True while another copy may help: none has been answered yet. */
  boolean mayResend() {
    return !settled && notAppliedOutcome == null;
  }

  /** Another copy is to be sent. */
  void queueResend() {
    resendQueued = true;
  }

  /** A copy is on its way. */
  void copySent() {
    resendQueued = false;
    unansweredCopies++;
  }

  /** The copy that was to be sent never will be. */
  void resendExpired() {
    resendQueued = false;
    recordOutcome(new TxnOutcome.Refused());
  }

  /** The copy on its way was not executed, and waits to be sent again. */
  void copyRejected() {
    unansweredCopies--;
  }

  /** A copy ended. */
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
    // A conflict may be with another copy of its own, as long as that one is unanswered.
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
