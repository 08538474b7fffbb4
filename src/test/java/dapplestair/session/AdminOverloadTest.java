package dapplestair.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.admin.CredentialStore;
import dapplestair.json.Json;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients of the admin interface that block it for others: too large or incomplete
 * requests, too many connections, and listings while many jobs arrive.
 */
@Tag("session")
class AdminOverloadTest {
  private static final int MAX_CONNECTIONS = 32;

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();

  private HttpResponse<byte[]> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private static String jobJson(int index) {
    return """
        {"ref":"pr-%05d","jobclass":"c","owner":"default","shape":"sweep","rank":"standard","steps":1,
         "vcpus":1.0,"accelerators":0,"memoryGb":1.0,"bundle":"i","imageGb":0.1,"together":false,
         "apart":false,"loaners":true,"guessS":600,"snapshotEveryS":0,"snapshotS":0}
        """
        .formatted(index);
  }

  @Test
  void enforcesLimitsAndListsDuringBurst() throws Exception {
    try (Processes processes = new Processes(folder)) {
      Processes.Service daemon =
          processes.startService("daemon", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0");
      String admin = "http://" + daemon.address("admin");
      assertRequestLimits(admin);
      assertIncompleteRequestsDoNotBlock(daemon.address("admin"), admin);
      assertListingsDuringBurst(admin, "http://" + daemon.address("users"));
      assertEquals(0, daemon.terminate());
    }
  }

  /** Roles are enforced, metrics are served, and every logged line is JSON. */
  @Test
  void enforcesRolesServesMetricsAndLogsJson() throws Exception {
    Files.writeString(
        folder.resolve("tokens"),
        "vera view "
            + CredentialStore.hash("v")
            + "\notto operate "
            + CredentialStore.hash("o")
            + "\n");
    Path operator = folder.resolve("operator.textproto");
    Files.writeString(operator, "admin { listen: \"127.0.0.1:0\" tokens: \"tokens\" }\n");
    try (Processes processes = new Processes(folder)) {
      Processes.Service daemon =
          processes.startService(
              Map.of("LOG_FORMAT", "json", "LOG_LEVEL", "debug"),
              "daemon",
              "--listen",
              "127.0.0.1:0",
              "--operator",
              operator.toString());
      String admin = "http://" + daemon.address("admin");
      assertEquals(401, statusOf(admin, "/v1/status", null, null));
      assertEquals(401, statusOf(admin, "/metrics", "wrong", null));
      assertEquals(200, statusOf(admin, "/v1/status", "v", null));
      assertEquals(403, statusOf(admin, "/v1/zones/a/drain", "v", "{}"));
      assertEquals(403, statusOf(admin, "/submissions", "v", jobJson(1)));
      assertEquals(200, statusOf(admin, "/v1/zones/a/drain", "o", "{}"));
      assertEquals(201, statusOf(admin, "/submissions", "o", jobJson(1)));
      assertEquals(200, statusOf(admin, "/submissions/pr-00001", "v", null));
      HttpResponse<byte[]> metrics = send(request(admin, "/metrics", "v"));
      String text = new String(metrics.body(), StandardCharsets.UTF_8);
      assertTrue(text.contains("\ndapplestair_leading 1.0\n"), text);
      assertTrue(text.contains("dapplestair_submission_accept_seconds_bucket{le="), text);
      assertEquals(0, daemon.terminate());
      List<String> lines = Files.readAllLines(daemon.err());
      assertTrue(lines.size() > 5);
      for (String line : lines) {
        JsonNode logRecord = Json.parse(line.getBytes(StandardCharsets.UTF_8));
        assertTrue(logRecord.path("message").isTextual(), line);
      }
      assertTrue(lines.stream().anyMatch(l -> l.contains("{\"kind\":\"drain\"}")));
    }
  }

  private static HttpRequest.Builder request(String admin, String path, String token) {
    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(admin + path));
    return token == null ? request : request.header("Authorization", "Bearer " + token);
  }

  private int statusOf(String admin, String path, String token, String body) throws Exception {
    HttpRequest.Builder request = request(admin, path, token);
    return send(body == null ? request : request.POST(HttpRequest.BodyPublishers.ofString(body)))
        .statusCode();
  }

  private void assertRequestLimits(String admin) throws Exception {
    URI drain = URI.create(admin + "/v1/machines/n-000000/drain");
    String largestBody = "{\"why\":\"" + "x".repeat(64 * 1024 - 10) + "\"}";
    assertEquals(64 * 1024, largestBody.length());
    HttpResponse<byte[]> response =
        send(HttpRequest.newBuilder(drain).POST(HttpRequest.BodyPublishers.ofString(largestBody)));
    // A body of the maximum size is read, and refused for its content or because the machine does
    // not exist yet.
    assertTrue(
        response.statusCode() == 400 || response.statusCode() == 404,
        "status " + response.statusCode());
    HttpResponse<byte[]> tooLargeResponse =
        send(
            HttpRequest.newBuilder(drain)
                .POST(HttpRequest.BodyPublishers.ofString(largestBody + " ")));
    assertEquals(400, tooLargeResponse.statusCode());
    assertTrue(new String(tooLargeResponse.body(), StandardCharsets.UTF_8).contains("64 KiB"));
    String longFilter = "tasks%20%3D%201%20or%20".repeat(160) + "spot";
    HttpResponse<byte[]> longFilterResponse =
        send(HttpRequest.newBuilder(URI.create(admin + "/v1/jobs?where=" + longFilter)));
    assertEquals(400, longFilterResponse.statusCode());
    assertEquals(
        400,
        send(HttpRequest.newBuilder(drain).POST(HttpRequest.BodyPublishers.ofString("{\"why\":")))
            .statusCode());
    assertEquals(
        405,
        send(HttpRequest.newBuilder(URI.create(admin + "/v1/machines/n-1/drain"))).statusCode());
  }

  private void assertIncompleteRequestsDoNotBlock(String address, String admin) throws Exception {
    String[] hostAndPort = address.split(":");
    List<Socket> incompleteRequests = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS - 2; i++) {
      Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
      socket.getOutputStream().write("GET /v1/status HT".getBytes(StandardCharsets.US_ASCII));
      incompleteRequests.add(socket);
    }
    HttpRequest.Builder statusRequest = HttpRequest.newBuilder(URI.create(admin + "/v1/status"));
    assertEquals(200, send(statusRequest).statusCode());
    // Connections beyond the maximum are answered with 503 and not left open without an answer.
    int rejectedCount = 0;
    for (int i = 0; i < 8; i++) {
      try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
        socket.setSoTimeout(10_000);
        socket
            .getOutputStream()
            .write(
                "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        incompleteRequests.add(new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
        InputStream in = socket.getInputStream();
        String statusLineStart = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
        rejectedCount += statusLineStart.equals("HTTP/1.1 503") ? 1 : 0;
      }
    }
    assertTrue(rejectedCount > 0, "no connection beyond the maximum was answered with 503");
    for (Socket socket : incompleteRequests) {
      socket.close();
    }
  }

  /**
   * Asserts that a listing made while jobs arrive has every job that was accepted before the
   * listing began, once.
   */
  private void assertListingsDuringBurst(String admin, String users) throws Exception {
    Set<String> accepted = java.util.concurrent.ConcurrentHashMap.newKeySet();
    List<CompletableFuture<?>> submissions = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      int number = i;
      HttpRequest submission =
          HttpRequest.newBuilder(URI.create(users + "/submissions"))
              .POST(HttpRequest.BodyPublishers.ofString(jobJson(i)))
              .build();
      submissions.add(
          http.sendAsync(submission, HttpResponse.BodyHandlers.discarding())
              .thenAccept(
                  x -> {
                    if (x.statusCode() == 201) {
                      accepted.add("pr-%05d".formatted(number));
                    }
                  }));
      if (i % 100 == 50) {
        Set<String> acceptedBefore = new HashSet<>(accepted);
        List<String> listedJobs = listJobs(admin);
        assertEquals(listedJobs.size(), new TreeSet<>(listedJobs).size(), "a job is listed twice");
        assertEquals(
            new ArrayList<>(new TreeSet<>(listedJobs)), listedJobs, "jobs are not listed in order");
        assertTrue(
            new HashSet<>(listedJobs).containsAll(acceptedBefore),
            "a job accepted before the listing began is missing from it");
      }
    }
    CompletableFuture.allOf(submissions.toArray(CompletableFuture[]::new)).get();
    assertTrue(
        accepted.size() > 300, accepted.size() + " submissions accepted, expected more than 300");
  }

  private List<String> listJobs(String admin) throws Exception {
    List<String> refs = new ArrayList<>();
    String pageParameter = "";
    while (pageParameter != null) {
      URI uri = URI.create(admin + "/v1/jobs?limit=60" + pageParameter);
      HttpResponse<byte[]> response = send(HttpRequest.newBuilder(uri));
      assertEquals(200, response.statusCode(), new String(response.body(), StandardCharsets.UTF_8));
      JsonNode page = Json.parse(response.body());
      page.path("rows").forEach(x -> refs.add(x.path("ref").asText()));
      pageParameter = page.path("next").isTextual() ? "&after=" + page.path("next").asText() : null;
    }
    return refs;
  }
}
