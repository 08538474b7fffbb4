package dapplestair.cli;

import dapplestair.settings.CalendarsLoader;
import dapplestair.settings.DisruptionBudgetsLoader;
import dapplestair.settings.LanesLoader;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.OperatorSettingsLoader;
import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import dapplestair.settings.SettingsLoader;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The options for the platform's settings file and the operators' settings file. */
final class SettingsOptions {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "the platform's settings, TOML")
  private Path settingsFile;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "operators' own settings, protobuf text format")
  private Path operatorFile;

  Settings settings() throws SettingsException {
    return SettingsLoader.load(settingsFile);
  }

  OperatorSettings operatorSettings(Settings settings) throws SettingsException {
    return operatorSettings(operatorFile, settings);
  }

  /**
   * Loads the operators' file and checks it against the platform's settings.
   *
   * @param operatorFile null for the default settings
   */
  static OperatorSettings operatorSettings(Path operatorFile, Settings settings)
      throws SettingsException {
    if (operatorFile == null) {
      return OperatorSettings.defaults();
    }
    OperatorSettings operatorSettings = OperatorSettingsLoader.load(operatorFile);
    DisruptionBudgetsLoader.checkTeams(operatorFile, operatorSettings.budgets(), settings);
    LanesLoader.checkTeams(operatorFile, operatorSettings.lanes(), settings);
    CalendarsLoader.checkTeams(operatorFile, operatorSettings.calendars(), settings);
    return operatorSettings;
  }

  /** Prints one line about the fault and returns the exit code for unusable settings. */
  static int reportUnusable(SettingsException e) {
    System.err.println("dapplestair: " + e.getMessage());
    return 2;
  }
}
