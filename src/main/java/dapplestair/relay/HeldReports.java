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
  private static final int MAX_HELD_REPORTS = 4096;

  /**
   * One report.
   *
   * @param deadlineMs until when it may be relayed, steady time
   * @param fallback answers it without a leader
   */
  record HeldReport(Exchange exchange, long deadlineMs, Runnable fallback) {}

  private final Clock clock;
  private final ArrayDeque<HeldReport> reports = new ArrayDeque<>();

  HeldReports(Clock clock) {
    this.clock = clock;
  }

  /** Holds a report; false when there is no room or no time left. */
  boolean hold(HeldReport report) {
    if (reports.size() >= MAX_HELD_REPORTS || clock.now() >= report.deadlineMs()) {
      return false;
    }
    reports.add(report);
    return true;
  }

  /** Takes all out, to be relayed now. */
  List<HeldReport> takeAll() {
    List<HeldReport> all = new ArrayList<>(reports);
    reports.clear();
    return all;
  }

  /** Takes out those whose time is over. */
  List<HeldReport> takeExpired() {
    List<HeldReport> expired = new ArrayList<>();
    Iterator<HeldReport> iterator = reports.iterator();
    while (iterator.hasNext()) {
      HeldReport report = iterator.next();
      if (clock.now() >= report.deadlineMs()) {
        iterator.remove();
        expired.add(report);
      }
    }
    return expired;
  }
}
