package dapplestair.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import dapplestair.filter.Filter;
import dapplestair.filter.Row;
import dapplestair.json.Json;
import dapplestair.ports.Timers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads rows in the order of their names, a bounded number in one turn of the loop, so that whoever
 * lists everything delays nobody.
 */
final class PagedListing {
  /** Rows looked at in one turn. */
  static final int ROWS_A_TURN = 250;

  /** Rows of one answer at most. */
  static final int MOST_ROWS = 500;

  /** A row that can also be written. */
  interface WritableRow extends Row {
    void write(JsonGenerator out) throws IOException;
  }

  private final Timers timers;
  private final AsOfStamp asOf;

  PagedListing(Timers timers, AsOfStamp asOf) {
    this.timers = timers;
    this.asOf = asOf;
  }

  /**
   * Answers with the rows behind {@code after}. {@code row} may give null for a name that is gone.
   * Names may come and go between turns: the page goes on behind the last one it saw.
   */
  void read(
      NavigableSet<String> names,
      Function<String, WritableRow> row,
      Filter filter,
      String after,
      int limit,
      Consumer<AdminResponse> done) {
    turn(names, row, filter, after, limit, new ArrayList<>(), done);
  }

  private void turn(
      NavigableSet<String> names,
      Function<String, WritableRow> row,
      Filter filter,
      String after,
      int limit,
      List<byte[]> rows,
      Consumer<AdminResponse> done) {
    String last = after;
    int looked = 0;
    for (String name : after == null ? names : names.tailSet(after, false)) {
      if (rows.size() == limit) {
        done.accept(page(rows, last));
        return;
      }
      if (looked++ == ROWS_A_TURN) {
        String from = last;
        timers.after(0, () -> turn(names, row, filter, from, limit, rows, done));
        return;
      }
      last = name;
      WritableRow written = row.apply(name);
      if (written != null && filter.test(written)) {
        rows.add(Json.writeBytes(written::write));
      }
    }
    done.accept(page(rows, null));
  }

  /** One answer; {@code next} is the cursor of the page behind, or null at the end. */
  AdminResponse page(List<byte[]> rows, String next) {
    byte[] body =
        Json.writeBytes(
            out -> {
              out.writeStartObject();
              asOf.write(out);
              out.writeArrayFieldStart("rows");
              for (byte[] r : rows) {
                out.writeRawValue(new String(r, java.nio.charset.StandardCharsets.UTF_8));
              }
              out.writeEndArray();
              out.writeStringField("next", next);
              out.writeEndObject();
            });
    return new AdminResponse(200, body, 0);
  }
}
