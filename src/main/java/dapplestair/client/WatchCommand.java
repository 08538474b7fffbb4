package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Follows jobs until all are over. */
@Command(
    name = "watch",
    description = {
      "Follow jobs until all of them are over.",
      "Exit code 0 when all are done, 5 when one was aborted, 3 when the service cannot be reached"
          + " for the timeout."
    })
final class WatchCommand extends ClientCommand {
  private static final long EVERY_MS = 500;
  private static final int BAR = 30;

  @Parameters(paramLabel = "REF", arity = "1..*")
  private List<String> refs;

  @Override
  int run(ApiClient api, Output out) throws CommandException {
    Map<String, String> last = new LinkedHashMap<>();
    Map<String, Long> tasks = new LinkedHashMap<>();
    boolean aborted = false;
    while (true) {
      boolean allOver = true;
      for (String ref : refs) {
        String before = last.get(ref);
        if (over(before)) {
          continue;
        }
        JsonNode node = api.get("/submissions/" + encoded(ref));
        String line = line(api, ref, node, tasks);
        if (!line.equals(before)) {
          last.put(ref, line);
          show(out, line);
        }
        aborted |= node.path("status").asText().equals("aborted");
        allOver &= over(line);
      }
      if (allOver) {
        return aborted ? CommandException.REFUSED : 0;
      }
      pause();
    }
  }

  private static boolean over(String line) {
    return line != null && (line.endsWith(" done") || line.endsWith(" aborted"));
  }

  private String line(ApiClient api, String ref, JsonNode node, Map<String, Long> tasks)
      throws CommandException {
    String status = node.path("status").asText();
    if (!node.has("done")) {
      return ref + " " + status;
    }
    if (!tasks.containsKey(ref)) {
      tasks.put(ref, api.get("/v1/jobs/" + encoded(ref)).path("tasks").asLong(0));
    }
    long of = tasks.get(ref);
    String counts =
        "%s %s, %d of %d done, %d running"
            .formatted(ref, status, node.path("done").asLong(), of, node.path("running").asLong());
    if (!common.terminal() || of == 0) {
      return counts;
    }
    int full = (int) (BAR * node.path("done").asLong() / of);
    return "[" + "#".repeat(full) + ".".repeat(BAR - full) + "] " + counts;
  }

  /** On a terminal one job has one line that moves; elsewhere each change is a line. */
  private void show(Output out, String line) {
    if (common.terminal() && refs.size() == 1 && !over(line)) {
      spec.commandLine().getOut().print("\r\u001b[K" + line);
      spec.commandLine().getOut().flush();
    } else {
      out.say((common.terminal() && refs.size() == 1 ? "\r\u001b[K" : "") + line);
    }
  }

  private static void pause() throws CommandException {
    try {
      Thread.sleep(EVERY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(1, "interrupted");
    }
  }
}
