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
 * Real processes with a lane, a calendar and a model's image at once: the controller is killed
 * between a rider's acceptance and its start, stopped and continued, and killed again while a cycle
 * gathers its deliveries.
 */
@Tag("session")
class LaneCalendarSessionTest {
  private static final Duration SOON = Duration.ofSeconds(40);

  private static final String TRADE =
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
  private String outside;
  private String users;

  private Service daemon() throws Exception {
    Path operator = Files.writeString(folder.resolve("trade.textproto"), TRADE);
    Service d =
        processes.start(
            "daemon",
            "--operator",
            operator.toString(),
            "--outside",
            outside,
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0");
    users = d.address("users");
    return d;
  }

  /** Repeats a submission until it is accepted, as users do. */
  private void submit(String ref, String jobClass, String rank, int steps, double runS)
      throws Exception {
    String body =
        """
        {"ref":"%s","jobclass":"%s","owner":"default","shape":"sweep","rank":"%s","steps":%d,
         "vcpus":2.0,"accelerators":0,"memoryGb":1.0,"bundle":"weights","imageGb":0.5,
         "together":false,"apart":false,"loaners":true,"guessS":%s,"snapshotEveryS":0,"snapshotS":0}
        """
            .formatted(ref, jobClass, rank, steps, runS);
    until(
        ref + " is accepted",
        () -> {
          int status = send("/submissions", body).statusCode();
          return status == 200 || status == 201;
        });
  }

  private HttpResponse<byte[]> send(String path, String body) throws Exception {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://" + users + path)).timeout(Duration.ofSeconds(5));
    if (body != null) {
      b.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    return http.send(b.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private JsonNode job(String ref) throws Exception {
    HttpResponse<byte[]> r = send("/submissions/" + ref, null);
    return r.statusCode() == 200 ? Json.parse(r.body()) : Json.object();
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private void until(String what, Condition condition) throws Exception {
    long end = System.nanoTime() + SOON.toNanos();
    while (System.nanoTime() < end) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (IOException e) {
        // Nobody answers just now.
      }
      Thread.sleep(50);
    }
    throw new AssertionError("not within " + SOON + ": " + what);
  }

  private void untilDone(String ref) throws Exception {
    until(ref + " is done", () -> job(ref).path("status").asText().equals("done"));
  }

  private static void signal(Service s, String name) throws Exception {
    Process p = new ProcessBuilder("kill", "-" + name, "" + s.process().pid()).start();
    assertTrue(p.waitFor(5, TimeUnit.SECONDS));
  }

  private int recorded(String prefix) throws Exception {
    URI uri = URI.create("http://" + outside + "/kv?prefix=" + prefix + "&limit=1000");
    HttpResponse<byte[]> r =
        http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
    return Json.parse(r.body()).path("rows").size();
  }

  @Test
  void lanesCyclesAndImagesOutliveTheController() throws Exception {
    try (Processes p = new Processes(folder)) {
      processes = p;
      outside = p.start("emulate", "--listen", "127.0.0.1:0").address("outside");
      Service first = daemon();
      submit("s-1", "settlement", "standard", 600, 120);
      until("batches fill the machines", () -> job("s-1").path("running").asInt() >= 100);
      submit("m-1", "model", "high", 2, 1);
      submit("o-1", "orders", "high", 8, 1);
      first.kill();

      Service second = daemon();
      untilDone("o-1");
      assertEquals("queued", job("m-1").path("status").asText(), "nothing was delivered yet");
      submit("g-1", "gauge", "high", 1, 0.5);
      untilDone("g-1");
      assertEquals("queued", job("m-1").path("status").asText(), "one delivery of two");
      signal(second, "STOP");
      Thread.sleep(2500);
      signal(second, "CONT");
      submit("o-2", "orders", "high", 8, 1);
      untilDone("o-2");
      second.kill();

      daemon();
      submit("g-2", "gauge", "high", 1, 0.5);
      untilDone("m-1");
      until("no claim outlives its rider", () -> recorded("live/lane/") == 0);
      assertTrue(recorded("live/calendar/basin") >= 1, "the release is not on record");
    }
  }
}
