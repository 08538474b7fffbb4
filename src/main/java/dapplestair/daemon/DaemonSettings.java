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
 * What {@code daemon} and {@code emulate} run on. Every field has a default; unlike in the
 * platform's file, a field that is not known is refused, since its writer meant something by it.
 *
 * @param listen where users and workers are served
 * @param admin where operators are served
 * @param outside where {@code emulate} serves state service and cloud
 * @param seed of the emulated chance, 0 for a new one each time
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

  /** Name of the one controller. */
  static final String MEMBER = "daemon";

  private static final double MOST = 1e6;

  /** What holds without a file. */
  public static DaemonSettings defaults() {
    try {
      return read("defaults", Json.object());
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Loads and checks a file. */
  public static DaemonSettings load(Path path) throws SettingsException {
    try {
      return read(path.toString(), new TomlMapper().readTree(Files.readString(path)));
    } catch (JsonProcessingException e) {
      throw new SettingsException(path + ": not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
  }

  /** The settings of the one controller, which meets everything outside at one address. */
  public Settings controller(Address users, String outsideEndpoint) {
    return new Settings(
        MEMBER,
        emulatorSettings.zones().get(0),
        users,
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

  private static DaemonSettings read(String file, JsonNode root) throws SettingsException {
    Fields top = new Fields(file, "", root);
    top.only(
        "listen",
        "admin",
        "outside",
        "seed",
        "cluster",
        "limits",
        "machines",
        "teams",
        "objectives");
    Fields limits = top.table("limits");
    limits.only(
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
            limits.number("state_rps", 2000, 1, MOST),
            limits.number("state_write_rps", 500, 1, MOST),
            (int) (1024 * limits.number("value_kb", 16, 1, 1024)),
            (int) limits.number("txn_ops", 24, 4, 1000));
    Settings.Cloud cloud =
        new Settings.Cloud(limits.number("cloud_rps", 20, 1, MOST), limits.millis("list_lag_s", 1));
    return new DaemonSettings(
        top.address("listen", "127.0.0.1:8080"),
        top.address("admin", "127.0.0.1:8081"),
        top.address("outside", "127.0.0.1:8082"),
        (long) top.number("seed", 0, 0, Long.MAX_VALUE),
        shape(top, workers, cloud, state),
        teams(top),
        objectives(top),
        workers,
        state,
        cloud);
  }

  private static EmulatorSettings shape(
      Fields top, Settings.Workers workers, Settings.Cloud cloud, Settings.State state)
      throws SettingsException {
    Fields cluster = top.table("cluster");
    cluster.only("zones", "per_zone", "never_boots");
    return new EmulatorSettings(
        machines(top),
        cluster.names("zones", List.of("a", "b", "c")),
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

  private static List<EmulatorSettings.MachineSpec> machines(Fields top) throws SettingsException {
    List<EmulatorSettings.MachineSpec> out = new ArrayList<>();
    for (Fields fields : top.tables("machines")) {
      fields.only(
          "name",
          "cpus",
          "gpus",
          "memory_gb",
          "cache_gb",
          "fetch_gb_per_s",
          "price",
          "spot_price",
          "boot_s");
      double price = fields.number("price", 1, 0, MOST);
      out.add(
          new EmulatorSettings.MachineSpec(
              fields.text("name"),
              fields.number("cpus", 8, 0.1, MOST),
              fields.number("gpus", 0, 0, MOST),
              fields.number("memory_gb", 32, 0.1, MOST),
              fields.number("cache_gb", 50, 0.1, MOST),
              fields.number("fetch_gb_per_s", 1, 0.001, MOST),
              price,
              fields.number("spot_price", price * 0.4, 0, MOST),
              fields.number("boot_s", 1, 0.1, MOST)));
    }
    return out.isEmpty()
        ? List.of(new EmulatorSettings.MachineSpec("m8", 8, 0, 32, 50, 1, 1, 0.4, 1))
        : List.copyOf(out);
  }

  private static Map<String, Settings.Team> teams(Fields top) throws SettingsException {
    Map<String, Settings.Team> out = new LinkedHashMap<>();
    for (Fields fields : top.tables("teams")) {
      fields.only("name", "cpus", "cpus_max", "gpus", "gpus_max");
      String name = fields.text("name");
      out.put(
          name,
          new Settings.Team(
              name,
              fields.number("cpus", 0, 0, MOST),
              fields.number("cpus_max", 0, 0, MOST),
              fields.number("gpus", 0, 0, MOST),
              fields.number("gpus_max", 0, 0, MOST)));
    }
    return out.isEmpty()
        ? Map.of("default", new Settings.Team("default", 0, 0, 0, 0))
        : Map.copyOf(out);
  }

  private static List<Settings.Objective> objectives(Fields top) throws SettingsException {
    List<Settings.Objective> out = new ArrayList<>();
    for (Fields fields : top.tables("objectives")) {
      fields.only("kind", "class", "within_s", "share");
      out.add(
          new Settings.Objective(
              fields.text("kind"),
              fields.text("class"),
              fields.number("within_s", 0, 0, MOST),
              fields.number("share", 0, 0, 1)));
    }
    return List.copyOf(out);
  }

  /** A table of the file, read field by field with clear messages. */
  private record Fields(String file, String at, JsonNode node) {
    void only(String... names) throws SettingsException {
      Set<String> known = Set.of(names);
      for (var it = node.fieldNames(); it.hasNext(); ) {
        String name = it.next();
        if (!known.contains(name)) {
          throw new SettingsException(file + ": " + at + name + ": no such field");
        }
      }
    }

    Fields table(String name) throws SettingsException {
      JsonNode v = node.path(name);
      if (!v.isMissingNode() && !v.isObject()) {
        throw bad(name, v, "a table");
      }
      return new Fields(file, at + name + ".", v);
    }

    List<Fields> tables(String name) throws SettingsException {
      List<Fields> out = new ArrayList<>();
      for (JsonNode n : node.path(name)) {
        if (!n.isObject()) {
          throw bad(name, n, "tables");
        }
        out.add(new Fields(file, at + name + "[" + out.size() + "].", n));
      }
      return out;
    }

    List<String> names(String name, List<String> otherwise) throws SettingsException {
      JsonNode v = node.path(name);
      if (v.isMissingNode()) {
        return otherwise;
      }
      List<String> out = new ArrayList<>();
      for (JsonNode n : v) {
        if (!n.isTextual() || n.textValue().isEmpty()) {
          throw bad(name, v, "a list of names");
        }
        out.add(n.textValue());
      }
      if (out.isEmpty()) {
        throw bad(name, v, "a list of names");
      }
      return List.copyOf(out);
    }

    String text(String name) throws SettingsException {
      String v = Json.text(node, name);
      if (v == null || v.isEmpty()) {
        throw bad(name, node.path(name), "a text");
      }
      return v;
    }

    double number(String name, double otherwise, double low, double high) throws SettingsException {
      JsonNode v = node.path(name);
      double d = v.isMissingNode() ? otherwise : v.isNumber() ? v.doubleValue() : Double.NaN;
      if (!(d >= low && d <= high)) {
        throw bad(name, v, "a number from " + low + " to " + high);
      }
      return d;
    }

    long millis(String name, double otherwise) throws SettingsException {
      return Math.round(1000 * number(name, otherwise, 0.05, 86_400));
    }

    Address address(String name, String otherwise) throws SettingsException {
      JsonNode v = node.path(name);
      Address address = v.isMissingNode() ? Address.parse(otherwise) : Address.parse(v.asText());
      if (address == null) {
        throw bad(name, v, "host:port");
      }
      return address;
    }

    SettingsException bad(String name, JsonNode node, String wanted) {
      String shown = node.isMissingNode() ? "missing" : node.toString();
      return new SettingsException(file + ": " + at + name + " = " + shown + ": must be " + wanted);
    }
  }
}
