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
    JsonNode endpoints = requireTable(root, "outside", "");
    JsonNode settings = requireTable(root, "settings", "");
    List<Settings.Peer> peers = new ArrayList<>();
    int index = 0;
    for (JsonNode node : root.path("peers")) {
      String prefix = "peers[" + index++ + "].";
      peers.add(
          new Settings.Peer(
              requireText(node, "member", prefix),
              requireText(node, "zone", prefix),
              requireAddress(node, "endpoint", prefix)));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : settings.path("zones")) {
      if (!zone.isTextual()) {
        throw invalid("settings.zones", zone, "a name");
      }
      zones.add(zone.textValue());
    }
    return new Settings(
        requireText(root, "member", ""),
        requireText(root, "zone", ""),
        requireAddress(root, "client_listen", ""),
        requireAddress(root, "peer_bind", ""),
        List.copyOf(peers),
        requireAddress(endpoints, "cloud", "outside.").toString(),
        requireAddress(endpoints, "state", "outside.").toString(),
        List.copyOf(zones),
        parseTeams(settings),
        parseObjectives(settings),
        parseWorkers(requireTable(settings, "workers", "settings.")),
        parseState(requireTable(settings, "state", "settings.")),
        parseCloud(requireTable(settings, "cloud", "settings.")),
        parseResources(settings.path("resources")));
  }

  private Map<String, Settings.Team> parseTeams(JsonNode settings) throws SettingsException {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    int index = 0;
    for (JsonNode node : settings.path("teams")) {
      String prefix = "settings.teams[" + index++ + "].";
      String name = requireText(node, "name", prefix);
      teams.put(
          name,
          new Settings.Team(
              name,
              parseNonNegative(node, "cpus", prefix),
              parseNonNegative(node, "cpus_max", prefix),
              parseNonNegative(node, "gpus", prefix),
              parseNonNegative(node, "gpus_max", prefix)));
    }
    return Map.copyOf(teams);
  }

  private List<Settings.Objective> parseObjectives(JsonNode settings) {
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

  private Settings.Workers parseWorkers(JsonNode node) throws SettingsException {
    String prefix = "settings.workers.";
    return new Settings.Workers(
        requireMillis(node, "report_s", prefix),
        requireMillis(node, "lease_s", prefix),
        requireMillis(node, "cancel_s", prefix));
  }

  private Settings.State parseState(JsonNode node) throws SettingsException {
    String prefix = "settings.state.";
    return new Settings.State(
        requirePositive(node, "rps", prefix),
        requirePositive(node, "write_rps", prefix),
        (int) (requirePositive(node, "value_kb", prefix) * 1024),
        (int) requirePositive(node, "txn_ops", prefix));
  }

  private Settings.Cloud parseCloud(JsonNode node) throws SettingsException {
    String prefix = "settings.cloud.";
    return new Settings.Cloud(
        requirePositive(node, "rps", prefix), requireMillis(node, "list_lag_s", prefix));
  }

  private Settings.Resources parseResources(JsonNode node) throws SettingsException {
    String prefix = "settings.resources.";
    return new Settings.Resources(
        requirePositive(node, "cpu", prefix),
        requirePositive(node, "ram_mb", prefix),
        (int) requirePositive(node, "max_connections", prefix));
  }

  private JsonNode requireTable(JsonNode parent, String field, String prefix)
      throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isObject()) {
      throw invalid(prefix + field, node, "a table");
    }
    return node;
  }

  private String requireText(JsonNode parent, String field, String prefix)
      throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isTextual() || node.textValue().isEmpty()) {
      throw invalid(prefix + field, node, "a text");
    }
    return node.textValue();
  }

  private Address requireAddress(JsonNode parent, String field, String prefix)
      throws SettingsException {
    Address address = Address.parse(requireText(parent, field, prefix));
    if (address != null) {
      return address;
    }
    throw invalid(prefix + field, parent.path(field), "host:port");
  }

  private double parseNonNegative(JsonNode parent, String field, String prefix)
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

  private double requirePositive(JsonNode parent, String field, String prefix)
      throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() <= 0) {
      throw invalid(prefix + field, node, "a number above 0");
    }
    return node.doubleValue();
  }

  private long requireMillis(JsonNode parent, String field, String prefix)
      throws SettingsException {
    return Math.round(requirePositive(parent, field, prefix) * 1000);
  }

  private SettingsException invalid(String field, JsonNode value, String expected) {
    String shownValue = value.isMissingNode() ? "missing" : value.toString();
    return new SettingsException(
        file + ": " + field + " = " + shownValue + ": must be " + expected);
  }
}
