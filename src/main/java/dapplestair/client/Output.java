package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine.Help.Ansi;

/** Prints answers as tables, JSON or CSV. */
final class Output {
  private static final Set<String> GOOD = Set.of("done", "up", "running", "completed", "true");
  private static final Set<String> BAD =
      Set.of("aborted", "silent", "faulty", "failed", "lost", "machine-lost", "refused");
  private static final int GAP = 2;
  private static final int NARROWEST = 6;

  private final PrintWriter out;
  private final CommonOptions.OutputFormat form;
  private final boolean color;
  private final int width;

  Output(PrintWriter out, CommonOptions.OutputFormat form, boolean color, int width) {
    this.out = out;
    this.form = form;
    this.color = color;
    this.width = width;
  }

  /** Rows with the columns that a table shows; JSON and CSV have all there is. */
  void rows(JsonNode answer, String... columns) {
    List<JsonNode> rows = new ArrayList<>();
    answer.path("rows").forEach(rows::add);
    switch (form) {
      case json -> line(answer);
      case csv -> csv(rows, columns);
      default -> {
        table(rows, columns);
        asOf(answer);
      }
    }
    out.flush();
  }

  /** One thing: its plain fields, then its lists as tables. */
  void one(JsonNode answer) {
    if (form == CommonOptions.OutputFormat.json) {
      line(answer);
    } else if (form == CommonOptions.OutputFormat.csv) {
      csv(List.of(answer), names(answer).toArray(String[]::new));
    } else {
      fields("", answer);
      for (Iterator<Map.Entry<String, JsonNode>> it = answer.fields(); it.hasNext(); ) {
        Map.Entry<String, JsonNode> entry = it.next();
        if (entry.getValue().isArray() && !entry.getValue().isEmpty()) {
          out.println();
          List<JsonNode> rows = new ArrayList<>();
          entry.getValue().forEach(rows::add);
          table(rows, columnsOf(rows));
        }
      }
      asOf(answer);
    }
    out.flush();
  }

  private void line(JsonNode answer) {
    out.println(new String(Json.bytes(answer), StandardCharsets.UTF_8));
  }

  /** A plain line, in every form. */
  void say(String line) {
    out.println(line);
    out.flush();
  }

  private void asOf(JsonNode answer) {
    JsonNode node = answer.path("asOf");
    if (node.isObject()) {
      out.println(
          "as of term %s, epoch %s, told by %s"
              .formatted(
                  node.path("term").asText(),
                  node.path("epoch").asText(),
                  node.path("by").asText()));
    }
  }

  private static List<String> names(JsonNode node) {
    List<String> out = new ArrayList<>();
    node.fieldNames()
        .forEachRemaining(
            n -> {
              if (node.get(n).isValueNode()) {
                out.add(n);
              }
            });
    return out;
  }

  private static String[] columnsOf(List<JsonNode> rows) {
    Set<String> out = new java.util.LinkedHashSet<>();
    rows.forEach(r -> out.addAll(names(r)));
    return out.toArray(String[]::new);
  }

  private void fields(String prefix, JsonNode node) {
    for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
      Map.Entry<String, JsonNode> entry = it.next();
      if (entry.getKey().equals("asOf") || entry.getValue().isArray()) {
        continue;
      }
      if (entry.getValue().isObject()) {
        fields(prefix + entry.getKey() + ".", entry.getValue());
      } else {
        String name = prefix + entry.getKey();
        out.println(pad(name, 24) + " " + painted(text(entry.getKey(), entry.getValue())));
      }
    }
  }

  // ---- tables ----

  private void table(List<JsonNode> rows, String... columns) {
    List<String[]> cells = new ArrayList<>();
    int[] widths = new int[columns.length];
    for (int c = 0; c < columns.length; c++) {
      widths[c] = columns[c].length();
    }
    for (JsonNode node : rows) {
      String[] line = new String[columns.length];
      for (int c = 0; c < columns.length; c++) {
        line[c] = text(columns[c], node.path(columns[c]));
        widths[c] = Math.max(widths[c], line[c].length());
      }
      cells.add(line);
    }
    fit(widths);
    StringBuilder head = new StringBuilder();
    for (int c = 0; c < columns.length; c++) {
      head.append(pad(cut(columns[c].toUpperCase(Locale.ROOT), widths[c]), widths[c] + GAP));
    }
    out.println(head.toString().stripTrailing());
    for (String[] line : cells) {
      StringBuilder builder = new StringBuilder();
      for (int c = 0; c < columns.length; c++) {
        String cell = cut(line[c], widths[c]);
        boolean last = c == columns.length - 1;
        builder
            .append(painted(cell))
            .append(last ? "" : " ".repeat(widths[c] + GAP - cell.length()));
      }
      out.println(builder.toString().stripTrailing());
    }
  }

  /** Narrows the widest columns until a line fits the terminal. */
  private void fit(int[] widths) {
    while (true) {
      int sum = -GAP;
      int widest = 0;
      for (int c = 0; c < widths.length; c++) {
        sum += widths[c] + GAP;
        widest = widths[c] > widths[widest] ? c : widest;
      }
      if (sum <= width || widths.length == 0 || widths[widest] <= NARROWEST) {
        return;
      }
      widths[widest] = Math.max(NARROWEST, widths[widest] - (sum - width));
    }
  }

  private static String pad(String s, int to) {
    return s.length() >= to ? s : s + " ".repeat(to - s.length());
  }

  private static String cut(String s, int to) {
    return s.length() <= to ? s : s.substring(0, to - 1) + "~";
  }

  private String painted(String s) {
    if (!color) {
      return s;
    }
    String word = s.strip();
    String style = GOOD.contains(word) ? "green" : BAD.contains(word) ? "red" : null;
    return style == null ? s : Ansi.ON.string("@|" + style + " " + s + "|@");
  }

  private static String text(String column, JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return "-";
    }
    if (node.isFloatingPointNumber()) {
      double d = node.doubleValue();
      return d == Math.rint(d) && Math.abs(d) < 1e9
          ? Long.toString((long) d)
          : String.format(Locale.ROOT, "%.1f", d);
    }
    if (column.equals("at") || column.equals("accepted")) {
      return java.time.Instant.ofEpochMilli(node.asLong()).toString();
    }
    return node.isContainerNode() ? node.toString() : node.asText();
  }

  // ---- CSV ----

  private void csv(List<JsonNode> rows, String... columns) {
    try (CSVPrinter cSVPrinter = new CSVPrinter(new StringBuilder(), CSVFormat.RFC4180)) {
      cSVPrinter.printRecord((Object[]) columns);
      for (JsonNode node : rows) {
        List<String> line = new ArrayList<>();
        for (String c : columns) {
          JsonNode v = node.path(c);
          line.add(
              v.isNull() || v.isMissingNode()
                  ? ""
                  : v.isContainerNode() ? v.toString() : v.asText());
        }
        cSVPrinter.printRecord(line);
      }
      out.print(cSVPrinter.getOut());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Puts rows of several pages into one answer, as of the last page. */
  static ObjectNode gathered(List<JsonNode> rows, JsonNode last) {
    ObjectNode object = Json.object();
    if (last.has("asOf")) {
      object.set("asOf", last.get("asOf"));
    }
    var list = object.putArray("rows");
    rows.forEach(list::add);
    return object;
  }
}
