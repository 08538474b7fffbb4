package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.filter.Schema;
import dapplestair.json.Json;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Commands on teams, zones, the plan, events and the service itself. */
public final class ClusterCommands {
  private ClusterCommands() {}

  /** Groups the commands on teams. */
  @Command(
      name = "team",
      mixinStandardHelpOptions = true,
      description = "Look at teams.",
      subcommands = ListTeams.class)
  public static final class TeamCommand {}

  @Command(
      name = "list",
      description =
          "List teams: CPUs guaranteed, allowed, used, borrowed, lent and waited for;"
              + " replicas out, and how many may be.")
  static final class ListTeams extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printRows(
          api.get("/v1/teams"),
          "team",
          "guarantee",
          "limit",
          "use",
          "borrowed",
          "lent",
          "waiting",
          "out",
          "out_allowed");
      return 0;
    }
  }

  /** Groups the commands on zones. */
  @Command(
      name = "zone",
      mixinStandardHelpOptions = true,
      description = "Look at zones.",
      subcommands = ListZones.class)
  public static final class ZoneCommand {}

  @Command(
      name = "list",
      description = "List zones: steady, cut, lost or returning, and what is there.")
  static final class ListZones extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printRows(
          api.get("/v1/zones"),
          "zone",
          "state",
          "since",
          "cuts",
          "steady_in_s",
          "machines",
          "unheard",
          "replicas",
          "tasks",
          "not_proved");
      return 0;
    }
  }

  /** Groups the commands on the autoscaler's plan. */
  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description = "Look at the plan.",
      subcommands = ShowPlan.class)
  public static final class PlanCommand {}

  @Command(name = "show", description = "Show the plan applied last, with its three costs.")
  static final class ShowPlan extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get("/v1/plan"));
      return 0;
    }
  }

  /** Prints which controller leads and the state of the service. */
  @Command(
      name = "status",
      description = "Say who leads, which controllers live, and what waits for the state service.")
  public static final class StatusCommand extends ClientCommand {
    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get("/v1/status"));
      return 0;
    }
  }

  /** Groups the commands on events. */
  @Command(
      name = "event",
      mixinStandardHelpOptions = true,
      description = "Look at what happened.",
      subcommands = ListEvents.class)
  public static final class EventCommand {}

  @Command(
      name = "list",
      description = "List the last events of the leader, or follow them.",
      footer = {"", "Example:  dapplestair event list --follow --where 'kind in (lost, stopping)'"})
  static final class ListEvents extends ClientCommand {
    private static final long POLL_WAIT_MS = 10_000;

    @Mixin private FilterOption filterOption;

    @Option(
        names = "--limit",
        paramLabel = "N",
        defaultValue = "100",
        description = "the last so many (default: ${DEFAULT-VALUE})")
    private int limit;

    @Option(names = "--follow", description = "go on with what happens, until interrupted")
    private boolean follow;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      String path = "/v1/events?limit=500" + filterOption.queryParameter(Schema.EVENTS);
      List<JsonNode> rows = new ArrayList<>();
      JsonNode page = api.get(path);
      while (!page.path("rows").isEmpty()) {
        page.path("rows").forEach(rows::add);
        page = api.get(path + cursorParameters(page));
      }
      List<JsonNode> lastRows =
          rows.subList(Math.max(0, rows.size() - Math.max(0, limit)), rows.size());
      printEvents(output, lastRows, page);
      while (follow) {
        page = api.poll(path + "&waitMs=" + POLL_WAIT_MS + cursorParameters(page), POLL_WAIT_MS);
        List<JsonNode> newRows = new ArrayList<>();
        page.path("rows").forEach(newRows::add);
        if (!newRows.isEmpty()) {
          printEvents(output, newRows, page);
        }
      }
      return 0;
    }

    /**
     * Returns the parameters that continue after a page. They name the log, since the numbers of
     * its events may be those of a later one if the records are lost; a service of the former
     * version names none.
     */
    private static String cursorParameters(JsonNode page) {
      String log = Json.text(page, "log");
      return "&after=" + page.path("next").asText("0") + (log == null ? "" : "&log=" + log);
    }

    private static void printEvents(Output output, List<JsonNode> rows, JsonNode page) {
      output.printRows(
          Output.mergePages(rows, page),
          "at",
          "kind",
          "job",
          "task",
          "machine",
          "zone",
          "team",
          "reason",
          "count");
    }
  }
}
