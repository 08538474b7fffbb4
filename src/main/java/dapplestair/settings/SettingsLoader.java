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

/** Reads and checks the platform's file. Fields it does not know are ignored. */
public final class SettingsLoader {
  private final String file;

  private SettingsLoader(String file) {
    this.file = file;
  }

  /** Loads a file. */
  public static Settings load(Path path) throws SettingsException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    return parse(path.toString(), text);
  }

  /** Parses a file's text; {@code name} is used in messages. */
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
    JsonNode outside = table(root, "outside", "");
    JsonNode settings = table(root, "settings", "");
    List<Settings.Peer> peers = new ArrayList<>();
    int i = 0;
    for (JsonNode node : root.path("peers")) {
      String at = "peers[" + i++ + "].";
      peers.add(
          new Settings.Peer(
              text(node, "member", at), text(node, "zone", at), address(node, "endpoint", at)));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode z : settings.path("zones")) {
      if (!z.isTextual()) {
        throw bad("settings.zones", z, "a name");
      }
      zones.add(z.textValue());
    }
    return new Settings(
        text(root, "member", ""),
        text(root, "zone", ""),
        address(root, "client_listen", ""),
        address(root, "peer_bind", ""),
        List.copyOf(peers),
        address(outside, "cloud", "outside.").toString(),
        address(outside, "state", "outside.").toString(),
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
    int i = 0;
    for (JsonNode node : settings.path("teams")) {
      String at = "settings.teams[" + i++ + "].";
      String name = text(node, "name", at);
      teams.put(
          name,
          new Settings.Team(
              name,
              amount(node, "cpus", at),
              amount(node, "cpus_max", at),
              amount(node, "gpus", at),
              amount(node, "gpus_max", at)));
    }
    return Map.copyOf(teams);
  }

  private List<Settings.Objective> objectives(JsonNode settings) {
    List<Settings.Objective> out = new ArrayList<>();
    for (JsonNode node : settings.path("objectives")) {
      // Kinds may be added by the platform: what is not understood is passed over.
      out.add(
          new Settings.Objective(
              node.path("kind").asText(""),
              node.path("class").asText(""),
              node.path("within_s").asDouble(0),
              node.path("share").asDouble(0)));
    }
    return List.copyOf(out);
  }

  private Settings.Workers workers(JsonNode node) throws SettingsException {
    String at = "settings.workers.";
    return new Settings.Workers(
        millis(node, "report_s", at), millis(node, "lease_s", at), millis(node, "cancel_s", at));
  }

  private Settings.State state(JsonNode node) throws SettingsException {
    String at = "settings.state.";
    return new Settings.State(
        positive(node, "rps", at),
        positive(node, "write_rps", at),
        (int) (positive(node, "value_kb", at) * 1024),
        (int) positive(node, "txn_ops", at));
  }

  private Settings.Cloud cloud(JsonNode node) throws SettingsException {
    String at = "settings.cloud.";
    return new Settings.Cloud(positive(node, "rps", at), millis(node, "list_lag_s", at));
  }

  private Settings.Resources resources(JsonNode node) throws SettingsException {
    String at = "settings.resources.";
    return new Settings.Resources(
        positive(node, "cpu", at),
        positive(node, "ram_mb", at),
        (int) positive(node, "max_connections", at));
  }

  private JsonNode table(JsonNode parent, String field, String at) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isObject()) {
      throw bad(at + field, node, "a table");
    }
    return node;
  }

  private String text(JsonNode parent, String field, String at) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isTextual() || node.textValue().isEmpty()) {
      throw bad(at + field, node, "a text");
    }
    return node.textValue();
  }

  private Address address(JsonNode parent, String field, String at) throws SettingsException {
    Address address = Address.parse(text(parent, field, at));
    if (address != null) {
      return address;
    }
    throw bad(at + field, parent.path(field), "host:port");
  }

  private double amount(JsonNode parent, String field, String at) throws SettingsException {
    JsonNode node = parent.path(field);
    if (node.isMissingNode()) {
      return 0;
    }
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < 0) {
      throw bad(at + field, node, "a number of at least 0");
    }
    return node.doubleValue();
  }

  private double positive(JsonNode parent, String field, String at) throws SettingsException {
    JsonNode node = parent.path(field);
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() <= 0) {
      throw bad(at + field, node, "a number above 0");
    }
    return node.doubleValue();
  }

  private long millis(JsonNode parent, String field, String at) throws SettingsException {
    return Math.round(positive(parent, field, at) * 1000);
  }

  private SettingsException bad(String field, JsonNode value, String wanted) {
    String shown = value.isMissingNode() ? "missing" : value.toString();
    return new SettingsException(file + ": " + field + " = " + shown + ": must be " + wanted);
  }
}
