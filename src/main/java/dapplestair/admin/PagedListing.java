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
 * Reads rows in the order of their names, with a limited number in one turn of the event loop, so
 * that a request that lists everything does not delay others.
 */
final class PagedListing {
  /** Maximum number of rows examined in one turn of the event loop. */
  static final int MAX_ROWS_PER_TURN = 250;

  /** Maximum number of rows in one answer. */
  static final int MAX_ROWS_PER_PAGE = 500;

  /** A row that can be written as JSON. */
  interface WritableRow extends Row {
    void write(JsonGenerator generator) throws IOException;
  }

  private final Timers timers;
  private final AsOfStamp asOf;

  PagedListing(Timers timers, AsOfStamp asOf) {
    this.timers = timers;
    this.asOf = asOf;
  }

  /**
   * Answers with the rows after {@code after} that match the filter. {@code rowByName} may return
   * null for a name that has been removed. Names may be added and removed between turns: each turn
   * continues after the last name examined.
   */
  void read(
      NavigableSet<String> names,
      Function<String, WritableRow> rowByName,
      Filter filter,
      String after,
      int limit,
      Consumer<AdminResponse> done) {
    readTurn(names, rowByName, filter, after, limit, new ArrayList<>(), done);
  }

  private void readTurn(
      NavigableSet<String> names,
      Function<String, WritableRow> rowByName,
      Filter filter,
      String after,
      int limit,
      List<byte[]> rows,
      Consumer<AdminResponse> done) {
    String lastName = after;
    int examinedCount = 0;
    for (String name : after == null ? names : names.tailSet(after, false)) {
      if (rows.size() == limit) {
        done.accept(page(rows, lastName));
        return;
      }
      if (examinedCount++ == MAX_ROWS_PER_TURN) {
        String resumeAfter = lastName;
        timers.after(0, () -> readTurn(names, rowByName, filter, resumeAfter, limit, rows, done));
        return;
      }
      lastName = name;
      WritableRow row = rowByName.apply(name);
      if (row != null && filter.test(row)) {
        rows.add(Json.writeBytes(row::write));
      }
    }
    done.accept(page(rows, null));
  }

  /** Writes the fields by which a reader continues after a page. */
  interface CursorWriter {
    void write(JsonGenerator generator) throws IOException;
  }

  /** Returns a page; {@code next} is the cursor of the following page, or null at the end. */
  AdminResponse page(List<byte[]> rows, String next) {
    return pageWithCursor(rows, generator -> generator.writeStringField("next", next));
  }

  /** Returns a page with a cursor of several fields. */
  AdminResponse pageWithCursor(List<byte[]> rows, CursorWriter cursor) {
    byte[] body =
        Json.writeBytes(
            generator -> {
              generator.writeStartObject();
              asOf.writeTo(generator);
              generator.writeArrayFieldStart("rows");
              for (byte[] row : rows) {
                generator.writeRawValue(new String(row, java.nio.charset.StandardCharsets.UTF_8));
              }
              generator.writeEndArray();
              cursor.write(generator);
              generator.writeEndObject();
            });
    return new AdminResponse(200, body, 0);
  }
}
