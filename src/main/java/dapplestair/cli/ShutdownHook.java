package dapplestair.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Shuts the process down in order on SIGTERM or SIGINT, with exit code 0. */
final class ShutdownHook {
  private static final Logger LOG = LoggerFactory.getLogger(ShutdownHook.class);

  private ShutdownHook() {}

  /** The shutdown steps, in order. */
  @FunctionalInterface
  interface ShutdownSteps {
    void run() throws InterruptedException;
  }

  /** Registers steps to run on a signal; the exit code is 0, or 1 if a step fails. */
  static void onSignal(ShutdownSteps steps) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  int exitCode = 0;
                  try {
                    steps.run();
                  } catch (InterruptedException | RuntimeException e) {
                    LOG.error("shutdown steps failed; the process exits with code 1", e);
                    exitCode = 1;
                  }
                  // Without halt, the exit code of the JVM would report the signal instead.
                  Runtime.getRuntime().halt(exitCode);
                },
                "ending"));
  }
}
