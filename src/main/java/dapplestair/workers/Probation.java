package dapplestair.workers;

/**
 * The probation of a machine on which tasks of several jobs failed and no task has completed since:
 * for a while it gets only one task at a time.
 *
 * @param since when the first of those tasks failed, in steady time
 * @param until when the probation ends if no other task fails there, in steady time
 */
public record Probation(long since, long until) {
  /** The value of a machine that is not on probation. */
  public static final Probation NONE = new Probation(0, 0);
}
