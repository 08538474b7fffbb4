package dapplestair.cli;

import dapplestair.client.ClusterCommands;
import dapplestair.client.ContextCommand;
import dapplestair.client.JobCommand;
import dapplestair.client.MachineCommand;
import dapplestair.keys.KeysCommand;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
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

  private static Map<String, Supplier<Object>> all() {
    Map<String, Supplier<Object>> out = new LinkedHashMap<>();
    out.put("daemon", DaemonCommand::new);
    out.put("emulate", EmulateCommand::new);
    out.put("controller", ControllerCommand::new);
    out.put("check-config", CheckConfigCommand::new);
    out.put("job", JobCommand::new);
    out.put("machine", MachineCommand::new);
    out.put("team", ClusterCommands.Team::new);
    out.put("plan", ClusterCommands.Plan::new);
    out.put("event", ClusterCommands.Event::new);
    out.put("status", ClusterCommands.Status::new);
    out.put("context", ContextCommand::new);
    out.put("keys", KeysCommand::new);
    out.put("rehearse", RehearseCommand::new);
    return out;
  }

  /**
   * The commands: the one that is asked for, or else all. To read the description of a command
   * takes time, of which a controller on a small machine has little.
   */
  static CommandLine commands(String... args) {
    CommandLine root = new CommandLine(new Main());
    Supplier<Object> one = args.length > 0 ? all().get(args[0]) : null;
    if (one != null) {
      return root.addSubcommand(one.get());
    }
    all().values().forEach(c -> root.addSubcommand(c.get()));
    return root.addSubcommand(new AutoComplete.GenerateCompletion())
        .addSubcommand(new CommandLine.HelpCommand());
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }
}
