package dapplestair.relay;

import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Reports that wait for a leader, each for no longer than its worker waits for an answer. */
final class HeldReports {
  /** More than the machines of one controller; beyond, reports are not held. */
  private static final int MOST_HELD = 4096;

  /**
   * One report.
   *
   * @param deadline until when it may be relayed, steady time
   * @param otherwise answers it without a leader
   */
  record HeldReport(Exchange exchange, long deadline, Runnable otherwise) {}

  private final Clock clock;
  private final ArrayDeque<HeldReport> held = new ArrayDeque<>();

  HeldReports(Clock clock) {
    this.clock = clock;
  }

  /** Holds a report; false when there is no room or no time left. */
  boolean hold(HeldReport report) {
    if (held.size() >= MOST_HELD || clock.now() >= report.deadline()) {
      return false;
    }
    held.add(report);
    return true;
  }

  /** Takes all out, to be relayed now. */
  List<HeldReport> takeAll() {
    List<HeldReport> all = new ArrayList<>(held);
    held.clear();
    return all;
  }

  /** Takes out those whose time is over. */
  List<HeldReport> takeExpired() {
    List<HeldReport> expired = new ArrayList<>();
    Iterator<HeldReport> each = held.iterator();
    while (each.hasNext()) {
      HeldReport report = each.next();
      if (clock.now() >= report.deadline()) {
        each.remove();
        expired.add(report);
      }
    }
    return expired;
  }
}
