package dapplestair.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.session.Processes.Service;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lanes, calendar cycles and image locations that are lost with the controller. Real
 * processes run a lane, a calendar and jobs with a model's image at once; the controller is killed
 * between the acceptance of a job with right of way and its start, suspended and resumed, and
 * killed again while a cycle collects its deliveries.
 */
@Tag("session")
class LaneCalendarSessionTest {
  private static final Duration WAIT_LIMIT = Duration.ofSeconds(40);

  private static final String OPERATOR_SETTINGS =
      """
      lane { name: "gateway" riders: "orders" over: "settlement" rank: "high" over_rank: "standard" }
      calendar {
        name: "basin" runs: "model" deliveries: "gauge" period_s: 86400 complete: 2 cut_off_s: 86400
      }
      """;

  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  @TempDir private Path folder;
  private Processes processes;
  private String outsideAddress;
  private String usersAddress;

  private Service startDaemon() throws Exception {
    Path operator = Files.writeString(folder.resolve("trade.textproto"), OPERATOR_SETTINGS);
    Service daemon =
        processes.startService(
            "daemon",
            "--operator",
            operator.toString(),
            "--outside",
            outsideAddress,
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0");
    usersAddress = daemon.address("users");
    return daemon;
  }

  /** Submits a job, and repeats the submission until it is accepted, as users do. */
  private void submit(String ref, String jobClass, String rank, int taskCount, double runS)
      throws Exception {
    String body =
        """
        {"ref":"%s","jobclass":"%s","owner":"default","shape":"sweep","rank":"%s","steps":%d,
         "vcpus":2.0,"accelerators":0,"memoryGb":1.0,"bundle":"weights","imageGb":0.5,
         "together":false,"apart":false,"loaners":true,"guessS":%s,"snapshotEveryS":0,"snapshotS":0}
        """
            .formatted(ref, jobClass, rank, taskCount, runS);
    awaitCondition(
        ref + " is accepted",
        () -> {
          int status = send("/submissions", body).statusCode();
          return status == 200 || status == 201;
        });
  }

  private HttpResponse<byte[]> send(String path, String body) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + usersAddress + path))
            .timeout(Duration.ofSeconds(5));
    if (body != null) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private JsonNode readJob(String ref) throws Exception {
    HttpResponse<byte[]> response = send("/submissions/" + ref, null);
    return response.statusCode() == 200 ? Json.parse(response.body()) : Json.object();
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private void awaitCondition(String description, Condition condition) throws Exception {
    long deadlineNs = System.nanoTime() + WAIT_LIMIT.toNanos();
    while (System.nanoTime() < deadlineNs) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (IOException e) {
        // No controller answers at present.
      }
      Thread.sleep(50);
    }
    throw new AssertionError("condition not met within " + WAIT_LIMIT + ": " + description);
  }

  private void awaitDone(String ref) throws Exception {
    awaitCondition(ref + " is done", () -> readJob(ref).path("status").asText().equals("done"));
  }

  private static void sendSignal(Service service, String name) throws Exception {
    Process process = new ProcessBuilder("kill", "-" + name, "" + service.process().pid()).start();
    assertTrue(process.waitFor(5, TimeUnit.SECONDS));
  }

  private int storedRowCount(String prefix) throws Exception {
    URI uri = URI.create("http://" + outsideAddress + "/kv?prefix=" + prefix + "&limit=1000");
    HttpResponse<byte[]> response =
        http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
    return Json.parse(response.body()).path("rows").size();
  }

  @Test
  void lanesCyclesAndImagesSurviveControllerKills() throws Exception {
    try (Processes testProcesses = new Processes(folder)) {
      processes = testProcesses;
      outsideAddress =
          testProcesses.startService("emulate", "--listen", "127.0.0.1:0").address("outside");
      Service first = startDaemon();
      submit("s-1", "settlement", "standard", 600, 120);
      awaitCondition(
          "batches fill the machines", () -> readJob("s-1").path("running").asInt() >= 100);
      submit("m-1", "model", "high", 2, 1);
      submit("o-1", "orders", "high", 8, 1);
      first.kill();

      Service second = startDaemon();
      awaitDone("o-1");
      assertEquals("queued", readJob("m-1").path("status").asText(), "started before any delivery");
      submit("g-1", "gauge", "high", 1, 0.5);
      awaitDone("g-1");
      assertEquals(
          "queued", readJob("m-1").path("status").asText(), "started after one of two deliveries");
      sendSignal(second, "STOP");
      Thread.sleep(2500);
      sendSignal(second, "CONT");
      submit("o-2", "orders", "high", 8, 1);
      awaitDone("o-2");
      second.kill();

      startDaemon();
      submit("g-2", "gauge", "high", 1, 0.5);
      awaitDone("m-1");
      awaitCondition("no claim outlives its rider", () -> storedRowCount("live/lane/") == 0);
      assertTrue(storedRowCount("live/calendar/basin") >= 1, "the release is not on record");
    }
  }
}
