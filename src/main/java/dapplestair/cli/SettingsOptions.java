package dapplestair.cli;

import dapplestair.settings.Operator;
import dapplestair.settings.OperatorLoader;
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

  Operator operator() throws SettingsException {
    return operator == null ? Operator.defaults() : OperatorLoader.load(operator);
  }

  /** One clear line, and the code for unusable settings. */
  static int refuse(SettingsException e) {
    System.err.println("dapplestair: " + e.getMessage());
    return 2;
  }
}
