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

/** The two files that commands read. */
final class SettingsOptions {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "the platform's settings, TOML")
  private Path config;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "operators' own settings, protobuf text format")
  private Path operator;

  Settings settings() throws SettingsException {
    return SettingsLoader.load(config);
  }

  OperatorSettings operator(Settings settings) throws SettingsException {
    return operator(operator, settings);
  }

  /** The operators' file, if there is one, as far as it fits the platform's settings. */
  static OperatorSettings operator(Path file, Settings settings) throws SettingsException {
    if (file == null) {
      return OperatorSettings.defaults();
    }
    OperatorSettings read = OperatorSettingsLoader.load(file);
    DisruptionBudgetsLoader.checkTeams(file, read.budgets(), settings);
    LanesLoader.checkTeams(file, read.lanes(), settings);
    CalendarsLoader.checkTeams(file, read.calendars(), settings);
    return read;
  }

  /** One clear line, and the code for unusable settings. */
  static int refuse(SettingsException e) {
    System.err.println("dapplestair: " + e.getMessage());
    return 2;
  }
}
