package dapplestair.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** What all commands of the client understand. */
final class CommonOptions {
  private static final String USUAL = "http://127.0.0.1:8081";
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)?");

  /** Forms of output. */
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
  private OutputFormat form;

  @Option(names = "--no-color", description = "plain tables")
  private boolean noColor;

  @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
  private CommandLine.Model.CommandSpec spec;

  Output output() {
    boolean terminal = System.console() != null;
    boolean color = terminal && !noColor && System.getenv("NO_COLOR") == null;
    return new Output(spec.commandLine().getOut(), form, color, width(terminal));
  }

  private static int width(boolean terminal) {
    try {
      return Math.max(40, Integer.parseInt(System.getenv().getOrDefault("COLUMNS", "")));
    } catch (NumberFormatException e) {
      return terminal ? 120 : Integer.MAX_VALUE;
    }
  }

  boolean terminal() {
    return System.console() != null && form == OutputFormat.table;
  }

  long timeoutMs() throws CommandException {
    Matcher matcher = DURATION.matcher(timeout);
    if (!matcher.matches()) {
      throw new CommandException(
          CommandException.WRONG_USAGE, "--timeout: " + timeout + " is no time such as 5s");
    }
    double n = Double.parseDouble(matcher.group(1));
    String unit = matcher.group(2) == null ? "s" : matcher.group(2);
    return Math.max(1, Math.round(n * (unit.equals("ms") ? 1 : unit.equals("s") ? 1000 : 60_000)));
  }

  ApiClient api() throws CommandException {
    return new ApiClient(resolved(System.getenv()), timeoutMs());
  }

  /** From --endpoint, then --context, the environment, the current context, this machine. */
  private Contexts.Context resolved(Map<String, String> env) throws CommandException {
    Contexts.Context named = context == null ? null : Contexts.load(env).context(context);
    String token = env.get("DAPPLESTAIR_TOKEN");
    if (named == null && endpoints.isEmpty()) {
      String given = env.get("DAPPLESTAIR_ENDPOINT");
      if (given != null && !given.isBlank()) {
        return new Contexts.Context(List.of(given.split(",")), token, null, null, null);
      }
      Contexts all = Contexts.load(env);
      if (all.current() != null) {
        named = all.context(all.current());
      }
    }
    if (named == null) {
      List<String> to = endpoints.isEmpty() ? List.of(USUAL) : endpoints;
      return new Contexts.Context(to, token, null, null, null);
    }
    return new Contexts.Context(
        endpoints.isEmpty() ? named.endpoints() : endpoints,
        token == null ? named.token() : token,
        named.authority(),
        named.certificate(),
        named.key());
  }
}
