package dapplestair.filter;

/** Something that a filter can look at. */
@FunctionalInterface
public interface Row {
  /** A field's value: a String, a Double, a Boolean, or null when it has none. */
  Object value(String field);
}
