package dapplestair.world;

import dapplestair.ports.Cancellable;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Executes events in virtual time; events at the same time run in the order of their creation. */
final class EventSimulator {
  private record Event(long timeMs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return timeMs != o.timeMs ? Long.compare(timeMs, o.timeMs) : Long.compare(order, o.order);
    }
  }

  final SplittableRandom random;

  /**
   * Random numbers for requests between controllers, separate so that the number of such requests
   * does not change the random draws of everything else.
   */
  final SplittableRandom controllerRequestRandom;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long createdEvents;

  EventSimulator(long seed) {
    random = new SplittableRandom(seed);
    controllerRequestRandom = new SplittableRandom(~seed);
  }

  long now() {
    return now;
  }

  Cancellable after(long delayMs, Runnable task) {
    boolean[] cancelled = {false};
    events.add(
        new Event(
            now + Math.max(0, delayMs),
            createdEvents++,
            () -> {
              if (!cancelled[0]) {
                task.run();
              }
            }));
    return () -> cancelled[0] = true;
  }

  /** Runs all events up to {@code endMs}, calling {@code afterEach} after every event. */
  void runUntil(long endMs, Runnable afterEach) {
    while (!events.isEmpty() && events.peek().timeMs <= endMs) {
      Event event = events.poll();
      now = event.timeMs;
      event.task.run();
      afterEach.run();
    }
    now = endMs;
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  long between(long low, long high) {
    return random.nextLong(low, high + 1);
  }
}
