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
 * Bounded log of the most recent events of this process. Each event has a number. Numbers grow from
 * one term to the next, as the term is their high part. Terms begin anew when the records are lost,
 * as those of a daemon without a state service of its own are when it ends, so a log has an id by
 * which readers tell it from the log of an earlier process.
 */
public final class EventLog implements Events {
  private static final Logger LOG = LoggerFactory.getLogger(EventLog.class);

  /** Maximum number of events kept; older events are dropped. */
  public static final int MAX_EVENTS = 2000;

  private static final int MAX_WAITERS = 32;

  // The term is shifted by this many bits to number its events, so that a cursor is never
  // ambiguous.
  private static final int NUMBER_BITS = 32;

  /** An event with its number. */
  public record Event(long number, ObjectNode fields) {}

  private final Clock clock;
  private final String id;
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long lastNumber;
  private long lastNumberBeforeTerm;

  /** Creates an empty log; {@code id} distinguishes it from the logs of all other processes. */
  public EventLog(Clock clock, String id) {
    this.clock = clock;
    this.id = id;
  }

  /** Returns the id of this log. */
  public String id() {
    return id;
  }

  /** Begins a term; its events are numbered after all earlier ones. */
  public void beginTerm(long term) {
    lastNumber = Math.max(lastNumber, term << NUMBER_BITS);
    lastNumberBeforeTerm = lastNumber;
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

  /** Logs an event as key-value pairs, for logs that programs read. */
  private static void logEvent(ObjectNode object) {
    LoggingEventBuilder logEntry = LOG.atDebug();
    object.fields().forEachRemaining(f -> logEntry.addKeyValue(f.getKey(), f.getValue().asText()));
    logEntry.log("event");
  }

  /**
   * Returns the number after which a reader continues here. The numbers of a term belong to one
   * log, so a reader that knows such a number from another log has read it before the records were
   * lost, and continues with the oldest event that is kept.
   *
   * @param number the number of the last event that the reader has
   * @param logId the log from which it has the number, or null if it does not say
   */
  public long resumeAfter(long number, String logId) {
    boolean isOtherLog = logId != null && !logId.equals(id);
    return isOtherLog && number >= lastNumberBeforeTerm ? 0 : number;
  }

  /** Returns the kept events with numbers above {@code number}, oldest first. */
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

  /** Runs {@code task} at the next event; returns false if too many tasks wait already. */
  public boolean addWaiter(Runnable task) {
    if (waiters.size() >= MAX_WAITERS) {
      return false;
    }
    waiters.add(task);
    return true;
  }

  /** Removes a task that was added by {@link #addWaiter}. */
  public void removeWaiter(Runnable task) {
    waiters.remove(task);
  }
}
