package dapplestair.filter;

/** A row whose fields a filter can examine. */
@FunctionalInterface
public interface Row {
  /**
   * Returns the value of a field: a String, a Double, a Boolean, or null if the field is not set.
   */
  Object value(String field);
}
