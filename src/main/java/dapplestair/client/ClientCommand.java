package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** A command that asks the service; its failures become one message and an exit code. */
@Command(mixinStandardHelpOptions = true)
abstract class ClientCommand implements Callable<Integer> {
  private static final int PAGE = 500;

  @Mixin CommonOptions common;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  abstract int run(ApiClient api, Output out) throws CommandException;

  @Override
  public final Integer call() {
    try {
      return run(common.api(), common.output());
    } catch (CommandException f) {
      spec.commandLine().getErr().println("dapplestair: " + f.getMessage());
      spec.commandLine().getErr().flush();
      return f.code();
    }
  }

  static String encoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Reads page after page; {@code query} is added to each, {@code limit} 0 for all. */
  static JsonNode pages(ApiClient api, String path, String query, int limit)
      throws CommandException {
    List<JsonNode> rows = new ArrayList<>();
    String after = "";
    while (true) {
      int want = limit == 0 ? PAGE : Math.min(PAGE, limit - rows.size());
      JsonNode page = api.get(path + "?limit=" + want + query + after);
      page.path("rows").forEach(rows::add);
      boolean more = page.path("next").isTextual() && (limit == 0 || rows.size() < limit);
      if (!more) {
        return Output.gathered(rows, page);
      }
      after = "&after=" + encoded(page.path("next").asText());
    }
  }
}
