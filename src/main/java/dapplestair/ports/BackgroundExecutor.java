package dapplestair.ports;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Long computations beside the loop; the result comes back to the loop. */
public interface BackgroundExecutor {
  /** Computes {@code work} elsewhere and hands its result to {@code done} on the loop. */
  <R> void compute(Supplier<R> work, Consumer<R> done);
}
