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

/** The leader's events, followed by long poll. */
final class EventViews {
  private final Timers timers;
  private final EventLog log;
  private final PagedListing listing;

  EventViews(Timers timers, EventLog log, PagedListing listing) {
    this.timers = timers;
    this.log = log;
    this.listing = listing;
  }

  /**
   * Answers with events behind number {@code after}. When there are none, waits for up to {@code
   * waitMs} for the next one that the filter lets through.
   */
  void list(Filter filter, long after, int limit, long waitMs, Consumer<AdminResponse> done) {
    Poll poll = new Poll(filter, limit, done, after);
    poll.look();
    if (!poll.over) {
      poll.await(waitMs);
    }
  }

  private final class Poll {
    private final Filter filter;
    private final int limit;
    private final Consumer<AdminResponse> done;
    private long after;
    private boolean over;
    private Cancellable timer = () -> {};
    private final Runnable wake = this::woken;

    Poll(Filter filter, int limit, Consumer<AdminResponse> done, long after) {
      this.filter = filter;
      this.limit = limit;
      this.done = done;
      this.after = after;
    }

    private void look() {
      List<byte[]> rows = new ArrayList<>();
      for (EventLog.Event event : log.after(after)) {
        if (rows.size() == limit) {
          break;
        }
        after = event.number();
        if (filter.test(row(event.fields()))) {
          rows.add(Json.bytes(event.fields()));
        }
      }
      if (!rows.isEmpty()) {
        answer(rows);
      }
    }

    private void await(long waitMs) {
      if (waitMs <= 0 || !log.addWaiter(wake)) {
        answer(List.of());
        return;
      }
      timer = timers.after(waitMs, () -> answer(List.of()));
    }

    private void woken() {
      if (over) {
        return;
      }
      look();
      if (!over && !log.addWaiter(wake)) {
        answer(List.of());
      }
    }

    private void answer(List<byte[]> rows) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel();
      log.removeWaiter(wake);
      done.accept(listing.page(rows, Long.toString(after)));
    }
  }

  private static Row row(JsonNode fields) {
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
