package dapplestair.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.session.Processes.Begun;
import dapplestair.session.Processes.Ended;
import dapplestair.session.Processes.Service;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A night on which all workers are replaced, with real processes: three controllers, and whichever
 * leads is killed again and again. Short here; {@code -Ddapplestair.long=true} replaces 40
 * machines.
 */
@Tag("session")
class ReplaceSessionTest {
  private static final boolean LONG = Boolean.getBoolean("dapplestair.long");
  private static final int SERVICES = LONG ? 50 : 8;
  private static final int KILLS = LONG ? 6 : 2;
  private static final int REPLICAS = 6;
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  private static final String EMULATED =
      """
      seed = 7
      [cluster]
      zones = ["a", "b", "c"]
      per_zone = 60
      [limits]
      report_s = 1.0
      lease_s = 12.0
      [[machines]]
      name = "m8"
      cpus = 8
      memory_gb = 32
      boot_s = 1.0
      """;

  private static final String CONTROLLER =
      """
      member = "m-%d"
      zone = "%s"
      client_listen = "127.0.0.1:%d"
      peer_bind = "127.0.0.1:%d"
      %s
      [outside]
      cloud = "%s"
      state = "%s"
      [settings]
      zones = ["a", "b", "c"]
      [[settings.teams]]
      name = "default"
      cpus_max = 4000.0
      [settings.workers]
      report_s = 1.0
      lease_s = 12.0
      cancel_s = 30.0
      [settings.state]
      rps = 2000.0
      write_rps = 500.0
      value_kb = 16.0
      txn_ops = 24
      [settings.cloud]
      rps = 20.0
      list_lag_s = 1.0
      [settings.resources]
      cpu = 1.0
      ram_mb = 512.0
      max_connections = 3500
      """;

  @TempDir private Path folder;
  private Processes processes;
  private String outside;
  private final int[] users = new int[3];
  private final int[] peers = new int[3];
  private final int[] admins = new int[3];
  private final Begun[] controllers = new Begun[3];
  private Map<String, String> env;

  @Test
  void allWorkersAreNewThoughLeadersAreKilled() throws Exception {
    try (Processes p = new Processes(folder)) {
      processes = p;
      Path emulated = folder.resolve("emulated.toml");
      Files.writeString(emulated, EMULATED);
      Service emulator =
          p.start("emulate", "--config", emulated.toString(), "--listen", "127.0.0.1:0");
      outside = emulator.address("outside");
      begin();
      for (int i = 0; i < SERVICES; i++) {
        good("job", "submit", service(i).toString());
      }
      until("replicas", () -> replicas() == SERVICES * REPLICAS);
      TreeSet<String> old = machines();
      assertTrue(old.size() >= (LONG ? 40 : 6), old.toString());
      Ended bad = run("replace", "start", "night", "--zone", "nowhere");
      assertEquals(2, bad.code(), bad.err());
      assertTrue(bad.err().contains("zone = \"nowhere\": no such zone"), bad.err());
      assertEquals(2, run("replace", "start", "night", "--zone", "a", "--step", "0").code());
      assertEquals(4, run("replace", "show", "night").code());
      good("replace", "start", "night", "--older", "0.5", "--step", "4", "--beyond", "4");
      for (int i = 0; i < KILLS; i++) {
        int before = left(old);
        until("progress", () -> left(old) < before);
        killLeader();
      }
      until("done", () -> state().equals("done"));
      assertEquals(0, left(old), "old machines are left");
      until("replicas", () -> replicas() == SERVICES * REPLICAS);
      assertEquals("null", outside("/emulator/machines").path("violation").asText("null"));
    }
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void until(String what, Condition c) throws Exception {
    for (int i = 0; i < 600; i++) {
      if (c.holds()) {
        return;
      }
      Thread.sleep(200);
    }
    throw new AssertionError("never: " + what);
  }

  private static int free() throws Exception {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }

  private void begin() throws Exception {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      users[i] = free();
      peers[i] = free();
      admins[i] = free();
      endpoints.add("http://127.0.0.1:" + admins[i]);
    }
    env = Map.of("DAPPLESTAIR_ENDPOINT", String.join(",", endpoints));
    for (int i = 0; i < 3; i++) {
      start(i);
      outside(
          "PUT", "/emulator/controllers/m-" + i, "{\"endpoint\":\"127.0.0.1:" + users[i] + "\"}");
    }
    until("a leader", () -> run("status").code() == 0);
  }

  private void start(int i) throws Exception {
    StringBuilder others = new StringBuilder();
    for (int k = 0; k < 3; k++) {
      if (k != i) {
        others.append(
            "[[peers]]\nmember = \"m-%d\"\nzone = \"%s\"\nendpoint = \"127.0.0.1:%d\"\n"
                .formatted(k, "abc".substring(k, k + 1), peers[k]));
      }
    }
    Path file = folder.resolve("m-" + i + ".toml");
    String zone = "abc".substring(i, i + 1);
    Files.writeString(
        file, CONTROLLER.formatted(i, zone, users[i], peers[i], others, outside, outside));
    Path operator = folder.resolve("m-" + i + ".textproto");
    Files.writeString(
        operator,
        "plan_interval_s: 1 admin { listen: \"127.0.0.1:"
            + admins[i]
            + "\" }"
            + " disruption { replicas_ratio: 0.1 }");
    controllers[i] =
        processes.begin(
            Map.of(), "controller", "--config", file.toString(), "--operator", operator.toString());
  }

  private void killLeader() throws Exception {
    String leader = json("status").path("leader").asText();
    int i = leader.charAt(leader.length() - 1) - '0';
    controllers[i].process().destroyForcibly().waitFor();
    start(i);
    until("another leader", () -> run("status").code() == 0);
  }

  private Ended run(String... args) throws Exception {
    return processes.run(env, args);
  }

  private Ended good(String... args) throws Exception {
    Ended e = run(args);
    assertEquals(0, e.code(), String.join(" ", args) + ": " + e.err());
    return e;
  }

  private JsonNode json(String... args) throws Exception {
    List<String> all = new ArrayList<>(List.of(args));
    all.addAll(List.of("-o", "json"));
    return Json.parse(good(all.toArray(String[]::new)).out().getBytes());
  }

  private String state() throws Exception {
    Ended e = run("replace", "show", "night", "-o", "json");
    return e.code() == 0 ? Json.parse(e.out().getBytes()).path("state").asText() : "";
  }

  private JsonNode outside(String path) throws Exception {
    return outside("GET", path, "");
  }

  private JsonNode outside(String method, String path, String body) throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + outside + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return Json.parse(HTTP.send(r, HttpResponse.BodyHandlers.ofByteArray()).body());
  }

  private TreeSet<String> machines() throws Exception {
    TreeSet<String> out = new TreeSet<>();
    outside("/emulator/machines").path("machines").forEach(m -> out.add(m.path("id").asText()));
    return out;
  }

  private int left(TreeSet<String> old) throws Exception {
    TreeSet<String> now = machines();
    now.retainAll(old);
    return now.size();
  }

  /** What truly runs, whoever leads; a task in two places would be seen here. */
  private int replicas() throws Exception {
    Map<String, Integer> tasks = new TreeMap<>();
    for (JsonNode m : outside("/emulator/machines").path("machines")) {
      for (JsonNode t : m.path("tasks")) {
        if (t.path("status").asText().equals("running")) {
          tasks.merge(t.path("task").asText(), 1, Integer::sum);
        }
      }
    }
    tasks.forEach((task, n) -> assertEquals(1, n, task + " runs in " + n + " places"));
    return tasks.size();
  }

  private Path service(int i) throws Exception {
    Path file = folder.resolve("s" + i + ".json");
    Files.writeString(
        file,
        """
        {"ref":"sv-%06d","jobclass":"c","owner":"default","shape":"daemon","rank":"critical",
         "steps":%d,"vcpus":1.0,"accelerators":0,"memoryGb":1.0,"bundle":"i","imageGb":0.1,
         "together":false,"apart":true,"loaners":false,"guessS":0,"snapshotEveryS":0,"snapshotS":0}
        """
            .formatted(i, REPLICAS));
    return file;
  }
}
