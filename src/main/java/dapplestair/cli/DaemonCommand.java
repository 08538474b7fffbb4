package dapplestair.cli;

import dapplestair.daemon.ControllerRegistration;
import dapplestair.daemon.DaemonSettings;
import dapplestair.daemon.Emulation;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.OperatorSettingsLoader;
import dapplestair.settings.Settings.Address;
import dapplestair.settings.SettingsException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs one controller on this machine, together with emulated external services. */
@Command(
    name = "daemon",
    mixinStandardHelpOptions = true,
    description = {
      "Run a whole scheduler on this machine: one controller, and emulated stand-ins of state"
          + " service, cloud and workers.",
      "A task of an emulated machine runs for a time, no program."
    },
    footer = {
      "",
      "Examples:",
      "  dapplestair daemon",
      "  dapplestair daemon --config deploy/daemon.toml --listen 127.0.0.1:0 --admin 127.0.0.1:0",
      "  dapplestair daemon --outside 127.0.0.1:8082     # the cluster outlives this process"
    })
final class DaemonCommand implements Callable<Integer> {
  private static final long READY_WARNING_INTERVAL_MS = 60_000;

  @Mixin private EmulatorOptions emulatorOptions;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "operators' own settings, protobuf text format")
  private Path operatorFile;

  @Option(names = "--listen", paramLabel = "HOST:PORT", description = "where users are served")
  private String userListen;

  @Option(names = "--admin", paramLabel = "HOST:PORT", description = "where operators are served")
  private String adminListen;

  @Option(
      names = "--outside",
      paramLabel = "HOST:PORT",
      description = "a running `dapplestair emulate` to use instead of stand-ins of its own")
  private String outsideOption;

  @Override
  public Integer call() throws Exception {
    try {
      DaemonSettings settings = emulatorOptions.settings();
      Address userAddress = EmulateCommand.addressOption("--listen", userListen, settings.listen());
      Address adminAddress = EmulateCommand.addressOption("--admin", adminListen, settings.admin());
      OperatorSettings operatorSettings =
          SettingsOptions.operatorSettings(
              operatorFile, settings.controllerSettings(userAddress, ""));
      // Without an admin section in the operators' file, everybody on this machine has access.
      if (operatorSettings.admin() == null) {
        operatorSettings =
            operatorSettings.withAdmin(OperatorSettings.Admin.withoutAuthentication(adminAddress));
        OperatorSettingsLoader.checkAdmin(operatorSettings.admin());
      }
      return run(settings, operatorSettings, userAddress);
    } catch (SettingsException e) {
      return SettingsOptions.reportUnusable(e);
    }
  }

  private int run(DaemonSettings settings, OperatorSettings operatorSettings, Address userAddress)
      throws Exception {
    Emulation emulation = null;
    String outsideEndpoint = outsideOption;
    if (outsideOption == null) {
      emulation = new Emulation(settings);
      outsideEndpoint = "127.0.0.1:" + emulation.start(new Address("127.0.0.1", 0));
    } else if (Address.parse(outsideOption) == null) {
      throw new SettingsException("--outside = " + outsideOption + ": must be host:port");
    }
    ControllerServer server =
        ControllerServer.start(
            settings.controllerSettings(userAddress, outsideEndpoint), operatorSettings);
    ShutdownHook.onSignal(server::stop);
    String userEndpoint = userAddress.host() + ":" + server.userPort();
    ControllerRegistration.registerPeriodically(server.loop(), outsideEndpoint, userEndpoint);
    while (!server.awaitServing(READY_WARNING_INTERVAL_MS)) {
      System.err.println(
          "dapplestair: still waiting for state service and cloud at " + outsideEndpoint);
    }
    System.out.println(
        "ready users="
            + userEndpoint
            + " admin="
            + operatorSettings.admin().listen().host()
            + ":"
            + server.adminPort());
    Thread.currentThread().join();
    return ControllerCommand.KEEP_RUNNING;
  }
}
