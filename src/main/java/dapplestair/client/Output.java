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

/** Prints the service's answers as tables, JSON or CSV. */
final class Output {
  private static final Set<String> GREEN_WORDS =
      Set.of("done", "up", "running", "completed", "true");
  private static final Set<String> RED_WORDS =
      Set.of("aborted", "silent", "faulty", "failed", "lost", "machine-lost", "refused");
  private static final int COLUMN_GAP = 2;
  private static final int MIN_COLUMN_WIDTH = 6;

  private final PrintWriter writer;
  private final CommonOptions.OutputFormat format;
  private final boolean useColor;
  private final int maxLineWidth;

  Output(
      PrintWriter writer, CommonOptions.OutputFormat format, boolean useColor, int maxLineWidth) {
    this.writer = writer;
    this.format = format;
    this.useColor = useColor;
    this.maxLineWidth = maxLineWidth;
  }

  /** Prints rows: tables and CSV have the given columns, JSON has the whole answer. */
  void printRows(JsonNode answer, String... columns) {
    List<JsonNode> rows = new ArrayList<>();
    answer.path("rows").forEach(rows::add);
    switch (format) {
      case json -> printJson(answer);
      case csv -> printCsv(rows, columns);
      default -> {
        printTable(rows, columns);
        printAsOf(answer);
      }
    }
    writer.flush();
  }

  /** Prints one object: first its fields with plain values, then its lists as tables. */
  void printObject(JsonNode answer) {
    if (format == CommonOptions.OutputFormat.json) {
      printJson(answer);
    } else if (format == CommonOptions.OutputFormat.csv) {
      printCsv(List.of(answer), valueFieldNames(answer).toArray(String[]::new));
    } else {
      printFields("", answer);
      for (Iterator<Map.Entry<String, JsonNode>> it = answer.fields(); it.hasNext(); ) {
        Map.Entry<String, JsonNode> entry = it.next();
        if (entry.getValue().isArray() && !entry.getValue().isEmpty()) {
          writer.println();
          List<JsonNode> rows = new ArrayList<>();
          entry.getValue().forEach(rows::add);
          printTable(rows, valueColumns(rows));
        }
      }
      printAsOf(answer);
    }
    writer.flush();
  }

  private void printJson(JsonNode answer) {
    writer.println(new String(Json.bytes(answer), StandardCharsets.UTF_8));
  }

  /** Prints a plain line, whatever the output format. */
  void printLine(String line) {
    writer.println(line);
    writer.flush();
  }

  private void printAsOf(JsonNode answer) {
    JsonNode asOf = answer.path("asOf");
    if (asOf.isObject()) {
      writer.println(
          "as of term %s, epoch %s, told by %s"
              .formatted(
                  asOf.path("term").asText(),
                  asOf.path("epoch").asText(),
                  asOf.path("by").asText()));
    }
  }

  private static List<String> valueFieldNames(JsonNode node) {
    List<String> fieldNames = new ArrayList<>();
    node.fieldNames()
        .forEachRemaining(
            fieldName -> {
              if (node.get(fieldName).isValueNode()) {
                fieldNames.add(fieldName);
              }
            });
    return fieldNames;
  }

  private static String[] valueColumns(List<JsonNode> rows) {
    Set<String> columns = new java.util.LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(valueFieldNames(row)));
    return columns.toArray(String[]::new);
  }

  private void printFields(String prefix, JsonNode node) {
    for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
      Map.Entry<String, JsonNode> entry = it.next();
      if (entry.getKey().equals("asOf") || entry.getValue().isArray()) {
        continue;
      }
      if (entry.getValue().isObject()) {
        printFields(prefix + entry.getKey() + ".", entry.getValue());
      } else {
        String name = prefix + entry.getKey();
        writer.println(
            pad(name, 24) + " " + colorize(formatValue(entry.getKey(), entry.getValue())));
      }
    }
  }

  // ---- tables ----

  private void printTable(List<JsonNode> rows, String... columns) {
    List<String[]> cells = new ArrayList<>();
    int[] widths = new int[columns.length];
    for (int c = 0; c < columns.length; c++) {
      widths[c] = columns[c].length();
    }
    for (JsonNode row : rows) {
      String[] line = new String[columns.length];
      for (int c = 0; c < columns.length; c++) {
        line[c] = formatValue(columns[c], row.path(columns[c]));
        widths[c] = Math.max(widths[c], line[c].length());
      }
      cells.add(line);
    }
    shrinkToFit(widths);
    StringBuilder head = new StringBuilder();
    for (int c = 0; c < columns.length; c++) {
      head.append(
          pad(truncate(columns[c].toUpperCase(Locale.ROOT), widths[c]), widths[c] + COLUMN_GAP));
    }
    writer.println(head.toString().stripTrailing());
    for (String[] line : cells) {
      StringBuilder builder = new StringBuilder();
      for (int c = 0; c < columns.length; c++) {
        String cell = truncate(line[c], widths[c]);
        boolean last = c == columns.length - 1;
        builder
            .append(colorize(cell))
            .append(last ? "" : " ".repeat(widths[c] + COLUMN_GAP - cell.length()));
      }
      writer.println(builder.toString().stripTrailing());
    }
  }

  /** Narrows the widest columns until a line fits the terminal or all have the minimum width. */
  private void shrinkToFit(int[] widths) {
    while (true) {
      int lineWidth = -COLUMN_GAP;
      int widestColumn = 0;
      for (int c = 0; c < widths.length; c++) {
        lineWidth += widths[c] + COLUMN_GAP;
        widestColumn = widths[c] > widths[widestColumn] ? c : widestColumn;
      }
      if (lineWidth <= maxLineWidth
          || widths.length == 0
          || widths[widestColumn] <= MIN_COLUMN_WIDTH) {
        return;
      }
      widths[widestColumn] =
          Math.max(MIN_COLUMN_WIDTH, widths[widestColumn] - (lineWidth - maxLineWidth));
    }
  }

  private static String pad(String text, int length) {
    return text.length() >= length ? text : text + " ".repeat(length - text.length());
  }

  private static String truncate(String text, int maxLength) {
    return text.length() <= maxLength ? text : text.substring(0, maxLength - 1) + "~";
  }

  private String colorize(String text) {
    if (!useColor) {
      return text;
    }
    String word = text.strip();
    String style = GREEN_WORDS.contains(word) ? "green" : RED_WORDS.contains(word) ? "red" : null;
    return style == null ? text : Ansi.ON.string("@|" + style + " " + text + "|@");
  }

  private static String formatValue(String column, JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return "-";
    }
    if (node.isFloatingPointNumber()) {
      double number = node.doubleValue();
      return number == Math.rint(number) && Math.abs(number) < 1e9
          ? Long.toString((long) number)
          : String.format(Locale.ROOT, "%.1f", number);
    }
    if (column.equals("at") || column.equals("accepted")) {
      return java.time.Instant.ofEpochMilli(node.asLong()).toString();
    }
    return node.isContainerNode() ? node.toString() : node.asText();
  }

  // ---- CSV ----

  private void printCsv(List<JsonNode> rows, String... columns) {
    try (CSVPrinter csvPrinter = new CSVPrinter(new StringBuilder(), CSVFormat.RFC4180)) {
      csvPrinter.printRecord((Object[]) columns);
      for (JsonNode row : rows) {
        List<String> line = new ArrayList<>();
        for (String column : columns) {
          JsonNode value = row.path(column);
          line.add(
              value.isNull() || value.isMissingNode()
                  ? ""
                  : value.isContainerNode() ? value.toString() : value.asText());
        }
        csvPrinter.printRecord(line);
      }
      writer.print(csvPrinter.getOut());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Merges the rows of several pages into one answer with the {@code asOf} of the last page. */
  static ObjectNode mergePages(List<JsonNode> rows, JsonNode lastPage) {
    ObjectNode merged = Json.object();
    if (lastPage.has("asOf")) {
      merged.set("asOf", lastPage.get("asOf"));
    }
    var mergedRows = merged.putArray("rows");
    rows.forEach(mergedRows::add);
    return merged;
  }
}
