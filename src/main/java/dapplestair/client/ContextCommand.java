package dapplestair.client;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Groups the commands on the client's contexts. */
@Command(
    name = "context",
    mixinStandardHelpOptions = true,
    description = "Look at the contexts of client.toml, and choose the one in use.",
    subcommands = {ContextCommand.ListContexts.class, ContextCommand.UseContext.class})
public final class ContextCommand {
  /** A command that only reads or writes {@code client.toml} and does not call the service. */
  abstract static class LocalCommand implements Callable<Integer> {
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    abstract void run(Contexts contexts) throws CommandException;

    @Override
    public Integer call() {
      try {
        run(Contexts.load(System.getenv()));
        spec.commandLine().getOut().flush();
        return 0;
      } catch (CommandException failure) {
        spec.commandLine().getErr().println("dapplestair: " + failure.getMessage());
        return failure.code();
      }
    }
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "List contexts; * is in use.")
  static final class ListContexts extends LocalCommand {
    @Override
    void run(Contexts contexts) throws CommandException {
      for (Map.Entry<String, Contexts.Context> entry : contexts.byName().entrySet()) {
        String currentMark = entry.getKey().equals(contexts.currentName()) ? "* " : "  ";
        String endpoints = String.join(" ", entry.getValue().endpoints());
        spec.commandLine().getOut().println(currentMark + entry.getKey() + "  " + endpoints);
      }
    }
  }

  @Command(
      name = "use",
      mixinStandardHelpOptions = true,
      description = "Use a context from now on.")
  static final class UseContext extends LocalCommand {
    @Parameters(paramLabel = "NAME")
    private String name;

    @Override
    void run(Contexts contexts) throws CommandException {
      contexts.setCurrent(name);
    }
  }
}
