package dapplestair.events;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The last events of this controller. Each has a number; numbers go on from one term to the next,
 * as the term is their high part.
 */
public final class EventLog implements Events {
  private static final Logger LOG = LoggerFactory.getLogger(EventLog.class);

  /** Events kept; what is older is forgotten. */
  public static final int MAX_EVENTS = 2000;

  private static final int MAX_WAITERS = 32;

  // A term's events are numbered from its high part on, so that cursors never mean two things.
  private static final int NUMBER_BITS = 32;

  /** One event. */
  public record Event(long number, ObjectNode fields) {}

  private final Clock clock;
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long lastNumber;

  /** An empty log. */
  public EventLog(Clock clock) {
    this.clock = clock;
  }

  /** A new term begins: its events are numbered after all earlier ones. */
  public void beginTerm(long term) {
    lastNumber = Math.max(lastNumber, term << NUMBER_BITS);
  }

  @Override
  public void publish(Kind kind, Consumer<ObjectNode> fields) {
    ObjectNode object =
        Json.object()
            .put("id", ++lastNumber)
            .put("at", clock.wall())
            .put("kind", kind.displayName());
    fields.accept(object);
    if (LOG.isDebugEnabled()) {
      logEvent(object);
    }
    if (events.size() == MAX_EVENTS) {
      events.poll();
    }
    events.add(new Event(lastNumber, object));
    if (!waiters.isEmpty()) {
      List<Runnable> toNotify = List.copyOf(waiters);
      waiters.clear();
      toNotify.forEach(Runnable::run);
    }
  }

  /** A line with fields, for logs that are read by programs. */
  private static void logEvent(ObjectNode object) {
    LoggingEventBuilder logEntry = LOG.atDebug();
    object.fields().forEachRemaining(f -> logEntry.addKeyValue(f.getKey(), f.getValue().asText()));
    logEntry.log("event");
  }

  /** Events after a number, oldest first. */
  public Iterable<Event> after(long number) {
    List<Event> newer = new ArrayList<>();
    for (var it = events.descendingIterator(); it.hasNext(); ) {
      Event event = it.next();
      if (event.number() <= number) {
        break;
      }
      newer.add(event);
    }
    java.util.Collections.reverse(newer);
    return newer;
  }

  /** Runs {@code task} at the next event; false when too many wait already. */
  public boolean addWaiter(Runnable task) {
    if (waiters.size() >= MAX_WAITERS) {
      return false;
    }
    waiters.add(task);
    return true;
  }

  /** No longer interested. */
  public void removeWaiter(Runnable task) {
    waiters.remove(task);
  }
}
