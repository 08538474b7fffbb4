package dapplestair.admin;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.events.EventLog;
import dapplestair.filter.Filter;
import dapplestair.filter.Row;
import dapplestair.json.Json;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Answers requests for the events of the leader, with long polling. */
final class EventViews {
  private final Timers timers;
  private final EventLog eventLog;
  private final PagedListing listing;

  EventViews(Timers timers, EventLog eventLog, PagedListing listing) {
    this.timers = timers;
    this.eventLog = eventLog;
    this.listing = listing;
  }

  /**
   * Answers with the events after number {@code after} that match the filter. If there are none,
   * waits up to {@code waitMs} for the next one that matches.
   *
   * @param logId the log from which the caller has the number {@code after}, or null
   */
  void list(
      Filter filter,
      long after,
      String logId,
      int limit,
      long waitMs,
      Consumer<AdminResponse> done) {
    Poll poll = new Poll(filter, limit, done, eventLog.resumeAfter(after, logId));
    poll.answerIfAnyMatch();
    if (!poll.isAnswered) {
      poll.waitForEvents(waitMs);
    }
  }

  /** A request for events that may wait for the next event before it is answered. */
  private final class Poll {
    private final Filter filter;
    private final int limit;
    private final Consumer<AdminResponse> done;
    private long lastEventNumber;
    private boolean isAnswered;
    private Cancellable timer = () -> {};
    private final Runnable wakeUp = this::onNewEvents;

    Poll(Filter filter, int limit, Consumer<AdminResponse> done, long after) {
      this.filter = filter;
      this.limit = limit;
      this.done = done;
      this.lastEventNumber = after;
    }

    private void answerIfAnyMatch() {
      List<byte[]> rows = new ArrayList<>();
      for (EventLog.Event event : eventLog.after(lastEventNumber)) {
        if (rows.size() == limit) {
          break;
        }
        lastEventNumber = event.number();
        if (filter.test(toRow(event.fields()))) {
          rows.add(Json.bytes(event.fields()));
        }
      }
      if (!rows.isEmpty()) {
        answer(rows);
      }
    }

    private void waitForEvents(long waitMs) {
      if (waitMs <= 0 || !eventLog.addWaiter(wakeUp)) {
        answer(List.of());
        return;
      }
      timer = timers.after(waitMs, () -> answer(List.of()));
    }

    private void onNewEvents() {
      if (isAnswered) {
        return;
      }
      answerIfAnyMatch();
      if (!isAnswered && !eventLog.addWaiter(wakeUp)) {
        answer(List.of());
      }
    }

    private void answer(List<byte[]> rows) {
      if (isAnswered) {
        return;
      }
      isAnswered = true;
      timer.cancel();
      eventLog.removeWaiter(wakeUp);
      done.accept(
          listing.pageWithCursor(
              rows,
              generator -> {
                generator.writeStringField("next", Long.toString(lastEventNumber));
                generator.writeStringField("log", eventLog.id());
              }));
    }
  }

  private static Row toRow(JsonNode fields) {
    return field -> {
      JsonNode node = fields.get(field);
      if (node == null || node.isNull()) {
        return null;
      }
      return node.isNumber()
          ? (Object) node.doubleValue()
          : node.isBoolean() ? node.booleanValue() : node.asText();
    };
  }
}
