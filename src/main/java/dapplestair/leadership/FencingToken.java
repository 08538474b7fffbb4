package dapplestair.leadership;

/** Fencing tokens shown to workers: the term in the high bits, a fence counter in the low bits. */
public final class FencingToken {
  private static final int FENCE_BITS = 24;
  private static final long FENCE_STEP = 1 << 12;

  /**
   * Limit on how far the leader's token for a worker may lie above the token that the worker has
   * shown; once the difference reaches it, the leader sends that worker no launches.
   */
  public static final long MAX_FENCE_LEAD = FENCE_STEP / 2;

  private FencingToken() {}

  /** Returns the token of a term with the given fence counter. */
  public static long of(long term, long fence) {
    return (term << FENCE_BITS) | fence;
  }

  /** Returns the fence counter of a token: how often the term's token was raised. */
  public static long fence(long token) {
    return token & ((1L << FENCE_BITS) - 1);
  }

  /**
   * Returns the token that a controller that does not lead may show to a worker that has shown
   * {@code token}: a token of the same term, above every token that the leader may have used for
   * this worker before the worker showed it ({@link #MAX_FENCE_LEAD}). Returns -1 when no such
   * token is left.
   *
   * <p>The guarantee of a raised token does not depend on who raised it: the worker no longer
   * executes a message with a lower token. A leader that receives the raised token continues from
   * it.
   */
  public static long raisedByNonLeader(long token) {
    // More than twice MAX_FENCE_LEAD above the shown token: once for the tokens that the leader may
    // already use, and once for those that it may see and use while this token is in transit. The
    // next multiple of the step alone may lie just one above the worker's token.
    long raised = (fence(token) / FENCE_STEP + 2) * FENCE_STEP;
    // The upper half of the fence counter's range is reserved for the leader's own raises.
    return raised >= 1L << (FENCE_BITS - 1) ? -1 : of(term(token), raised);
  }

  /** Returns the term of a token. */
  public static long term(long token) {
    return token >>> FENCE_BITS;
  }
}
