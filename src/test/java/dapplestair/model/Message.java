package dapplestair.model;

import dapplestair.work.Order;
import java.util.List;

/** Orders on their way to a worker, as a call or in an answer to its report. */
record Message(long token, long session, List<Order> orders) {
  boolean has(Class<? extends Order> kind) {
    return orders.stream().anyMatch(kind::isInstance);
  }
}
