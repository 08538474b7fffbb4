package dapplestair.model;

import java.util.Arrays;

/**
 * Explores the model within bounds too large for the build: {@code ExploreTaskProtocol MAX_STATES
 * HAS_SUCCESSOR MACHINES ATTEMPTS SESSIONS MAX_RAISES MAX_MESSAGES MAX_REPORTS NON_LEADER_RAISES
 * LATE_RESPONSES USER_MAY_CANCEL}. Boolean arguments are 0 or 1.
 */
final class ExploreTaskProtocol {
  private ExploreTaskProtocol() {}

  public static void main(String[] args) {
    int[] parameters = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    Bounds bounds =
        new Bounds(
            parameters[1] > 0,
            parameters[2],
            parameters[3],
            parameters[4],
            parameters[5],
            parameters[6],
            parameters[7],
            parameters[8] > 0,
            parameters[9] > 0,
            parameters[10] > 0);
    long startedNs = System.nanoTime();
    Explorer.Result result = new Explorer(new TaskProtocol(bounds), parameters[0]).explore();
    long elapsedMs = (System.nanoTime() - startedNs) / 1_000_000;
    String rule = result.brokenRule() == null ? "no rule broken" : result.brokenRule();
    System.out.printf(
        "%s: %d states, %d transitions, %d ms, %s%n",
        bounds, result.states(), result.transitions(), elapsedMs, rule);
    result.trace().forEach(System.out::println);
  }
}
