package dapplestair.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dapplestair.settings.Settings.Address;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates the platform's file. Unknown fields are ignored. */
public final class SettingsLoader {
  private final String file;

  private SettingsLoader(String file) {
    this.file = file;
  }

  /** Loads and validates a file. */
  public static Settings load(Path path) throws SettingsException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    return parse(path.toString(), text);
  }

  /** Parses the text of a file; {@code name} names the file in messages. */
  public static Settings parse(String name, String text) throws SettingsException {
    SettingsLoader loader = new SettingsLoader(name);
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(name + ": not TOML: " + e.getOriginalMessage());
    }
    return loader.read(root);
  }

  private Settings read(JsonNode root) throws SettingsException {
    JsonNode endpoints = table(root, "outside", "");
    JsonNode settings = table(root, "settings", "");
    List<Settings.Peer> peers = new ArrayList<>();
    int index = 0;
    for (JsonNode node : root.path("peers")) {
      String prefix = "peers[" + index++ + "].";
      peers.add(
          new Settings.Peer(
              text(node, "member", prefix),
              text(node, "zone", prefix),
              address(node, "endpoint", prefix)));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : settings.path("zones")) {
      if (!zone.isTextual()) {
        throw invalid("settings.zones", zone, "a name");
      }
      zones.add(zone.textValue());
    }
    return new Settings(
        text(root, "member", ""),
        text(root, "zone", ""),
        address(root, "client_listen", ""),
        address(root, "peer_bind", ""),
        List.copyOf(peers),
        address(endpoints, "cloud", "outside.").toString(),
        address(endpoints, "state", "outside.").toString(),
        List.copyOf(zones),
        teams(settings),
        objectives(settings),
        workers(table(settings, "workers", "settings.")),
        state(table(settings, "state", "settings.")),
        cloud(table(settings, "cloud", "settings.")),
        resources(settings.path("resources")));
  }

  private Map<String, Settings.Team> teams(JsonNode settings) throws SettingsException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    int index = 0;
    for (JsonNode node : settings.path("teams")) {
      String prefix = "settings.teams[" + index++ + "].";
      String name = text(node, "name", prefix);
      teams.put(
          name,
          new Settings.Team(
              name,
              nonNegative(node, "cpus", prefix),
              nonNegative(node, "cpus_max", prefix),
              nonNegative(node, "gpus", prefix),
              nonNegative(node, "gpus_max", prefix)));
    }
    return Map.copyOf(teams);
  }

  private List<Settings.Objective> objectives(JsonNode settings) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode node : settings.path("objectives")) {
      // The platform may add kinds of objectives, so unknown kinds are not rejected.
      objectives.add(
          new Settings.Objective(
              node.path("kind").asText(""),
              node.path("class").asText(""),
              node.path("within_s").asDouble(0),
              node.path("share").asDouble(0)));
    }
    return List.copyOf(objectives);
  }

  private Settings.Workers workers(JsonNode node) throws SettingsException {
    String prefix = "settings.workers.";
    return new Settings.Workers(
        millis(node, "report_s", prefix),
        millis(node, "lease_s", prefix),
        millis(node, "cancel_s", prefix));
  }

  private Settings.State state(JsonNode node) throws SettingsException {
    String prefix = "settings.state.";
    return new Settings.State(
        positive(node, "rps", prefix),
        positive(node, "write_rps", prefix),
        (int) (positive(node, "value_kb", prefix) * 1024),
        (int) positive(node, "txn_ops", prefix));
  }

  private Settings.Cloud cloud(JsonNode node) throws SettingsException {
    String prefix = "settings.cloud.";
    return new Settings.Cloud(positive(node, "rps", prefix), millis(node, "list_lag_s", prefix));
  }

  private Settings.Resources resources(JsonNode node) throws SettingsException {
    String prefix = "settings.resources.";
    return new Settings.Resources(
        positive(node, "cpu", prefix),
        positive(node, "ram_mb", prefix),
        (int) positive(node, "max_connections", prefix));
  }

  private JsonNode table(JsonNode parent, String field, String prefix) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isObject()) {
      throw invalid(prefix + field, node, "a table");
    }
    return node;
  }

  private String text(JsonNode parent, String field, String prefix) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isTextual() || node.textValue().isEmpty()) {
      throw invalid(prefix + field, node, "a text");
    }
    return node.textValue();
  }

  private Address address(JsonNode parent, String field, String prefix) throws SettingsException {
    Address address = Address.parse(text(parent, field, prefix));
    if (address != null) {
      return address;
    }
    throw invalid(prefix + field, parent.path(field), "host:port");
  }

  private double nonNegative(JsonNode parent, String field, String prefix)
      throws SettingsException {
    JsonNode node = parent.path(field);
    if (node.isMissingNode()) {
      return 0;
    }
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < 0) {
      throw invalid(prefix + field, node, "a number of at least 0");
    }
    return node.doubleValue();
  }

  private double positive(JsonNode parent, String field, String prefix) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() <= 0) {
      throw invalid(prefix + field, node, "a number above 0");
    }
    return node.doubleValue();
  }

  private long millis(JsonNode parent, String field, String prefix) throws SettingsException {
    return Math.round(positive(parent, field, prefix) * 1000);
  }

  private SettingsException invalid(String field, JsonNode value, String expected) {
    String shownValue = value.isMissingNode() ? "missing" : value.toString();
    return new SettingsException(
        file + ": " + field + " = " + shownValue + ": must be " + expected);
  }
}
