package dapplestair.leadership;

/** The token shown to workers: the term in the high bits, a fence counter in the low ones. */
public final class FencingToken {
  private static final int FENCE_BITS = 24;
  private static final long FENCE_STEP = 1 << 12;

  /**
   * How far a leader's token for a worker may lie above the one that the worker has shown while
   * launches are sent to it.
   */
  public static final long MAX_FENCE_LEAD = FENCE_STEP / 2;

  private FencingToken() {}

  /** The token of a term, raised {@code fence} times. */
  public static long of(long term, long fence) {
    return (term << FENCE_BITS) | fence;
  }

  /** How often a term's token was raised. */
  public static long fence(long token) {
    return token & ((1L << FENCE_BITS) - 1);
  }

  /**
   * The token that a controller that does not lead may show to a worker that shows {@code token}:
   * in the same term, above every one that the leader may have used for this worker without its
   * being shown ({@link #MAX_FENCE_LEAD}). Negative when there is none left.
   *
   * <p>Whoever raises a token, what follows from it stays true: a message that carries a lower one
   * is not executed any more. A leader that meets the raised token goes on from there.
   */
  public static long raisedByNonLeader(long token) {
    // Above what the leader may be ahead by, and by as much again for what it may see and use while
    // this one is on its way: the next multiple alone may lie one above the worker's.
    long raised = (fence(token) / FENCE_STEP + 2) * FENCE_STEP;
    // Half of the numbers are left to the leader's own raises.
    return raised >= 1L << (FENCE_BITS - 1) ? -1 : of(term(token), raised);
  }

  /** The term of a token. */
  public static long term(long token) {
    return token >>> FENCE_BITS;
  }
}
