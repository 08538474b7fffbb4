package dapplestair.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dapplestair.emulator.EmulatorSettings;
import dapplestair.json.Json;
import dapplestair.settings.Settings;
import dapplestair.settings.Settings.Address;
import dapplestair.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Settings of {@code daemon} and {@code emulate}. Every field has a default. Unlike in the
 * platform's file, an unknown field is rejected, since whoever wrote it expected an effect.
 *
 * @param listen address on which users and workers are served
 * @param admin address on which operators are served
 * @param outside address on which {@code emulate} serves the state service and the cloud
 * @param seed seed of the emulator's random numbers, 0 for a new seed at each start
 */
public record DaemonSettings(
    Address listen,
    Address admin,
    Address outside,
    long seed,
    EmulatorSettings emulatorSettings,
    Map<String, Settings.Team> teams,
    List<Settings.Objective> objectives,
    Settings.Workers workers,
    Settings.State state,
    Settings.Cloud cloud) {

  /** Member name of the only controller. */
  static final String MEMBER = "daemon";

  private static final double MAX_NUMBER = 1e6;

  /** Returns the settings that apply without a file. */
  public static DaemonSettings defaults() {
    try {
      return parse("defaults", Json.object());
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Loads a TOML file and checks it. */
  public static DaemonSettings load(Path path) throws SettingsException {
    try {
      return parse(path.toString(), new TomlMapper().readTree(Files.readString(path)));
    } catch (JsonProcessingException e) {
      throw new SettingsException(path + ": not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
  }

  /** Returns the controller's settings; all external services share one endpoint. */
  public Settings controllerSettings(Address userAddress, String outsideEndpoint) {
    return new Settings(
        MEMBER,
        emulatorSettings.zones().get(0),
        userAddress,
        new Address("127.0.0.1", 0),
        List.of(),
        outsideEndpoint,
        outsideEndpoint,
        emulatorSettings.zones(),
        teams,
        objectives,
        workers,
        state,
        cloud,
        new Settings.Resources(1, 512, 4000));
  }

  private static DaemonSettings parse(String file, JsonNode root) throws SettingsException {
    TomlTable rootTable = new TomlTable(file, "", root);
    rootTable.requireOnly(
        "listen",
        "admin",
        "outside",
        "seed",
        "cluster",
        "limits",
        "machines",
        "teams",
        "objectives");
    TomlTable limits = rootTable.subtable("limits");
    limits.requireOnly(
        "report_s",
        "lease_s",
        "cancel_s",
        "state_rps",
        "state_write_rps",
        "value_kb",
        "txn_ops",
        "cloud_rps",
        "list_lag_s");
    Settings.Workers workers =
        new Settings.Workers(
            limits.millis("report_s", 1),
            limits.millis("lease_s", 12),
            limits.millis("cancel_s", 30));
    Settings.State state =
        new Settings.State(
            limits.number("state_rps", 2000, 1, MAX_NUMBER),
            limits.number("state_write_rps", 500, 1, MAX_NUMBER),
            (int) (1024 * limits.number("value_kb", 16, 1, 1024)),
            (int) limits.number("txn_ops", 24, 4, 1000));
    Settings.Cloud cloud =
        new Settings.Cloud(
            limits.number("cloud_rps", 20, 1, MAX_NUMBER), limits.millis("list_lag_s", 1));
    return new DaemonSettings(
        rootTable.address("listen", "127.0.0.1:8080"),
        rootTable.address("admin", "127.0.0.1:8081"),
        rootTable.address("outside", "127.0.0.1:8082"),
        (long) rootTable.number("seed", 0, 0, Long.MAX_VALUE),
        parseEmulatorSettings(rootTable, workers, cloud, state),
        parseTeams(rootTable),
        parseObjectives(rootTable),
        workers,
        state,
        cloud);
  }

  private static EmulatorSettings parseEmulatorSettings(
      TomlTable rootTable, Settings.Workers workers, Settings.Cloud cloud, Settings.State state)
      throws SettingsException {
    TomlTable cluster = rootTable.subtable("cluster");
    cluster.requireOnly("zones", "per_zone", "never_boots");
    return new EmulatorSettings(
        parseMachines(rootTable),
        cluster.nameList("zones", List.of("a", "b", "c")),
        (int) cluster.number("per_zone", 20, 1, 10_000),
        cluster.number("never_boots", 0, 0, 1),
        workers.reportMs(),
        workers.leaseMs(),
        cloud.listLagMs(),
        state.txnOps(),
        state.valueBytes(),
        1000,
        10_000);
  }

  private static List<EmulatorSettings.MachineSpec> parseMachines(TomlTable rootTable)
      throws SettingsException {
    List<EmulatorSettings.MachineSpec> machineSpecs = new ArrayList<>();
    for (TomlTable fields : rootTable.subtables("machines")) {
      fields.requireOnly(
          "name",
          "cpus",
          "gpus",
          "memory_gb",
          "cache_gb",
          "fetch_gb_per_s",
          "price",
          "spot_price",
          "boot_s");
      double price = fields.number("price", 1, 0, MAX_NUMBER);
      machineSpecs.add(
          new EmulatorSettings.MachineSpec(
              fields.requiredText("name"),
              fields.number("cpus", 8, 0.1, MAX_NUMBER),
              fields.number("gpus", 0, 0, MAX_NUMBER),
              fields.number("memory_gb", 32, 0.1, MAX_NUMBER),
              fields.number("cache_gb", 50, 0.1, MAX_NUMBER),
              fields.number("fetch_gb_per_s", 1, 0.001, MAX_NUMBER),
              price,
              fields.number("spot_price", price * 0.4, 0, MAX_NUMBER),
              fields.number("boot_s", 1, 0.1, MAX_NUMBER)));
    }
    return machineSpecs.isEmpty()
        ? List.of(new EmulatorSettings.MachineSpec("m8", 8, 0, 32, 50, 1, 1, 0.4, 1))
        : List.copyOf(machineSpecs);
  }

  private static Map<String, Settings.Team> parseTeams(TomlTable rootTable)
      throws SettingsException {
    Map<String, Settings.Team> teamsByName = new LinkedHashMap<>();
    for (TomlTable fields : rootTable.subtables("teams")) {
      fields.requireOnly("name", "cpus", "cpus_max", "gpus", "gpus_max");
      String name = fields.requiredText("name");
      teamsByName.put(
          name,
          new Settings.Team(
              name,
              fields.number("cpus", 0, 0, MAX_NUMBER),
              fields.number("cpus_max", 0, 0, MAX_NUMBER),
              fields.number("gpus", 0, 0, MAX_NUMBER),
              fields.number("gpus_max", 0, 0, MAX_NUMBER)));
    }
    return teamsByName.isEmpty()
        ? Map.of("default", new Settings.Team("default", 0, 0, 0, 0))
        : Map.copyOf(teamsByName);
  }

  private static List<Settings.Objective> parseObjectives(TomlTable rootTable)
      throws SettingsException {
    List<Settings.Objective> parsedObjectives = new ArrayList<>();
    for (TomlTable fields : rootTable.subtables("objectives")) {
      fields.requireOnly("kind", "class", "within_s", "share");
      parsedObjectives.add(
          new Settings.Objective(
              fields.requiredText("kind"),
              fields.requiredText("class"),
              fields.number("within_s", 0, 0, MAX_NUMBER),
              fields.number("share", 0, 0, 1)));
    }
    return List.copyOf(parsedObjectives);
  }

  /**
   * A table of the TOML file, whose fields are read and checked one by one.
   *
   * @param prefix path of the table in the file, put before field names in messages
   */
  private record TomlTable(String file, String prefix, JsonNode node) {
    void requireOnly(String... names) throws SettingsException {
      Set<String> knownNames = Set.of(names);
      for (var it = node.fieldNames(); it.hasNext(); ) {
        String name = it.next();
        if (!knownNames.contains(name)) {
          throw new SettingsException(file + ": " + prefix + name + ": no such field");
        }
      }
    }

    TomlTable subtable(String name) throws SettingsException {
      JsonNode value = node.path(name);
      if (!value.isMissingNode() && !value.isObject()) {
        throw invalidField(name, value, "a table");
      }
      return new TomlTable(file, prefix + name + ".", value);
    }

    List<TomlTable> subtables(String name) throws SettingsException {
      List<TomlTable> subtables = new ArrayList<>();
      for (JsonNode element : node.path(name)) {
        if (!element.isObject()) {
          throw invalidField(name, element, "tables");
        }
        subtables.add(new TomlTable(file, prefix + name + "[" + subtables.size() + "].", element));
      }
      return subtables;
    }

    List<String> nameList(String name, List<String> defaultNames) throws SettingsException {
      JsonNode value = node.path(name);
      if (value.isMissingNode()) {
        return defaultNames;
      }
      List<String> values = new ArrayList<>();
      for (JsonNode element : value) {
        if (!element.isTextual() || element.textValue().isEmpty()) {
          throw invalidField(name, value, "a list of names");
        }
        values.add(element.textValue());
      }
      if (values.isEmpty()) {
        throw invalidField(name, value, "a list of names");
      }
      return List.copyOf(values);
    }

    String requiredText(String name) throws SettingsException {
      String value = Json.text(node, name);
      if (value == null || value.isEmpty()) {
        throw invalidField(name, node.path(name), "a text");
      }
      return value;
    }

    double number(String name, double defaultValue, double min, double max)
        throws SettingsException {
      JsonNode value = node.path(name);
      double number =
          value.isMissingNode()
              ? defaultValue
              : value.isNumber() ? value.doubleValue() : Double.NaN;
      if (!(number >= min && number <= max)) {
        throw invalidField(name, value, "a number from " + min + " to " + max);
      }
      return number;
    }

    long millis(String name, double defaultSeconds) throws SettingsException {
      return Math.round(1000 * number(name, defaultSeconds, 0.05, 86_400));
    }

    Address address(String name, String defaultAddress) throws SettingsException {
      JsonNode value = node.path(name);
      Address address =
          value.isMissingNode() ? Address.parse(defaultAddress) : Address.parse(value.asText());
      if (address == null) {
        throw invalidField(name, value, "host:port");
      }
      return address;
    }

    SettingsException invalidField(String name, JsonNode value, String expected) {
      String shownValue = value.isMissingNode() ? "missing" : value.toString();
      return new SettingsException(
          file + ": " + prefix + name + " = " + shownValue + ": must be " + expected);
    }
  }
}
