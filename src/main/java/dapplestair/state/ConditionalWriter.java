package dapplestair.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.ports.Clock;
import dapplestair.state.StateClient.Priority;
import java.util.function.Consumer;

/** Writes operators' orders, each on condition that the record it is based on is unchanged. */
public final class ConditionalWriter {
  /** Result of a write. */
  public enum Result {
    /** The value is recorded, by this write or already before it. */
    DONE,
    /** Another writer changed the record meanwhile: the caller should read it again. */
    CHANGED,
    /** It is not known whether the value is recorded. */
    UNKNOWN,
    /** The value is certainly not recorded: the state service is busy or unreachable. */
    REFUSED
  }

  private final Clock clock;
  private final StateClient state;
  private final Replica replica;

  /** Creates a writer that sends by {@code state}, on condition of stamps in {@code replica}. */
  public ConditionalWriter(Clock clock, StateClient state, Replica replica) {
    this.clock = clock;
    this.state = state;
    this.replica = replica;
  }

  /** Writes a value to a key, or removes the key when {@code value} is null. */
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
            // The key was changed by another writer, or by an earlier write of ours whose response
            // was lost.
            settleByReading(key, value, -1, deadlineMs, done);
          } else if (outcome instanceof TxnOutcome.Unknown) {
            settleByReading(key, value, stamp, deadlineMs, done);
          } else {
            done.accept(Result.REFUSED);
          }
        });
  }

  /** Reads the key to determine the outcome, and writes again if the write may still arrive. */
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
            // Both writes have the same condition, so at most one of them can be applied.
            write(key, value, deadlineMs, done);
          } else {
            done.accept(read.known() ? Result.CHANGED : Result.UNKNOWN);
          }
        });
  }
}
