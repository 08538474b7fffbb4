package dapplestair.ports;

/** Time as this controller sees it. */
public interface Clock {
  /** Milliseconds of the steady clock. */
  long now();

  /** Milliseconds of the time of day. */
  long wall();
}
