package dapplestair.world;

import dapplestair.ports.Cancellable;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time: events in order, ties in the order of their making. */
final class EventSimulator {
  private record Event(long timeMs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return timeMs != o.timeMs ? Long.compare(timeMs, o.timeMs) : Long.compare(order, o.order);
    }
  }

  final SplittableRandom random;

  /** For what controllers ask each other: how much they do must not change the luck of all else. */
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

  /** Runs up to a moment, calling {@code afterEach} after every event. */
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
