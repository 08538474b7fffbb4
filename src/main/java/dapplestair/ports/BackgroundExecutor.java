package dapplestair.ports;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs long computations outside of the event loop and returns their results to the loop. */
public interface BackgroundExecutor {
  /** Computes {@code work} on another thread and passes its result to {@code done} on the loop. */
  <R> void compute(Supplier<R> work, Consumer<R> done);
}
