package dapplestair.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.ports.Clock;
import dapplestair.state.StateClient.Priority;
import java.util.function.Consumer;

/** Records what operators wish, each wish conditional on the record that they were shown. */
public final class ConditionalWriter {
  /** How a wish ended. */
  public enum Result {
    /** Recorded, or recorded already. */
    DONE,
    /** Somebody else changed it at the same moment: look again. */
    CHANGED,
    /** It cannot be told whether it is recorded. */
    UNKNOWN,
    /** Surely not recorded: the state service is busy or out. */
    REFUSED
  }

  private final Clock clock;
  private final StateClient state;
  private final Replica replica;

  /** Writes by this client, on what this replica shows. */
  public ConditionalWriter(Clock clock, StateClient state, Replica replica) {
    this.clock = clock;
    this.state = state;
    this.replica = replica;
  }

  /** Gives a key this value, or removes it if there is none. */
  public void write(String key, ObjectNode value, long deadlineMs, Consumer<Result> done) {
    long stamp = replica.stamp(key);
    if (value == null && stamp == 0) {
      done.accept(Result.DONE);
      return;
    }
    Txn txn = new Txn().when(key, stamp);
    if (value == null) {
      txn.remove(key);
    } else {
      txn.put(key, value);
    }
    state.commit(
        txn,
        Priority.USER,
        Math.max(0, deadlineMs - clock.now()),
        outcome -> {
          if (outcome instanceof TxnOutcome.Applied) {
            done.accept(Result.DONE);
          } else if (outcome instanceof TxnOutcome.Conflict) {
            // Somebody else's change, or our own write that went unanswered before.
            settleByReading(key, value, -1, deadlineMs, done);
          } else if (outcome instanceof TxnOutcome.Unknown) {
            settleByReading(key, value, stamp, deadlineMs, done);
          } else {
            done.accept(Result.REFUSED);
          }
        });
  }

  /** No answer: what is recorded now tells, unless the write is still to come. */
  private void settleByReading(
      String key, ObjectNode value, long stampBefore, long deadlineMs, Consumer<Result> done) {
    state.get(
        key,
        read -> {
          boolean isAsRequested =
              read.known() && (value == null ? !read.exists() : value.equals(read.value()));
          if (isAsRequested) {
            done.accept(Result.DONE);
          } else if (read.known() && read.stamp() == stampBefore && clock.now() < deadlineMs) {
            // The same condition again: only one of the two can ever be applied.
            write(key, value, deadlineMs, done);
          } else {
            done.accept(read.known() ? Result.CHANGED : Result.UNKNOWN);
          }
        });
  }
}
