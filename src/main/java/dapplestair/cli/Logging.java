package dapplestair.cli;

import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Where the lines go that are logged: plain to standard error, or with {@code LOG_FORMAT=json} one
 * JSON object each. The backend is named, so that none is searched for at each start.
 */
final class Logging {
  private static final String PROVIDER = "slf4j.provider";

  private Logging() {}

  /** To be called before the first logger is made. */
  static void configure(Map<String, String> env) {
    setNettyMachineId();
    // Naming the backend is no news.
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
   * Netty numbers its channels by a hardware address, which a controller's machine does not show:
   * it then looked through all interfaces and warned at each start. Nobody compares these numbers
   * between machines, so any will do.
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
