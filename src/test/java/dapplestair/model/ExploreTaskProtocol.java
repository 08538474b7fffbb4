package dapplestair.model;

import java.util.Arrays;

/**
 * Explores other bounds than those that the build has time for: {@code ExploreTaskProtocol
 * MOST_STATES SUCCESSOR MACHINES ATTEMPTS SESSIONS RAISES MESSAGES REPORTS RAISED_BY_OTHERS
 * LATE_ANSWERS CANCELLATION}, with 0 and 1 for what may or may not be.
 */
final class ExploreTaskProtocol {
  private ExploreTaskProtocol() {}

  public static void main(String[] args) {
    int[] n = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    Bounds bounds =
        new Bounds(n[1] > 0, n[2], n[3], n[4], n[5], n[6], n[7], n[8] > 0, n[9] > 0, n[10] > 0);
    long begun = System.nanoTime();
    Explorer.Result r = new Explorer(new TaskProtocol(bounds), n[0]).explore();
    long ms = (System.nanoTime() - begun) / 1_000_000;
    String rule = r.broken() == null ? "no rule broken" : r.broken();
    System.out.printf(
        "%s: %d states, %d transitions, %d ms, %s%n",
        bounds, r.states(), r.transitions(), ms, rule);
    r.trace().forEach(System.out::println);
  }
}
