package dapplestair.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** Options that all client commands accept. */
final class CommonOptions {
  private static final String DEFAULT_ENDPOINT = "http://127.0.0.1:8081";
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)?");

  /** Output formats. */
  enum OutputFormat {
    table,
    json,
    csv
  }

  @Option(
      names = "--endpoint",
      paramLabel = "URL",
      description = "operators' address; several are tried in turn")
  private List<String> endpoints = new ArrayList<>();

  @Option(names = "--context", paramLabel = "NAME", description = "a context of client.toml")
  private String context;

  @Option(
      names = "--timeout",
      paramLabel = "TIME",
      defaultValue = "5s",
      description = "for the whole command, such as 800ms, 5s or 2m (default: ${DEFAULT-VALUE})")
  private String timeout;

  @Option(
      names = {"-o", "--output"},
      paramLabel = "FORM",
      defaultValue = "table",
      description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
  private OutputFormat outputFormat;

  @Option(names = "--no-color", description = "plain tables")
  private boolean noColor;

  @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
  private CommandLine.Model.CommandSpec spec;

  Output createOutput() {
    boolean isTerminal = System.console() != null;
    boolean useColor = isTerminal && !noColor && System.getenv("NO_COLOR") == null;
    return new Output(spec.commandLine().getOut(), outputFormat, useColor, outputWidth(isTerminal));
  }

  private static int outputWidth(boolean isTerminal) {
    try {
      return Math.max(40, Integer.parseInt(System.getenv().getOrDefault("COLUMNS", "")));
    } catch (NumberFormatException e) {
      return isTerminal ? 120 : Integer.MAX_VALUE;
    }
  }

  boolean isTerminal() {
    return System.console() != null && outputFormat == OutputFormat.table;
  }

  long timeoutMs() throws CommandException {
    Matcher matcher = DURATION.matcher(timeout);
    if (!matcher.matches()) {
      throw new CommandException(
          CommandException.WRONG_USAGE, "--timeout: " + timeout + " is no time such as 5s");
    }
    double amount = Double.parseDouble(matcher.group(1));
    String unit = matcher.group(2) == null ? "s" : matcher.group(2);
    return Math.max(
        1, Math.round(amount * (unit.equals("ms") ? 1 : unit.equals("s") ? 1000 : 60_000)));
  }

  ApiClient createApiClient() throws CommandException {
    return new ApiClient(resolveContext(System.getenv()), timeoutMs());
  }

  /**
   * Returns the endpoints and credentials to use. Endpoints come from the first of these that gives
   * them: {@code --endpoint}, {@code --context}, the environment, the current context, this
   * machine.
   */
  private Contexts.Context resolveContext(Map<String, String> env) throws CommandException {
    Contexts.Context namedContext = context == null ? null : Contexts.load(env).context(context);
    String token = env.get("DAPPLESTAIR_TOKEN");
    if (namedContext == null && endpoints.isEmpty()) {
      String endpointsFromEnv = env.get("DAPPLESTAIR_ENDPOINT");
      if (endpointsFromEnv != null && !endpointsFromEnv.isBlank()) {
        return new Contexts.Context(List.of(endpointsFromEnv.split(",")), token, null, null, null);
      }
      Contexts contexts = Contexts.load(env);
      if (contexts.currentName() != null) {
        namedContext = contexts.context(contexts.currentName());
      }
    }
    if (namedContext == null) {
      List<String> effectiveEndpoints = endpoints.isEmpty() ? List.of(DEFAULT_ENDPOINT) : endpoints;
      return new Contexts.Context(effectiveEndpoints, token, null, null, null);
    }
    return new Contexts.Context(
        endpoints.isEmpty() ? namedContext.endpoints() : endpoints,
        token == null ? namedContext.token() : token,
        namedContext.authority(),
        namedContext.certificate(),
        namedContext.key());
  }
}
