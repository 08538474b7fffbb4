package dapplestair.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.session.Processes.CommandResult;
import dapplestair.session.Processes.RunningCommand;
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
 * Guards against a rolling replacement of all workers that stops, or runs a task twice, when
 * leaders fail. Real processes: three controllers, of which the leader is killed again and again.
 * The run is short by default; with {@code -Ddapplestair.long=true} it replaces 40 machines.
 */
@Tag("session")
class ReplaceSessionTest {
  private static final boolean LONG_RUN = Boolean.getBoolean("dapplestair.long");
  private static final int SERVICES = LONG_RUN ? 50 : 8;
  private static final int KILLS = LONG_RUN ? 6 : 2;
  private static final int REPLICAS = 6;
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  private static final String EMULATOR_SETTINGS =
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

  private static final String CONTROLLER_SETTINGS =
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
  private String outsideAddress;
  private final int[] userPorts = new int[3];
  private final int[] peerPorts = new int[3];
  private final int[] adminPorts = new int[3];
  private final RunningCommand[] controllers = new RunningCommand[3];
  private Map<String, String> environment;

  @Test
  void replacesAllWorkersDespiteLeaderKills() throws Exception {
    try (Processes testProcesses = new Processes(folder)) {
      processes = testProcesses;
      Path emulatorFile = folder.resolve("emulated.toml");
      Files.writeString(emulatorFile, EMULATOR_SETTINGS);
      Service emulator =
          testProcesses.startService(
              "emulate", "--config", emulatorFile.toString(), "--listen", "127.0.0.1:0");
      outsideAddress = emulator.address("outside");
      startControllers();
      for (int i = 0; i < SERVICES; i++) {
        runSuccessfully("job", "submit", writeService(i).toString());
      }
      awaitCondition("replicas", () -> countRunningReplicas() == SERVICES * REPLICAS);
      TreeSet<String> oldMachines = machineIds();
      assertTrue(oldMachines.size() >= (LONG_RUN ? 40 : 6), oldMachines.toString());
      CommandResult unknownZone = run("replace", "start", "night", "--zone", "nowhere");
      assertEquals(2, unknownZone.code(), unknownZone.err());
      assertTrue(unknownZone.err().contains("zone = \"nowhere\": no such zone"), unknownZone.err());
      assertEquals(2, run("replace", "start", "night", "--zone", "a", "--step", "0").code());
      assertEquals(4, run("replace", "show", "night").code());
      runSuccessfully(
          "replace", "start", "night", "--older", "0.5", "--step", "4", "--beyond", "4");
      for (int i = 0; i < KILLS; i++) {
        int remainingBefore = countRemaining(oldMachines);
        awaitCondition("progress", () -> countRemaining(oldMachines) < remainingBefore);
        killLeader();
      }
      awaitCondition("done", () -> replacementState().equals("done"));
      assertEquals(0, countRemaining(oldMachines), "machines that were to be replaced are left");
      awaitCondition("replicas", () -> countRunningReplicas() == SERVICES * REPLICAS);
      assertEquals("null", requestOutside("/emulator/machines").path("violation").asText("null"));
    }
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void awaitCondition(String description, Condition condition) throws Exception {
    for (int i = 0; i < 600; i++) {
      if (condition.holds()) {
        return;
      }
      Thread.sleep(200);
    }
    throw new AssertionError("condition not met after 600 checks: " + description);
  }

  private static int findFreePort() throws Exception {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }

  private void startControllers() throws Exception {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      userPorts[i] = findFreePort();
      peerPorts[i] = findFreePort();
      adminPorts[i] = findFreePort();
      endpoints.add("http://127.0.0.1:" + adminPorts[i]);
    }
    environment = Map.of("DAPPLESTAIR_ENDPOINT", String.join(",", endpoints));
    for (int i = 0; i < 3; i++) {
      startController(i);
      requestOutside(
          "PUT",
          "/emulator/controllers/m-" + i,
          "{\"endpoint\":\"127.0.0.1:" + userPorts[i] + "\"}");
    }
    awaitCondition("a leader", () -> run("status").code() == 0);
  }

  private void startController(int index) throws Exception {
    StringBuilder otherPeers = new StringBuilder();
    for (int k = 0; k < 3; k++) {
      if (k != index) {
        otherPeers.append(
            "[[peers]]\nmember = \"m-%d\"\nzone = \"%s\"\nendpoint = \"127.0.0.1:%d\"\n"
                .formatted(k, "abc".substring(k, k + 1), peerPorts[k]));
      }
    }
    Path file = folder.resolve("m-" + index + ".toml");
    String zone = "abc".substring(index, index + 1);
    Files.writeString(
        file,
        CONTROLLER_SETTINGS.formatted(
            index,
            zone,
            userPorts[index],
            peerPorts[index],
            otherPeers,
            outsideAddress,
            outsideAddress));
    Path operator = folder.resolve("m-" + index + ".textproto");
    Files.writeString(
        operator,
        "plan_interval_s: 1 admin { listen: \"127.0.0.1:"
            + adminPorts[index]
            + "\" }"
            + " disruption { replicas_ratio: 0.1 }");
    controllers[index] =
        processes.startCommand(
            Map.of(), "controller", "--config", file.toString(), "--operator", operator.toString());
  }

  private void killLeader() throws Exception {
    String leader = runAsJson("status").path("leader").asText();
    int index = leader.charAt(leader.length() - 1) - '0';
    controllers[index].process().destroyForcibly().waitFor();
    startController(index);
    awaitCondition("another leader", () -> run("status").code() == 0);
  }

  private CommandResult run(String... args) throws Exception {
    return processes.run(environment, args);
  }

  private CommandResult runSuccessfully(String... args) throws Exception {
    CommandResult result = run(args);
    assertEquals(0, result.code(), String.join(" ", args) + ": " + result.err());
    return result;
  }

  private JsonNode runAsJson(String... args) throws Exception {
    List<String> allArgs = new ArrayList<>(List.of(args));
    allArgs.addAll(List.of("-o", "json"));
    return Json.parse(runSuccessfully(allArgs.toArray(String[]::new)).out().getBytes());
  }

  private String replacementState() throws Exception {
    CommandResult result = run("replace", "show", "night", "-o", "json");
    return result.code() == 0 ? Json.parse(result.out().getBytes()).path("state").asText() : "";
  }

  private JsonNode requestOutside(String path) throws Exception {
    return requestOutside("GET", path, "");
  }

  private JsonNode requestOutside(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + outsideAddress + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return Json.parse(HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray()).body());
  }

  private TreeSet<String> machineIds() throws Exception {
    TreeSet<String> ids = new TreeSet<>();
    requestOutside("/emulator/machines")
        .path("machines")
        .forEach(m -> ids.add(m.path("id").asText()));
    return ids;
  }

  private int countRemaining(TreeSet<String> oldMachines) throws Exception {
    TreeSet<String> remaining = machineIds();
    remaining.retainAll(oldMachines);
    return remaining.size();
  }

  /**
   * Returns how many tasks run on the emulated machines themselves, whichever controller leads.
   * Fails if a task runs in two places.
   */
  private int countRunningReplicas() throws Exception {
    Map<String, Integer> runningCopies = new TreeMap<>();
    for (JsonNode machine : requestOutside("/emulator/machines").path("machines")) {
      for (JsonNode task : machine.path("tasks")) {
        if (task.path("status").asText().equals("running")) {
          runningCopies.merge(task.path("task").asText(), 1, Integer::sum);
        }
      }
    }
    runningCopies.forEach((task, n) -> assertEquals(1, n, task + " runs in " + n + " places"));
    return runningCopies.size();
  }

  private Path writeService(int index) throws Exception {
    Path file = folder.resolve("s" + index + ".json");
    Files.writeString(
        file,
        """
        {"ref":"sv-%06d","jobclass":"c","owner":"default","shape":"daemon","rank":"critical",
         "steps":%d,"vcpus":1.0,"accelerators":0,"memoryGb":1.0,"bundle":"i","imageGb":0.1,
         "together":false,"apart":true,"loaners":false,"guessS":0,"snapshotEveryS":0,"snapshotS":0}
        """
            .formatted(index, REPLICAS));
    return file;
  }
}
