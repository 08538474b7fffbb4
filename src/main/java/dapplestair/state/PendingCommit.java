package dapplestair.state;

import java.util.function.Consumer;

/**
 * One transaction that may be sent several times, since its answer may be lost. Its conditions name
 * the keys that it writes, so at most one copy is applied; how it ended follows from all answers.
 */
final class PendingCommit {
  private final Consumer<TxnOutcome> done;
  private int unanswered;
  private boolean waitsToRepeat;
  private boolean lost;
  private TxnOutcome notApplied;
  private boolean settled;

  /** {@code done} hears once how it ended. */
  PendingCommit(Consumer<TxnOutcome> done) {
    this.done = done;
  }

  /** True when it is known how it ended. */
  boolean settled() {
    return settled;
  }

  /** True while another copy may help: none has been answered yet. */
  boolean repeatable() {
    return !settled && notApplied == null;
  }

  /** Another copy is to be sent. */
  void repeat() {
    waitsToRepeat = true;
  }

  /** A copy is on its way. */
  void sent() {
    waitsToRepeat = false;
    unanswered++;
  }

  /** The copy that was to be sent never will be. */
  void notSent() {
    waitsToRepeat = false;
    note(new TxnOutcome.Refused());
  }

  /** The copy on its way was not executed, and waits to be sent again. */
  void unsent() {
    unanswered--;
  }

  /** A copy ended. */
  void answered(TxnOutcome outcome) {
    unanswered--;
    note(outcome);
  }

  private void note(TxnOutcome outcome) {
    if (outcome instanceof TxnOutcome.Applied) {
      settle(outcome);
    } else if (outcome instanceof TxnOutcome.Unknown) {
      lost = true;
    } else if (!(notApplied instanceof TxnOutcome.Conflict)) {
      notApplied = outcome;
    }
    // A conflict may be with another copy of its own, as long as that one is unanswered.
    if (unanswered == 0 && (!waitsToRepeat || notApplied != null)) {
      settle(lost ? new TxnOutcome.Unknown() : notApplied);
    }
  }

  private void settle(TxnOutcome outcome) {
    if (!settled) {
      settled = true;
      done.accept(outcome);
    }
  }
}
