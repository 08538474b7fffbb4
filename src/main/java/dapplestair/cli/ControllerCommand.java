package dapplestair.cli;

import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one controller until the process is killed. */
@Command(name = "controller", description = "Run one controller until it is killed.")
final class ControllerCommand implements Callable<Integer> {
  /** Exit code of a command whose process must keep running after the command has returned. */
  static final int KEEP_RUNNING = -1;

  @Mixin private SettingsOptions settingsOptions;

  @Override
  public Integer call() throws Exception {
    try {
      Settings settings = settingsOptions.settings();
      ControllerServer.start(settings, settingsOptions.operatorSettings(settings));
    } catch (SettingsException e) {
      return SettingsOptions.reportUnusable(e);
    }
    Thread.currentThread().join();
    return KEEP_RUNNING;
  }
}
