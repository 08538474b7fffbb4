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
  static final int STAYS = -1;

  @Mixin private SettingsOptions files;

  @Override
  public Integer call() throws Exception {
    try {
      Settings settings = files.settings();
      ControllerServer.start(settings, files.operator(settings));
    } catch (SettingsException e) {
      return SettingsOptions.refuse(e);
    }
    Thread.currentThread().join();
    return STAYS;
  }
}
