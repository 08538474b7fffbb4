package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.filter.Schema;
import dapplestair.json.Json;
import dapplestair.work.Submission;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the commands on jobs. */
@Command(
    name = "job",
    mixinStandardHelpOptions = true,
    description = "Submit, look at and cancel jobs.",
    subcommands = {
      JobCommand.Submit.class,
      JobCommand.ListJobs.class,
      JobCommand.ShowJob.class,
      JobCommand.Why.class,
      WatchCommand.class,
      JobCommand.Cancel.class
    })
public final class JobCommand {
  @Command(
      name = "submit",
      description = "Submit a job and print its ref.",
      footer = {
        "",
        "The file holds one JSON object as in POST /submissions; without a ref one is made.",
        "Example:  dapplestair job submit deploy/examples/array.json"
      })
  static final class Submit extends ClientCommand {
    private static final long MAX_SUBMISSION_BYTES = 64 * 1024;

    @Parameters(paramLabel = "FILE", description = "a file, or - for standard input")
    private String file;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      ObjectNode body = readSubmission();
      String ref = body.path("ref").asText();
      try {
        JsonNode answer = api.post("/submissions", body);
        if (answer.has("ref")) {
          output.printLine(ref);
        }
        return 0;
      } catch (CommandException failure) {
        if (failure.code() != CommandException.UNREACHABLE) {
          throw failure;
        }
        throw new CommandException(
            failure.code(),
            failure.getMessage()
                + "\nwhether "
                + ref
                + " was accepted is not known; submitting it again under this ref does no harm");
      }
    }

    private ObjectNode readSubmission() throws CommandException {
      byte[] bytes;
      try {
        bytes = file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
      } catch (IOException e) {
        throw new CommandException(CommandException.WRONG_USAGE, file + ": cannot be read");
      }
      if (bytes.length > MAX_SUBMISSION_BYTES) {
        throw new CommandException(
            CommandException.WRONG_USAGE, file + ": over 64 KiB, more than a submission may have");
      }
      if (!(Json.parse(bytes) instanceof ObjectNode body)) {
        throw new CommandException(CommandException.WRONG_USAGE, file + ": not a JSON object");
      }
      if (!body.hasNonNull("ref")) {
        // Fifteen random digits, so that refs created at the same moment differ.
        body.put(
            "ref",
            "cli-%015d".formatted(ThreadLocalRandom.current().nextLong(1_000_000_000_000_000L)));
      }
      try {
        Submission submission = Submission.parse(body);
        warnAboutUnknownFields(body, submission);
      } catch (Submission.InvalidSubmissionException e) {
        throw new CommandException(CommandException.WRONG_USAGE, file + ": " + e.getMessage());
      }
      return body;
    }

    /** Warns of unknown fields: the service ignores them, but their author expected an effect. */
    private void warnAboutUnknownFields(JsonNode body, Submission submission) {
      Set<String> unknownFields = new TreeSet<>();
      Set<String> knownFields = new TreeSet<>(Set.of("hulls", "basin", "dueS"));
      submission.toJson().fieldNames().forEachRemaining(knownFields::add);
      for (Iterator<String> it = body.fieldNames(); it.hasNext(); ) {
        String name = it.next();
        if (!knownFields.contains(name)) {
          unknownFields.add(name);
        }
      }
      if (!unknownFields.isEmpty()) {
        spec.commandLine()
            .getErr()
            .println("dapplestair: ignored, since unknown: " + unknownFields);
      }
    }
  }

  @Command(
      name = "list",
      description = "List jobs in the order of their refs.",
      footer = {
        "",
        "Examples:",
        "  dapplestair job list --where 'team = \"default\" and waiting > 30s'",
        "  dapplestair job list --over --limit 20 -o csv"
      })
  static final class ListJobs extends ClientCommand {
    @Mixin private FilterOption filterOption;

    @Option(
        names = "--limit",
        paramLabel = "N",
        defaultValue = "100",
        description = "most rows, 0 for all (default: ${DEFAULT-VALUE})")
    private int limit;

    @Option(names = "--over", description = "those that are done or aborted instead")
    private boolean over;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      String query = (over ? "&scope=over" : "") + filterOption.queryParameter(Schema.JOBS);
      JsonNode answer = fetchPages(api, "/v1/jobs", query, Math.max(0, limit));
      output.printRows(
          answer,
          "ref",
          "status",
          "class",
          "team",
          "rank",
          "tasks",
          "done",
          "running",
          "waiting_tasks",
          "waiting",
          "age");
      return 0;
    }
  }

  @Command(name = "show", description = "Show a job with its tasks, attempts and machines.")
  static final class ShowJob extends ClientCommand {
    @Parameters(paramLabel = "REF")
    private String ref;

    @Option(names = "--from", paramLabel = "STEP", description = "attempts from this step on")
    private int fromStep;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get("/v1/jobs/" + urlEncode(ref) + "?from=" + Math.max(0, fromStep)));
      return 0;
    }
  }

  @Command(name = "why", description = "Say why a job waits, and when it is expected to start.")
  static final class Why extends ClientCommand {
    @Parameters(paramLabel = "REF")
    private String ref;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      output.printObject(api.get("/v1/jobs/" + urlEncode(ref) + "/why"));
      return 0;
    }
  }

  @Command(name = "withdraw", description = "Cancel jobs; prints how each of them ended.")
  static final class Cancel extends ClientCommand {
    @Parameters(paramLabel = "REF", arity = "1..*")
    private List<String> refs;

    @Override
    int run(ApiClient api, Output output) throws CommandException {
      for (String ref : refs) {
        JsonNode answer = api.post("/submissions/" + urlEncode(ref) + "/withdraw", Json.object());
        output.printLine(ref + " " + answer.path("status").asText());
      }
      return 0;
    }
  }
}
