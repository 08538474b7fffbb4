package dapplestair.planning;

import dapplestair.work.Submission;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Forecasts the jobs of the near future, per job class, from those that arrived recently. */
final class ArrivalForecast {
  private static final int MAX_ARRIVALS_PER_CLASS = 1024;

  private record Arrival(long atMs, Submission job) {}

  private final long windowMs;
  private final Map<String, ArrayDeque<Arrival>> arrivalsByClass = new HashMap<>();

  ArrivalForecast(long windowMs) {
    this.windowMs = windowMs;
  }

  void addArrival(Submission submission, long nowMs) {
    ArrayDeque<Arrival> arrivals =
        arrivalsByClass.computeIfAbsent(submission.jobClass(), c -> new ArrayDeque<>());
    arrivals.addLast(new Arrival(nowMs, submission));
    if (arrivals.size() > MAX_ARRIVALS_PER_CLASS) {
      arrivals.removeFirst();
    }
  }

  /**
   * Returns the jobs expected within the next {@code aheadMs} if each class keeps its recent
   * arrival rate. Callers spread them evenly over that time.
   */
  List<Submission> expectedJobs(long nowMs, long aheadMs) {
    List<Submission> expected = new ArrayList<>();
    for (ArrayDeque<Arrival> arrivals : arrivalsByClass.values()) {
      while (!arrivals.isEmpty() && arrivals.peekFirst().atMs < nowMs - windowMs) {
        arrivals.removeFirst();
      }
      // The most recent jobs of the class serve as samples of the next ones.
      long expectedCount = Math.round(arrivals.size() * (double) aheadMs / windowMs);
      var latestFirst = arrivals.descendingIterator();
      for (int i = 0; i < expectedCount && latestFirst.hasNext(); i++) {
        expected.add(latestFirst.next().job);
      }
    }
    return expected;
  }
}
