package dapplestair.filter;

/** Thrown for a filter that cannot be parsed or compiled, with the position of the error. */
public final class FilterException extends Exception {
  private static final long serialVersionUID = 1L;
  private static final int EXCERPT_CHARACTERS = 60;

  private final int position;

  FilterException(int position, String message) {
    super(message, null, false, false);
    this.position = position;
  }

  /** Returns the index of the character at which the error is. */
  public int position() {
    return position;
  }

  /**
   * Returns the part of the filter around the error, with a caret under the error and the message.
   */
  public String annotate(String filter) {
    String line = filter.replaceAll("\\s", " ");
    int start = Math.max(0, position - EXCERPT_CHARACTERS / 2);
    int end = Math.min(line.length(), start + EXCERPT_CHARACTERS);
    String prefix = start > 0 ? "..." : "";
    String suffix = end < line.length() ? "..." : "";
    int column = prefix.length() + Math.min(position, line.length()) - start;
    return prefix
        + line.substring(start, end)
        + suffix
        + "\n"
        + " ".repeat(column)
        + "^ "
        + getMessage();
  }
}
