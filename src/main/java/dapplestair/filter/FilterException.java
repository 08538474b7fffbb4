package dapplestair.filter;

/** A filter that cannot be understood, with the place of the mistake. */
public final class FilterException extends Exception {
  private static final long serialVersionUID = 1L;
  private static final int EXCERPT_CHARACTERS = 60;

  private final int position;

  FilterException(int position, String message) {
    super(message, null, false, false);
    this.position = position;
  }

  /** Index of the character at fault. */
  public int position() {
    return position;
  }

  /** The filter around the mistake with a caret under it, and what is wrong. */
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
