package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the commands that replace machines in steps. */
@Command(
    name = "replace",
    mixinStandardHelpOptions = true,
    description = "Replace machines by new ones, a step at a time, within the teams' budgets.",
    subcommands = {
      ReplaceCommand.Start.class,
      ReplaceCommand.ListReplacements.class,
      ReplaceCommand.ShowReplacement.class,
      ReplaceCommand.Pause.class,
      ReplaceCommand.Resume.class,
      ReplaceCommand.Abort.class
    })
public final class ReplaceCommand {
  private static final String PATH = "/v1/replacements";

  /** A command on a replacement order, which is identified by its name. */
  abstract static class NamedOrderCommand extends ClientCommand {
    @Parameters(paramLabel = "NAME")
    String name;

    void sendOrder(ApiClient api, Output output, String verb, ObjectNode body)
        throws CommandException {
      JsonNode answer = api.post(PATH + "/" + urlEncode(name) + "/" + verb, body);
      String unchangedSuffix = answer.path("changed").asBoolean() ? "" : ", as before";
      output.printLine(
          "replacement " + name + ": " + answer.path("state").asText() + unchangedSuffix);
    }
  }

  @Command(
      name = "start",
      description = {
        "Replace the machines selected: new ones first, then the old are emptied and returned.",
        "The same order given again is the same order."
      },
      footer = {
        "",
        "Examples:",
        "  dapplestair replace start tonight --older 86400 --step-ratio 0.05 --beyond 3",
        "  dapplestair replace start zone-a --zone a --steady --step 2 --deadline 900"
      })
  static final class Start extends NamedOrderCommand {
    @Option(names = "--zone", paramLabel = "ZONE", description = "only machines of this zone")
    private String zone;

    @Option(names = "--type", paramLabel = "TYPE", description = "only machines of this type")
    private String type;

    @Option(names = "--spot", description = "only spot machines")
    private boolean spot;

    @Option(names = "--steady", description = "only steady machines")
    private boolean steady;

    @Option(names = "--older", paramLabel = "SECONDS", description = "only those rented before")
    private Double olderS;

    @Option(names = "--machine", paramLabel = "ID", description = "only these; repeat it")
    private List<String> machineIds = List.of();

    @Option(names = "--step", paramLabel = "N", description = "machines at a time (default: 1)")
    private Integer stepSize;

    @Option(names = "--step-ratio", paramLabel = "R", description = "the same, as a ratio to all")
    private Double stepRatio;

    @Option(
        names = "--beyond",
        paramLabel = "N",
        description = "new machines that may be up beyond the old (default: none)")
    private Integer maxSurge;

    @Option(names = "--watch", paramLabel = "SECONDS", description = "watch each step for so long")
    private Double watchS;

    @Option(
        names = "--deadline",
        paramLabel = "SECONDS",
        description =
            "stop work that does not save after so long in a step, as budgets allow (default: wait)")
    private Double deadlineS;

    @Option(
        names = "--slower",
        paramLabel = "R",
        description = "pause if the new are slower than the old by this ratio (default: 1.5)")
    private Double maxSlowdownRatio;

    @Option(names = "--why", paramLabel = "TEXT", description = "shown to whoever looks at it")
    private String why;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      if (spot && steady) {
        throw new CommandException(
            CommandException.WRONG_USAGE, "--spot and --steady leave no machine");
      }
      ObjectNode body = Json.object();
      body.put("zone", zone).put("type", type).put("why", why);
      body.put("older_s", olderS).put("step", stepSize).put("step_ratio", stepRatio);
      body.put("beyond", maxSurge).put("watch_s", watchS).put("deadline_s", deadlineS);
      body.put("slower", maxSlowdownRatio);
      if (spot || steady) {
        body.put("spot", spot);
      }
      if (!machineIds.isEmpty()) {
        machineIds.forEach(body.putArray("machines")::add);
      }
      body.properties().removeIf(e -> e.getValue().isNull());
      sendOrder(api, output, "start", body);
      return 0;
    }
  }

  @Command(name = "list", description = "List replacements, and how far they are.")
  static final class ListReplacements extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printRows(
          api.get(PATH),
          "name",
          "state",
          "replaced",
          "total",
          "steps",
          "expected_end_s",
          "paused",
          "goes_on",
          "remark");
      return 0;
    }
  }

  @Command(name = "show", description = "Show one replacement.")
  static final class ShowReplacement extends NamedOrderCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get(PATH + "/" + urlEncode(name)));
      return 0;
    }
  }

  @Command(name = "pause", description = "Stop after what is under way; machines go back into use.")
  static final class Pause extends NamedOrderCommand {
    @Option(names = "--why", paramLabel = "TEXT", description = "shown to whoever looks at it")
    private String why = "";

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      sendOrder(api, output, "pause", Json.object().put("why", why));
      return 0;
    }
  }

  @Command(name = "resume", description = "Go on with a replacement that pauses.")
  static final class Resume extends NamedOrderCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      sendOrder(api, output, "resume", Json.object());
      return 0;
    }
  }

  @Command(name = "abort", description = "End a replacement; what is still old stays in use.")
  static final class Abort extends NamedOrderCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      sendOrder(api, output, "abort", Json.object());
      return 0;
    }
  }
}
