package dapplestair.cli;

import dapplestair.settings.OperatorSettings;
import dapplestair.settings.SettingsException;
import dapplestair.settings.SettingsLoader;
import java.net.BindException;
import java.nio.file.Path;

/**
 * Entry point for platforms that start a controller with the path of its settings as the only
 * argument. Does the same as {@code dapplestair controller} without loading the command line
 * library, which would take a third of the start-up time, during which nobody is served.
 */
public final class Service {
  private Service() {}

  /** Runs a controller until the process is killed; the exit code is 2 for unusable settings. */
  public static void main(String[] args) throws InterruptedException {
    Logging.configure(System.getenv());
    if (args.length != 1) {
      System.err.println("dapplestair: give the path of the settings, and nothing else");
      System.exit(2);
    }
    try {
      ControllerServer.start(SettingsLoader.load(Path.of(args[0])), OperatorSettings.defaults());
    } catch (SettingsException e) {
      System.exit(SettingsOptions.reportUnusable(e));
    } catch (Exception e) {
      if (!(e instanceof BindException)) {
        throw e;
      }
      System.err.println("dapplestair: cannot listen: " + e.getMessage());
      System.exit(1);
    }
    Thread.currentThread().join();
  }
}
