package dapplestair.cli;

import dapplestair.settings.OperatorSettings;
import dapplestair.settings.SettingsException;
import dapplestair.settings.SettingsLoader;
import java.net.BindException;
import java.nio.file.Path;

/**
 * The controller as a platform starts it: with the path of its settings and nothing else. What
 * {@code dapplestair controller} does, less the command line's library, which would be a third of
 * the time in which nobody is served.
 */
public final class Service {
  private Service() {}

  /** Runs until it is killed; the exit code is 2 for settings that cannot be used. */
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
