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
  public static final int MOST_KEPT = 2000;

  private static final int MOST_FOLLOWERS = 32;

  // A term's events are numbered from its high part on, so that cursors never mean two things.
  private static final int NUMBER_BITS = 32;

  /** One event. */
  public record Event(long number, ObjectNode fields) {}

  private final Clock clock;
  private final ArrayDeque<Event> kept = new ArrayDeque<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private long last;

  /** An empty log. */
  public EventLog(Clock clock) {
    this.clock = clock;
  }

  /** A new term begins: its events are numbered after all earlier ones. */
  public void begin(long term) {
    last = Math.max(last, term << NUMBER_BITS);
  }

  @Override
  public void note(Kind kind, Consumer<ObjectNode> fields) {
    ObjectNode object =
        Json.object().put("id", ++last).put("at", clock.wall()).put("kind", kind.shown());
    fields.accept(object);
    if (LOG.isDebugEnabled()) {
      say(object);
    }
    if (kept.size() == MOST_KEPT) {
      kept.poll();
    }
    kept.add(new Event(last, object));
    if (!waiting.isEmpty()) {
      List<Runnable> wake = List.copyOf(waiting);
      waiting.clear();
      wake.forEach(Runnable::run);
    }
  }

  /** A line with fields, for logs that are read by programs. */
  private static void say(ObjectNode object) {
    LoggingEventBuilder line = LOG.atDebug();
    object.fields().forEachRemaining(f -> line.addKeyValue(f.getKey(), f.getValue().asText()));
    line.log("event");
  }

  /** Events after a number, oldest first. */
  public Iterable<Event> after(long number) {
    List<Event> out = new ArrayList<>();
    for (var it = kept.descendingIterator(); it.hasNext(); ) {
      Event event = it.next();
      if (event.number() <= number) {
        break;
      }
      out.add(event);
    }
    java.util.Collections.reverse(out);
    return out;
  }

  /** Runs {@code task} at the next event; false when too many wait already. */
  public boolean next(Runnable task) {
    if (waiting.size() >= MOST_FOLLOWERS) {
      return false;
    }
    waiting.add(task);
    return true;
  }

  /** No longer interested. */
  public void unwait(Runnable task) {
    waiting.remove(task);
  }
}
