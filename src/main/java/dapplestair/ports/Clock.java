package dapplestair.ports;

/** The clocks of this controller. */
public interface Clock {
  /** Returns the time of the steady (monotonic) clock, in milliseconds. */
  long now();

  /** Returns the time of the wall clock, in milliseconds. */
  long wall();
}
