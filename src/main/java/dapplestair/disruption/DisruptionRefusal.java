package dapplestair.disruption;

/**
 * Why a task may not be stopped now.
 *
 * @param team whose budget it is
 * @param budget which of its figures is used up
 * @param allowed what that figure allows
 * @param out what is out, or spent, already
 * @param because what is out, and why, for people
 */
public record DisruptionRefusal(
    String team, String budget, double allowed, double out, String because) {
  /** For people. */
  public String words() {
    return "team %s allows %s for %s, and %s out: %s"
        .formatted(team, figure(allowed), budget, figure(out), because);
  }

  private static String figure(double v) {
    return v == Math.rint(v) ? Long.toString((long) v) : "%.1f".formatted(v);
  }
}
