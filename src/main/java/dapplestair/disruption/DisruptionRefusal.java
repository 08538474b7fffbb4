package dapplestair.disruption;

/**
 * The reason why a task may not be stopped now.
 *
 * @param team team whose budget is used up
 * @param budgetName the part of the budget that is used up
 * @param allowed limit of that part
 * @param used number of tasks already unavailable, or CPU seconds already lost or reserved
 * @param detail human-readable description of what uses up the budget
 */
public record DisruptionRefusal(
    String team, String budgetName, double allowed, double used, String detail) {
  /** Returns a human-readable description of this refusal. */
  public String describe() {
    return "team %s allows %s for %s, and %s out: %s"
        .formatted(team, formatNumber(allowed), budgetName, formatNumber(used), detail);
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : "%.1f".formatted(value);
  }
}
