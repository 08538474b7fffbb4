package dapplestair.leadership;

/** The token shown to workers: the term in the high bits, a fence counter in the low ones. */
public final class Baton {
  private static final int FENCE_BITS = 24;

  private Baton() {}

  /** The token of a term, raised {@code fence} times. */
  public static long of(long term, long fence) {
    return (term << FENCE_BITS) | fence;
  }

  /** The term of a token. */
  public static long term(long baton) {
    return baton >>> FENCE_BITS;
  }
}
