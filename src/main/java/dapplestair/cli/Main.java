package dapplestair.cli;

import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point. */
@Command(
    name = "dapplestair",
    mixinStandardHelpOptions = true,
    version = "dapplestair 0.2.0",
    description = "A cluster scheduler.",
    subcommands = {
      ControllerCommand.class,
      CheckConfigCommand.class,
      DaemonCommand.class,
      EmulateCommand.class,
      RehearseCommand.class
    })
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs a command; the exit code is 2 for wrong usage or settings. */
  public static void main(String[] args) {
    logging();
    int code = new CommandLine(new Main()).execute(args);
    if (code != ControllerCommand.STAYS) {
      System.exit(code);
    }
  }

  private static void logging() {
    String level = System.getenv("LOG_LEVEL");
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        level == null ? "info" : level.toLowerCase(Locale.ROOT));
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
