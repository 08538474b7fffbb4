package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.filter.Schema;
import dapplestair.json.Json;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the commands on machines. */
@Command(
    name = "machine",
    mixinStandardHelpOptions = true,
    description = "Look at machines, empty them and take them back.",
    subcommands = {
      MachineCommand.ListMachines.class,
      MachineCommand.ShowMachine.class,
      MachineCommand.DrainMachines.class,
      MachineCommand.UndrainMachines.class,
      MachineCommand.ListDrains.class
    })
public final class MachineCommand {
  @Command(
      name = "list",
      description = "List machines.",
      footer = {"", "Example:  dapplestair machine list --where 'zone = a and state != up'"})
  static final class ListMachines extends ClientCommand {
    @Mixin private FilterOption filterOption;

    @Option(
        names = "--limit",
        paramLabel = "N",
        defaultValue = "0",
        description = "most rows, 0 for all (default: ${DEFAULT-VALUE})")
    private int limit;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printRows(
          fetchPages(
              api,
              "/v1/machines",
              filterOption.queryParameter(Schema.MACHINES),
              Math.max(0, limit)),
          "id",
          "type",
          "zone",
          "spot",
          "state",
          "cpus",
          "used",
          "tasks",
          "age",
          "silent");
      return 0;
    }
  }

  @Command(name = "show", description = "Show a machine with what runs on it.")
  static final class ShowMachine extends ClientCommand {
    @Parameters(paramLabel = "ID")
    private String id;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get("/v1/machines/" + urlEncode(id)));
      return 0;
    }
  }

  /** A command on machines selected by ID or by zone. */
  abstract static class MachineSelectionCommand extends ClientCommand {
    @Parameters(paramLabel = "ID", arity = "0..*")
    private List<String> ids = List.of();

    @Option(names = "--zone", paramLabel = "ZONE", description = "a whole zone")
    private List<String> zones = List.of();

    void applyToAll(ApiClient api, Output output, String verb, ObjectNode body)
        throws CommandException {
      if (ids.isEmpty() && zones.isEmpty()) {
        throw new CommandException(
            CommandException.WRONG_USAGE, "name a machine, or a zone with --zone");
      }
      for (String id : ids) {
        printResult(output, id, api.post("/v1/machines/" + urlEncode(id) + "/" + verb, body));
      }
      for (String zone : zones) {
        printResult(
            output, "zone " + zone, api.post("/v1/zones/" + urlEncode(zone) + "/" + verb, body));
      }
    }

    private static void printResult(Output output, String target, JsonNode answer) {
      boolean drained = answer.path("drained").asBoolean();
      String alreadySuffix = answer.path("changed").asBoolean() ? "" : " already";
      output.printLine(target + (drained ? " is drained" : " is not drained") + alreadySuffix);
    }
  }

  @Command(
      name = "drain",
      description = {
        "Empty machines: nothing new starts there, services move one replica at a time, work that"
            + " saves is saved, the rest ends by itself.",
        "A drained machine stays rented unless --return is given."
      },
      footer = {
        "",
        "Examples:",
        "  dapplestair machine drain n-000012 --why 'disk errors' --return",
        "  dapplestair machine drain --zone a --deadline 600"
      })
  static final class DrainMachines extends MachineSelectionCommand {
    @Option(names = "--why", paramLabel = "TEXT", description = "shown to whoever looks at it")
    private String why = "";

    @Option(names = "--return", description = "give the machine back to the cloud once it is empty")
    private boolean giveBack;

    @Option(
        names = "--deadline",
        paramLabel = "SECONDS",
        description = "stop arrays after so long; services are never stopped without a place to go")
    private double deadlineS;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      ObjectNode body = Json.object().put("why", why).put("return", giveBack);
      if (deadlineS > 0) {
        body.put("deadline_s", deadlineS);
      }
      applyToAll(api, output, "drain", body);
      return 0;
    }
  }

  @Command(name = "undrain", description = "Take drained machines or zones back into use.")
  static final class UndrainMachines extends MachineSelectionCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      applyToAll(api, output, "undrain", Json.object());
      return 0;
    }
  }

  @Command(name = "drains", description = "List what is drained, by whom, and what is left there.")
  static final class ListDrains extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printRows(
          api.get("/v1/drains"),
          "zone",
          "machine",
          "by",
          "at",
          "why",
          "return",
          "tasks_left",
          "replicas_left",
          "replicas_held",
          "because");
      return 0;
    }
  }
}
