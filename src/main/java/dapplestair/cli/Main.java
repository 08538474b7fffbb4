package dapplestair.cli;

import dapplestair.client.ClusterCommands;
import dapplestair.client.ContextCommand;
import dapplestair.client.JobCommand;
import dapplestair.client.MachineCommand;
import dapplestair.client.ReplaceCommand;
import dapplestair.keys.KeysCommand;
import java.net.BindException;
import java.util.List;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the {@code dapplestair} command line. */
@Command(
    name = "dapplestair",
    mixinStandardHelpOptions = true,
    version = "dapplestair 0.2.0",
    description = "A cluster scheduler: its controllers, a daemon for one machine, and the client.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:all is well",
      "1:an unexpected failure",
      "2:wrong usage, or settings that cannot be used",
      "3:the service cannot be reached or is restarting",
      "4:no such thing",
      "5:refused"
    })
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs a command; the exit code is 2 for wrong usage or unusable settings. */
  public static void main(String[] args) {
    Logging.configure(System.getenv());
    int exitCode =
        createCommandLine(args).setExecutionExceptionHandler(Main::handleFailure).execute(args);
    if (exitCode != ControllerCommand.KEEP_RUNNING) {
      System.exit(exitCode);
    }
  }

  /**
   * Reports a failure to bind in one line without a stack trace: an address in use is the caller's
   * mistake. Rethrows any other exception.
   */
  private static int handleFailure(
      Exception e, CommandLine commandLine, CommandLine.ParseResult parsed) throws Exception {
    if (e instanceof BindException) {
      commandLine.getErr().println("dapplestair: cannot listen: " + e.getMessage());
      return 1;
    }
    throw e;
  }

  private static final List<String> COMMAND_NAMES =
      List.of(
          "daemon",
          "emulate",
          "controller",
          "check-config",
          "job",
          "machine",
          "replace",
          "team",
          "zone",
          "plan",
          "event",
          "status",
          "context",
          "keys",
          "rehearse");

  private static Object createCommand(String name) {
    return switch (name) {
      case "daemon" -> new DaemonCommand();
      case "emulate" -> new EmulateCommand();
      case "controller" -> new ControllerCommand();
      case "check-config" -> new CheckConfigCommand();
      case "job" -> new JobCommand();
      case "machine" -> new MachineCommand();
      case "replace" -> new ReplaceCommand();
      case "zone" -> new ClusterCommands.ZoneCommand();
      case "team" -> new ClusterCommands.TeamCommand();
      case "plan" -> new ClusterCommands.PlanCommand();
      case "event" -> new ClusterCommands.EventCommand();
      case "status" -> new ClusterCommands.StatusCommand();
      case "context" -> new ContextCommand();
      case "keys" -> new KeysCommand();
      case "rehearse" -> new RehearseCommand();
      default -> null;
    };
  }

  /**
   * Returns the root command with only the requested subcommand, or with all of them if none
   * matches. Loading a command's class and reading its annotations takes time, of which a
   * controller on a small machine has little.
   */
  static CommandLine createCommandLine(String... args) {
    CommandLine root = new CommandLine(new Main());
    Object requestedCommand = args.length > 0 ? createCommand(args[0]) : null;
    if (requestedCommand != null) {
      return root.addSubcommand(requestedCommand);
    }
    COMMAND_NAMES.forEach(name -> root.addSubcommand(createCommand(name)));
    return root.addSubcommand(new AutoComplete.GenerateCompletion())
        .addSubcommand(new CommandLine.HelpCommand());
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
