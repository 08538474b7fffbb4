package dapplestair.peers;

/**
 * Numbers the requests of one process to its peers. The first number is derived from the process's
 * incarnation, so a restarted controller does not use the numbers of its earlier processes again. A
 * peer repeats the number in its answer and need not know how it was chosen.
 */
final class RequestNumbers {
  /** The number of messages that need no answer; no request has it. */
  static final long NO_ANSWER = 0;

  // Leaves room for as many requests as a process can send, without an overflow.
  private static final int UNUSED_BITS = 2;

  private final long base;
  private long last;

  RequestNumbers(Incarnation incarnation) {
    base = incarnation.processId() >>> UNUSED_BITS;
    last = base;
  }

  /** Returns the number of the next request. */
  long next() {
    return ++last;
  }

  /** Returns whether this process has used the number for a request. */
  boolean isUsed(long number) {
    return number > base && number <= last;
  }
}
