package dapplestair.cli;

import dapplestair.daemon.DaemonSettings;
import dapplestair.daemon.Emulation;
import dapplestair.settings.Settings.Address;
import dapplestair.settings.SettingsException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Runs only the emulated state service, cloud and workers, so that the cluster outlives a daemon.
 */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description =
        "Run emulated stand-ins of state service, cloud and workers, without a scheduler.",
    footer = {
      "",
      "Example:",
      "  dapplestair emulate --listen 127.0.0.1:8082 &",
      "  dapplestair daemon --outside 127.0.0.1:8082"
    })
final class EmulateCommand implements Callable<Integer> {
  @Mixin private EmulatorOptions emulatorOptions;

  @Option(names = "--listen", paramLabel = "HOST:PORT", description = "where they are served")
  private String listen;

  @Override
  public Integer call() throws Exception {
    try {
      DaemonSettings settings = emulatorOptions.settings();
      Address listenAddress = addressOption("--listen", listen, settings.outside());
      Emulation emulation = new Emulation(settings);
      int port = emulation.start(listenAddress);
      ShutdownHook.onSignal(emulation::close);
      System.out.println("ready outside=" + listenAddress.host() + ":" + port);
    } catch (SettingsException e) {
      return SettingsOptions.reportUnusable(e);
    }
    Thread.currentThread().join();
    return ControllerCommand.KEEP_RUNNING;
  }

  /** Returns the address given on the command line, or the address of the settings if none is. */
  static Address addressOption(String option, String optionValue, Address defaultAddress)
      throws SettingsException {
    if (optionValue == null) {
      return defaultAddress;
    }
    Address address = Address.parse(optionValue);
    if (address == null) {
      throw new SettingsException(option + " = " + optionValue + ": must be host:port");
    }
    return address;
  }
}
