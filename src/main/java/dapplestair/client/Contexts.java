package dapplestair.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dapplestair.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Named sets of endpoints and credentials, read from the user's {@code client.toml}. */
final class Contexts {
  private static final TomlMapper TOML = new TomlMapper();

  /** Endpoints to try in turn, and the credentials for them; credentials not given are null. */
  record Context(
      List<String> endpoints, String token, Path authority, Path certificate, Path key) {}

  private final Path file;
  private final JsonNode root;

  private Contexts(Path file, JsonNode root) {
    this.file = file;
    this.root = root;
  }

  static Contexts load(Map<String, String> env) throws CommandException {
    String home = env.getOrDefault("HOME", System.getProperty("user.home"));
    String config = env.getOrDefault("XDG_CONFIG_HOME", home + "/.config");
    Path file = Path.of(config, "dapplestair", "client.toml");
    if (!Files.exists(file)) {
      return new Contexts(file, Json.object());
    }
    try {
      return new Contexts(file, TOML.readTree(Files.readString(file)));
    } catch (JsonProcessingException e) {
      throw new CommandException(
          CommandException.WRONG_USAGE, file + ": not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new CommandException(CommandException.WRONG_USAGE, file + ": cannot be read");
    }
  }

  String currentName() {
    return Json.text(root, "current");
  }

  Map<String, Context> byName() throws CommandException {
    Map<String, Context> contextsByName = new TreeMap<>();
    for (var it = root.path("contexts").fieldNames(); it.hasNext(); ) {
      String name = it.next();
      contextsByName.put(name, context(name));
    }
    return contextsByName;
  }

  /** Returns the context of this name, which must exist. */
  Context context(String name) throws CommandException {
    JsonNode node = root.path("contexts").path(name);
    if (!node.isObject()) {
      throw new CommandException(
          CommandException.WRONG_USAGE, "no context " + name + " in " + file);
    }
    List<String> endpoints = new ArrayList<>();
    node.path("endpoints").forEach(e -> endpoints.add(e.asText()));
    if (endpoints.isEmpty()) {
      throw new CommandException(
          CommandException.WRONG_USAGE,
          file + ": contexts." + name + ".endpoints: must be a list of URLs");
    }
    return new Context(
        endpoints,
        Json.text(node, "token"),
        resolvePath(node, "authority"),
        resolvePath(node, "certificate"),
        resolvePath(node, "key"));
  }

  private Path resolvePath(JsonNode node, String field) {
    String value = Json.text(node, field);
    return value == null ? null : file.resolveSibling(value);
  }

  /** Makes a context the current one, which is used when no context is named. */
  void setCurrent(String name) throws CommandException {
    context(name);
    ObjectNode updatedRoot = ((ObjectNode) root.deepCopy()).put("current", name);
    try {
      Path temporaryFile = file.resolveSibling("client.toml.new");
      Files.writeString(temporaryFile, TOML.writeValueAsString(updatedRoot));
      Files.move(temporaryFile, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new CommandException(1, file + ": cannot be written");
    }
  }
}
