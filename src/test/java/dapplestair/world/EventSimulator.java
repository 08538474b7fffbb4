package dapplestair.world;

import dapplestair.ports.Cancellable;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time: events in order, ties in the order of their making. */
final class EventSimulator {
  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  final SplittableRandom random;

  /** For what controllers ask each other: how much they do must not change the luck of all else. */
  final SplittableRandom amongControllers;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long made;

  EventSimulator(long seed) {
    random = new SplittableRandom(seed);
    amongControllers = new SplittableRandom(~seed);
  }

  long now() {
    return now;
  }

  Cancellable after(long ms, Runnable task) {
    boolean[] off = {false};
    events.add(
        new Event(
            now + Math.max(0, ms),
            made++,
            () -> {
              if (!off[0]) {
                task.run();
              }
            }));
    return () -> off[0] = true;
  }

  /** Runs up to a moment, calling {@code afterEach} after every event. */
  void runUntil(long end, Runnable afterEach) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event e = events.poll();
      now = e.at;
      e.task.run();
      afterEach.run();
    }
    now = end;
  }

  boolean chance(double p) {
    return random.nextDouble() < p;
  }

  long between(long low, long high) {
    return random.nextLong(low, high + 1);
  }
}
