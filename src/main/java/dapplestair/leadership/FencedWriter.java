package dapplestair.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import java.util.function.Consumer;

/**
 * Writes the records of one component on condition that this controller still leads. The outcome of
 * a write is reported unless the component was reset meanwhile; the next leader then learns it from
 * the replica.
 */
public final class FencedWriter {
  private final StateClient state;
  private final Leadership leadership;
  private final long timeoutMs;
  private int generation;

  /** Creates a writer whose transactions are refused if not sent within {@code timeoutMs}. */
  public FencedWriter(StateClient state, Leadership leadership, long timeoutMs) {
    this.state = state;
    this.leadership = leadership;
    this.timeoutMs = timeoutMs;
  }

  /** Drops the outcomes of earlier writes, since this controller begins or ceases to lead. */
  public void reset() {
    generation++;
  }

  /** Returns a transaction that fails unless this controller leads. */
  public Txn transaction() {
    return leadership.guard(new Txn());
  }

  /** Puts a record on condition that it still has the given stamp. */
  public void put(
      String key, long stamp, JsonNode value, Priority priority, Consumer<TxnOutcome> done) {
    commit(transaction().when(key, stamp).put(key, value), priority, done);
  }

  /** Commits a transaction created by {@link #transaction}. */
  public void commit(Txn txn, Priority priority, Consumer<TxnOutcome> done) {
    int startGeneration = generation;
    state.commit(
        txn,
        priority,
        timeoutMs,
        outcome -> {
          if (startGeneration == generation) {
            done.accept(outcome);
          }
        });
  }
}
