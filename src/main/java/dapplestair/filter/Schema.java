package dapplestair.filter;

import java.util.Map;
import java.util.TreeMap;

/** The names and types of the fields that rows of one kind have. */
public enum Schema {
  /** Rows of {@code job list}. */
  JOBS(
      "ref text, class text, team text, shape text, rank text, status text, tasks number, done"
          + " number, running number, waiting_tasks number, waiting number, age number, cpus number,"
          + " spot flag, zone text"),
  /** Rows of {@code machine list}. */
  MACHINES(
      "id text, type text, zone text, spot flag, state text, cpus number, used number, tasks"
          + " number, age number, idle number, drained flag, silent number"),
  /** Rows of {@code event list}. */
  EVENTS(
      "id number, at number, kind text, job text, task text, machine text, zone text, team text,"
          + " reason text, type text, status text, spot flag, count number, term number");

  /** The type of the values of a field. */
  public enum Type {
    TEXT,
    NUMBER,
    FLAG
  }

  private final Map<String, Type> fields = new TreeMap<>();

  Schema(String declarations) {
    for (String declaration : declarations.split(", ")) {
      int space = declaration.indexOf(' ');
      fields.put(
          declaration.substring(0, space),
          Type.valueOf(declaration.substring(space + 1).toUpperCase(java.util.Locale.ROOT)));
    }
  }

  /** Returns the type of a field, or null if there is no such field. */
  public Type type(String field) {
    return fields.get(field);
  }

  /** Returns the names of all fields, separated by commas, for messages. */
  public String names() {
    return String.join(", ", fields.keySet());
  }
}
