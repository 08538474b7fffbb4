package dapplestair.relay;

import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Holds reports until there is a leader, each no longer than its worker waits for a response. */
final class HeldReports {
  /** Exceeds the number of machines of one controller; further reports are not held. */
  private static final int MAX_HELD_REPORTS = 4096;

  /**
   * A report that waits for a leader.
   *
   * @param deadlineMs monotonic time in milliseconds until which the report may be relayed
   * @param fallback answers the report without a leader
   */
  record HeldReport(Exchange exchange, long deadlineMs, Runnable fallback) {}

  private final Clock clock;
  private final ArrayDeque<HeldReport> reports = new ArrayDeque<>();

  HeldReports(Clock clock) {
    this.clock = clock;
  }

  /** Holds a report; returns false if too many are held or its deadline has passed. */
  boolean hold(HeldReport report) {
    if (reports.size() >= MAX_HELD_REPORTS || clock.now() >= report.deadlineMs()) {
      return false;
    }
    reports.add(report);
    return true;
  }

  /** Removes and returns all reports, to be relayed now. */
  List<HeldReport> takeAll() {
    List<HeldReport> all = new ArrayList<>(reports);
    reports.clear();
    return all;
  }

  /** Removes and returns the reports whose deadline has passed. */
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
