package dapplestair.cli;

import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one controller until it is killed. */
@Command(name = "controller", description = "Run one controller until it is killed.")
final class ControllerCommand implements Callable<Integer> {
  /** The command goes on after it has returned. */
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
