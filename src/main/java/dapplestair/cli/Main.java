package dapplestair.cli;

import dapplestair.client.ClusterCommands;
import dapplestair.client.ContextCommand;
import dapplestair.client.JobCommand;
import dapplestair.client.MachineCommand;
import dapplestair.keys.KeysCommand;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point. */
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

  /** Runs a command; the exit code is 2 for wrong usage or settings. */
  public static void main(String[] args) {
    Logging.begin(System.getenv());
    int code = commands(args).execute(args);
    if (code != ControllerCommand.STAYS) {
      System.exit(code);
    }
  }

  /**
   * The commands. A controller starts on a small machine: it does not load those that are not for
   * it.
   */
  static CommandLine commands(String... args) {
    CommandLine all = new CommandLine(new Main());
    if (args.length > 0 && args[0].equals("controller")) {
      return all.addSubcommand(new ControllerCommand());
    }
    if (args.length > 0 && args[0].equals("rehearse")) {
      return all.addSubcommand(new RehearseCommand());
    }
    return all.addSubcommand(new DaemonCommand())
        .addSubcommand(new EmulateCommand())
        .addSubcommand(new ControllerCommand())
        .addSubcommand(new CheckConfigCommand())
        .addSubcommand(new JobCommand())
        .addSubcommand(new MachineCommand())
        .addSubcommand(new ClusterCommands.Team())
        .addSubcommand(new ClusterCommands.Plan())
        .addSubcommand(new ClusterCommands.Event())
        .addSubcommand(new ClusterCommands.Status())
        .addSubcommand(new ContextCommand())
        .addSubcommand(new KeysCommand())
        .addSubcommand(new AutoComplete.GenerateCompletion());
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
