package dapplestair.cli;

import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Configures logging: plain lines to standard error, or one JSON object per line with {@code
 * LOG_FORMAT=json}. The SLF4J backend is set by name, so that SLF4J need not search for one at each
 * start.
 */
final class Logging {
  private static final String PROVIDER = "slf4j.provider";

  private Logging() {}

  /** Sets the backend and its format; must be called before the first logger is created. */
  static void configure(Map<String, String> env) {
    setNettyMachineId();
    // Without this, SLF4J reports at each start that the backend was set by name.
    System.setProperty("slf4j.internal.verbosity", "WARN");
    String level = env.getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    if ("json".equals(env.get("LOG_FORMAT"))) {
      System.setProperty(PROVIDER, "ch.qos.logback.classic.spi.LogbackServiceProvider");
      JsonLogging.configure(level);
      return;
    }
    System.setProperty(PROVIDER, "org.slf4j.simple.SimpleServiceProvider");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }

  /**
   * Sets a random machine ID for Netty's channel IDs. By default Netty uses a hardware address,
   * which a controller's machine does not expose: Netty then searched all network interfaces and
   * logged a warning at each start. Channel IDs are never compared between machines, so any value
   * will do.
   */
  private static void setNettyMachineId() {
    if (System.getProperty("io.netty.machineId") == null) {
      StringBuilder id = new StringBuilder();
      SplittableRandom random = new SplittableRandom(System.nanoTime());
      for (int i = 0; i < 8; i++) {
        id.append(i == 0 ? "" : ":").append(String.format("%02x", random.nextInt(256)));
      }
      System.setProperty("io.netty.machineId", id.toString());
    }
  }
}
