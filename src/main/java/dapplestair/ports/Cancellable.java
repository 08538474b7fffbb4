package dapplestair.ports;

/** A running or pending operation that can be cancelled. */
@FunctionalInterface
public interface Cancellable {
  /** Cancels the operation; further calls have no effect. */
  void cancel();
}
