package dapplestair.cli;

import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Checks settings files and reports whether a controller could run with them. */
@Command(name = "check-config", description = "Check settings files and say what is wrong.")
final class CheckConfigCommand implements Callable<Integer> {
  @Mixin private SettingsOptions settingsOptions;

  @Override
  public Integer call() {
    try {
      Settings settings = settingsOptions.settings();
      settingsOptions.operatorSettings(settings);
      System.out.println("settings of " + settings.member() + " are good");
      return 0;
    } catch (SettingsException e) {
      return SettingsOptions.reportUnusable(e);
    }
  }
}
