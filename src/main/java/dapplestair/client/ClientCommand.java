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

/** A command that calls the service; a failure becomes one error message and an exit code. */
@Command(mixinStandardHelpOptions = true)
abstract class ClientCommand implements Callable<Integer> {
  private static final int PAGE_SIZE = 500;

  @Mixin CommonOptions common;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  abstract int run(ApiClient api, Output output) throws CommandException;

  @Override
  public final Integer call() {
    try {
      return run(common.createApiClient(), common.createOutput());
    } catch (CommandException failure) {
      spec.commandLine().getErr().println("dapplestair: " + failure.getMessage());
      spec.commandLine().getErr().flush();
      return failure.code();
    }
  }

  static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /**
   * Fetches pages until there are no more rows or the limit is reached.
   *
   * @param query query parameters that are appended to each page's request
   * @param limit maximum number of rows, 0 for all
   */
  static JsonNode fetchPages(ApiClient api, String path, String query, int limit)
      throws CommandException {
    List<JsonNode> rows = new ArrayList<>();
    String afterParameter = "";
    while (true) {
      int pageLimit = limit == 0 ? PAGE_SIZE : Math.min(PAGE_SIZE, limit - rows.size());
      JsonNode page = api.get(path + "?limit=" + pageLimit + query + afterParameter);
      page.path("rows").forEach(rows::add);
      boolean hasMore = page.path("next").isTextual() && (limit == 0 || rows.size() < limit);
      if (!hasMore) {
        return Output.mergePages(rows, page);
      }
      afterParameter = "&after=" + urlEncode(page.path("next").asText());
    }
  }
}
