package dapplestair.model;

import dapplestair.work.WorkerCommand;
import java.util.List;

/** Orders in flight to a worker, either as a call or in the reply to a report. */
record Message(long token, long session, List<WorkerCommand> orders) {
  boolean hasOrder(Class<? extends WorkerCommand> kind) {
    return orders.stream().anyMatch(kind::isInstance);
  }
}
