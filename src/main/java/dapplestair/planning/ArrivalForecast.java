package dapplestair.planning;

import dapplestair.work.Submission;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Jobs that arrived lately, class by class: what may be expected of the next moments. */
final class ArrivalForecast {
  private static final int MOST_PER_CLASS = 1024;

  private record Arrival(long at, Submission job) {}

  private final long windowMs;
  private final Map<String, ArrayDeque<Arrival>> classes = new HashMap<>();

  ArrivalForecast(long windowMs) {
    this.windowMs = windowMs;
  }

  void arrived(Submission submission, long now) {
    ArrayDeque<Arrival> of =
        classes.computeIfAbsent(submission.jobClass(), c -> new ArrayDeque<>());
    of.addLast(new Arrival(now, submission));
    if (of.size() > MOST_PER_CLASS) {
      of.removeFirst();
    }
  }

  /** Jobs to expect within {@code aheadMs}, spread over it, if things go on as they were. */
  List<Submission> expected(long now, long aheadMs) {
    List<Submission> out = new ArrayList<>();
    for (ArrayDeque<Arrival> of : classes.values()) {
      while (!of.isEmpty() && of.peekFirst().at < now - windowMs) {
        of.removeFirst();
      }
      // The latest stand for the next ones.
      long n = Math.round(of.size() * (double) aheadMs / windowMs);
      var it = of.descendingIterator();
      for (int i = 0; i < n && it.hasNext(); i++) {
        out.add(it.next().job);
      }
    }
    return out;
  }
}
