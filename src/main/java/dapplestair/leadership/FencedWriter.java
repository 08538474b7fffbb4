package dapplestair.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import java.util.function.Consumer;

/**
 * Writes a duty's records on condition that this controller still leads. What became of a write is
 * told unless the duty was reset meanwhile: then the replica tells the next leader.
 */
public final class FencedWriter {
  private final StateClient state;
  private final Leadership leadership;
  private final long timeoutMs;
  private int generation;

  /** Writes that are not answered within {@code timeoutMs} have an unknown outcome. */
  public FencedWriter(StateClient state, Leadership leadership, long timeoutMs) {
    this.state = state;
    this.leadership = leadership;
    this.timeoutMs = timeoutMs;
  }

  /** The duty begins or ceases to lead: outcomes of earlier writes are not told any more. */
  public void reset() {
    generation++;
  }

  /** A transaction that fails unless this controller leads. */
  public Txn transaction() {
    return leadership.guard(new Txn());
  }

  /** Puts a record, on condition that it still has this stamp. */
  public void put(
      String key, long stamp, JsonNode value, Priority priority, Consumer<TxnOutcome> done) {
    commit(transaction().when(key, stamp).put(key, value), priority, done);
  }

  /** Commits a transaction that was made by {@link #transaction}. */
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
