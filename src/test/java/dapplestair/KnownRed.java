package dapplestair;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the tests that KNOWN-RED.txt lists, and over no others: one that fails is printed and
 * counted as skipped. A line is {@code CLASS.METHOD[NAME & NAME] | cause | issue}, where each name
 * is that of one invocation as JUnit displays it.
 */
public final class KnownRed implements TestExecutionExceptionHandler {
  /** The list, at the root of the repository. */
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /** One line of the list. */
  record Entry(String className, String method, List<String> names, String cause, String issue) {
    boolean covers(ExtensionContext context) {
      return context.getRequiredTestClass().getName().equals(className)
          && context.getRequiredTestMethod().getName().equals(method)
          && names.contains(context.getDisplayName());
    }
  }

  /** Reads the list; a line of another form is an error. */
  static List<Entry> entries() {
    List<Entry> out = new ArrayList<>();
    if (!Files.exists(FILE)) {
      return out;
    }
    try {
      for (String line : Files.readAllLines(FILE)) {
        out.add(entry(line));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out;
  }

  private static Entry entry(String line) {
    String[] parts = line.split(" \\| ");
    int names = line.indexOf('[');
    if (parts.length != 3 || names < 0 || !parts[0].endsWith("]")) {
      throw new IllegalStateException(FILE + ": not TEST[NAME] | cause | issue: " + line);
    }
    String test = line.substring(0, names);
    int dot = test.lastIndexOf('.');
    return new Entry(
        test.substring(0, dot),
        test.substring(dot + 1),
        List.of(parts[0].substring(names + 1, parts[0].length() - 1).split(" & ")),
        parts[1],
        parts[2]);
  }

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    for (Entry entry : entries()) {
      if (entry.covers(context)) {
        System.out.printf(
            "KNOWN RED %s.%s[%s]: %s%n",
            entry.className, entry.method, context.getDisplayName(), failure.getMessage());
        throw new TestAbortedException("known red: " + entry.cause, failure);
      }
    }
    throw failure;
  }
}
