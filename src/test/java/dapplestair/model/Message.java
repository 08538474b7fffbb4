package dapplestair.model;

import dapplestair.work.WorkerCommand;
import java.util.List;

/** Orders on their way to a worker, as a call or in an answer to its report. */
record Message(long token, long session, List<WorkerCommand> orders) {
  boolean hasOrder(Class<? extends WorkerCommand> kind) {
    return orders.stream().anyMatch(kind::isInstance);
  }
}
