package dapplestair;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of KNOWN-RED.txt:
 *
 * <pre>
 * CLASS.METHOD[NAME &amp; NAME] | command | seed | "part of the message" what was seen | issue N
 * </pre>
 *
 * @param names of the invocations, as JUnit displays them
 * @param command with which the failure is seen
 * @param message what the failure says; any other failure is not passed over
 * @param seen what was seen, for people
 */
record KnownRedEntry(
    String className,
    String method,
    List<String> names,
    String command,
    String seed,
    String message,
    String seen,
    int issue) {
  private static final Pattern LINE =
      Pattern.compile(
          "(?<class>[\\w.]+)\\.(?<method>\\w+)\\[(?<names>.+?)] \\| (?<command>[^|]+) \\| "
              + "(?<seed>[^|]+) \\| \"(?<message>[^\"]+)\" (?<seen>[^|]+) \\| issue (?<issue>\\d+)");

  static KnownRedEntry parse(String line) {
    Matcher matcher = LINE.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("KNOWN-RED.txt: not an entry: " + line);
    }
    return new KnownRedEntry(
        matcher.group("class"),
        matcher.group("method"),
        List.of(matcher.group("names").split(" & ")),
        matcher.group("command"),
        matcher.group("seed"),
        matcher.group("message"),
        matcher.group("seen"),
        Integer.parseInt(matcher.group("issue")));
  }

  boolean covers(String ofClass, String ofMethod, String name) {
    return className.equals(ofClass) && method.equals(ofMethod) && names.contains(name);
  }

  /** True when this is the failure that was entered, and not another one of the same test. */
  boolean covers(Throwable failure) {
    return String.valueOf(failure.getMessage()).contains(message);
  }
}
