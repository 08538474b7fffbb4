package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Follows jobs until all of them are done or aborted. */
@Command(
    name = "watch",
    description = {
      "Follow jobs until all of them are over.",
      "Exit code 0 when all are done, 5 when one was aborted, 3 when the service cannot be reached"
          + " for the timeout."
    })
final class WatchCommand extends ClientCommand {
  private static final long POLL_INTERVAL_MS = 500;
  private static final int BAR_WIDTH = 30;

  @Parameters(paramLabel = "REF", arity = "1..*")
  private List<String> refs;

  @Override
  int run(ApiClient api, Output output) throws CommandException {
    Map<String, String> lastLines = new LinkedHashMap<>();
    Map<String, Long> taskCounts = new LinkedHashMap<>();
    boolean aborted = false;
    while (true) {
      boolean allFinished = true;
      for (String ref : refs) {
        String previousLine = lastLines.get(ref);
        if (isFinished(previousLine)) {
          continue;
        }
        JsonNode job = api.get("/submissions/" + urlEncode(ref));
        String line = statusLine(api, ref, job, taskCounts);
        if (!line.equals(previousLine)) {
          lastLines.put(ref, line);
          printStatus(output, line);
        }
        aborted |= job.path("status").asText().equals("aborted");
        allFinished &= isFinished(line);
      }
      if (allFinished) {
        return aborted ? CommandException.REFUSED : 0;
      }
      sleepUntilNextPoll();
    }
  }

  private static boolean isFinished(String line) {
    return line != null && (line.endsWith(" done") || line.endsWith(" aborted"));
  }

  private String statusLine(ApiClient api, String ref, JsonNode job, Map<String, Long> taskCounts)
      throws CommandException {
    String status = job.path("status").asText();
    if (!job.has("done")) {
      return ref + " " + status;
    }
    if (!taskCounts.containsKey(ref)) {
      taskCounts.put(ref, api.get("/v1/jobs/" + urlEncode(ref)).path("tasks").asLong(0));
    }
    long taskCount = taskCounts.get(ref);
    String counts =
        "%s %s, %d of %d done, %d running"
            .formatted(
                ref, status, job.path("done").asLong(), taskCount, job.path("running").asLong());
    if (!common.isTerminal() || taskCount == 0) {
      return counts;
    }
    int filledWidth = (int) (BAR_WIDTH * job.path("done").asLong() / taskCount);
    return "[" + "#".repeat(filledWidth) + ".".repeat(BAR_WIDTH - filledWidth) + "] " + counts;
  }

  /**
   * Prints a job's status. On a terminal, the status of a single job overwrites its line; otherwise
   * each change is printed on a new line.
   */
  private void printStatus(Output output, String line) {
    if (common.isTerminal() && refs.size() == 1 && !isFinished(line)) {
      spec.commandLine().getOut().print("\r\u001b[K" + line);
      spec.commandLine().getOut().flush();
    } else {
      output.printLine((common.isTerminal() && refs.size() == 1 ? "\r\u001b[K" : "") + line);
    }
  }

  private static void sleepUntilNextPoll() throws CommandException {
    try {
      Thread.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(1, "interrupted");
    }
  }
}
