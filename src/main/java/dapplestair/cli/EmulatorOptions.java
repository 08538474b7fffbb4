package dapplestair.cli;

import dapplestair.daemon.DaemonSettings;
import dapplestair.settings.SettingsException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The settings file option of {@code daemon} and {@code emulate}. */
final class EmulatorOptions {
  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "settings, TOML; all have defaults")
  private Path config;

  DaemonSettings settings() throws SettingsException {
    return config == null ? DaemonSettings.defaults() : DaemonSettings.load(config);
  }
}
