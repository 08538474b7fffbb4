package dapplestair.ports;

/** Something running or pending that can be called off. */
@FunctionalInterface
public interface Cancellable {
  /** Calls it off; calling again has no effect. */
  void cancel();
}
