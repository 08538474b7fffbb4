package dapplestair.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An orderly end on SIGTERM or SIGINT, with exit code 0. */
final class ShutdownHook {
  private static final Logger LOG = LoggerFactory.getLogger(ShutdownHook.class);

  private ShutdownHook() {}

  /** What ends, in order. */
  @FunctionalInterface
  interface ShutdownSteps {
    void run() throws InterruptedException;
  }

  /** Runs the steps when the process is told to end, then ends it with 0. */
  static void onSignal(ShutdownSteps steps) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  int exitCode = 0;
                  try {
                    steps.run();
                  } catch (InterruptedException | RuntimeException e) {
                    LOG.error("ending failed", e);
                    exitCode = 1;
                  }
                  // Without this the virtual machine would report the signal instead.
                  Runtime.getRuntime().halt(exitCode);
                },
                "ending"));
  }
}
