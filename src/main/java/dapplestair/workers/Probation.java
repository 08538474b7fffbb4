package dapplestair.workers;

/**
 * A machine on which tasks of several jobs failed and none has completed since: for a while it gets
 * one task at a time.
 *
 * @param since when the first of them failed, steady time
 * @param until when it ends if nothing more fails there, steady time
 */
public record Probation(long since, long until) {
  /** A machine like any other. */
  public static final Probation NONE = new Probation(0, 0);
}
