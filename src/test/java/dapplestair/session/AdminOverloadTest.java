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

/** What the operators' interface does with those who ask too much, too long or half. */
@Tag("session")
class AdminOverloadTest {
  private static final int MOST_CONNECTIONS = 32;

  @TempDir private Path folder;
  private final HttpClient http = HttpClient.newHttpClient();

  private HttpResponse<byte[]> send(HttpRequest.Builder b) throws Exception {
    return http.send(b.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private static String job(int i) {
    return """
        {"ref":"pr-%05d","jobclass":"c","owner":"default","shape":"sweep","rank":"standard","steps":1,
         "vcpus":1.0,"accelerators":0,"memoryGb":1.0,"bundle":"i","imageGb":0.1,"together":false,
         "apart":false,"loaners":true,"guessS":600,"snapshotEveryS":0,"snapshotS":0}
        """
        .formatted(i);
  }

  @Test
  void bodiesConnectionsAndBursts() throws Exception {
    try (Processes p = new Processes(folder)) {
      Processes.Service d = p.start("daemon", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0");
      String admin = "http://" + d.address("admin");
      bodies(admin);
      halfRequestsHoldUpNobody(d.address("admin"), admin);
      listingDuringABurst(admin, "http://" + d.address("users"));
      assertEquals(0, d.terminate());
    }
  }

  /** Roles are kept, figures are served, and every logged line is JSON. */
  @Test
  void tokensRolesFiguresAndLines() throws Exception {
    Files.writeString(
        folder.resolve("tokens"),
        "vera view "
            + CredentialStore.hash("v")
            + "\notto operate "
            + CredentialStore.hash("o")
            + "\n");
    Path operator = folder.resolve("operator.textproto");
    Files.writeString(operator, "admin { listen: \"127.0.0.1:0\" tokens: \"tokens\" }\n");
    try (Processes p = new Processes(folder)) {
      Processes.Service d =
          p.start(
              Map.of("LOG_FORMAT", "json", "LOG_LEVEL", "debug"),
              "daemon",
              "--listen",
              "127.0.0.1:0",
              "--operator",
              operator.toString());
      String admin = "http://" + d.address("admin");
      assertEquals(401, ask(admin, "/v1/status", null, null));
      assertEquals(401, ask(admin, "/metrics", "wrong", null));
      assertEquals(200, ask(admin, "/v1/status", "v", null));
      assertEquals(403, ask(admin, "/v1/zones/a/drain", "v", "{}"));
      assertEquals(403, ask(admin, "/submissions", "v", job(1)));
      assertEquals(200, ask(admin, "/v1/zones/a/drain", "o", "{}"));
      assertEquals(201, ask(admin, "/submissions", "o", job(1)));
      assertEquals(200, ask(admin, "/submissions/pr-00001", "v", null));
      HttpResponse<byte[]> figures = send(request(admin, "/metrics", "v"));
      String text = new String(figures.body(), StandardCharsets.UTF_8);
      assertTrue(text.contains("\ndapplestair_leading 1.0\n"), text);
      assertTrue(text.contains("dapplestair_submission_accept_seconds_bucket{le="), text);
      assertEquals(0, d.terminate());
      List<String> lines = Files.readAllLines(d.err());
      assertTrue(lines.size() > 5);
      for (String line : lines) {
        JsonNode n = Json.parse(line.getBytes(StandardCharsets.UTF_8));
        assertTrue(n.path("message").isTextual(), line);
      }
      assertTrue(lines.stream().anyMatch(l -> l.contains("{\"kind\":\"drain\"}")));
    }
  }

  private static HttpRequest.Builder request(String admin, String path, String token) {
    HttpRequest.Builder b = HttpRequest.newBuilder(URI.create(admin + path));
    return token == null ? b : b.header("Authorization", "Bearer " + token);
  }

  private int ask(String admin, String path, String token, String body) throws Exception {
    HttpRequest.Builder b = request(admin, path, token);
    return send(body == null ? b : b.POST(HttpRequest.BodyPublishers.ofString(body))).statusCode();
  }

  private void bodies(String admin) throws Exception {
    URI drain = URI.create(admin + "/v1/machines/n-000000/drain");
    String most = "{\"why\":\"" + "x".repeat(64 * 1024 - 10) + "\"}";
    assertEquals(64 * 1024, most.length());
    HttpResponse<byte[]> r =
        send(HttpRequest.newBuilder(drain).POST(HttpRequest.BodyPublishers.ofString(most)));
    // As large as allowed: read, and refused for what it says; the machine may not be there yet.
    assertTrue(r.statusCode() == 400 || r.statusCode() == 404, "status " + r.statusCode());
    HttpResponse<byte[]> over =
        send(HttpRequest.newBuilder(drain).POST(HttpRequest.BodyPublishers.ofString(most + " ")));
    assertEquals(400, over.statusCode());
    assertTrue(new String(over.body(), StandardCharsets.UTF_8).contains("64 KiB"));
    String where = "tasks%20%3D%201%20or%20".repeat(160) + "spot";
    HttpResponse<byte[]> long_ =
        send(HttpRequest.newBuilder(URI.create(admin + "/v1/jobs?where=" + where)));
    assertEquals(400, long_.statusCode());
    assertEquals(
        400,
        send(HttpRequest.newBuilder(drain).POST(HttpRequest.BodyPublishers.ofString("{\"why\":")))
            .statusCode());
    assertEquals(
        405,
        send(HttpRequest.newBuilder(URI.create(admin + "/v1/machines/n-1/drain"))).statusCode());
  }

  private void halfRequestsHoldUpNobody(String address, String admin) throws Exception {
    String[] at = address.split(":");
    List<Socket> half = new ArrayList<>();
    for (int i = 0; i < MOST_CONNECTIONS - 2; i++) {
      Socket s = new Socket(at[0], Integer.parseInt(at[1]));
      s.getOutputStream().write("GET /v1/status HT".getBytes(StandardCharsets.US_ASCII));
      half.add(s);
    }
    HttpRequest.Builder ask = HttpRequest.newBuilder(URI.create(admin + "/v1/status"));
    assertEquals(200, send(ask).statusCode());
    // Those beyond the bound are told so, and not left hanging.
    int told = 0;
    for (int i = 0; i < 8; i++) {
      try (Socket s = new Socket(at[0], Integer.parseInt(at[1]))) {
        s.setSoTimeout(10_000);
        s.getOutputStream()
            .write(
                "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        half.add(new Socket(at[0], Integer.parseInt(at[1])));
        InputStream in = s.getInputStream();
        String head = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
        told += head.equals("HTTP/1.1 503") ? 1 : 0;
      }
    }
    assertTrue(told > 0, "nobody was told 503");
    for (Socket s : half) {
      s.close();
    }
  }

  /** Every job accepted before a listing began is in it, once, while others arrive. */
  private void listingDuringABurst(String admin, String users) throws Exception {
    Set<String> accepted = java.util.concurrent.ConcurrentHashMap.newKeySet();
    List<CompletableFuture<?>> all = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      int n = i;
      HttpRequest r =
          HttpRequest.newBuilder(URI.create(users + "/submissions"))
              .POST(HttpRequest.BodyPublishers.ofString(job(i)))
              .build();
      all.add(
          http.sendAsync(r, HttpResponse.BodyHandlers.discarding())
              .thenAccept(
                  x -> {
                    if (x.statusCode() == 201) {
                      accepted.add("pr-%05d".formatted(n));
                    }
                  }));
      if (i % 100 == 50) {
        Set<String> before = new HashSet<>(accepted);
        List<String> listed = list(admin);
        assertEquals(listed.size(), new TreeSet<>(listed).size(), "listed twice");
        assertEquals(new ArrayList<>(new TreeSet<>(listed)), listed, "in order");
        assertTrue(new HashSet<>(listed).containsAll(before), "accepted, but not listed");
      }
    }
    CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).get();
    assertTrue(accepted.size() > 300, accepted.size() + " accepted");
  }

  private List<String> list(String admin) throws Exception {
    List<String> out = new ArrayList<>();
    String after = "";
    while (after != null) {
      URI uri = URI.create(admin + "/v1/jobs?limit=60" + after);
      HttpResponse<byte[]> r = send(HttpRequest.newBuilder(uri));
      assertEquals(200, r.statusCode(), new String(r.body(), StandardCharsets.UTF_8));
      JsonNode page = Json.parse(r.body());
      page.path("rows").forEach(x -> out.add(x.path("ref").asText()));
      after = page.path("next").isTextual() ? "&after=" + page.path("next").asText() : null;
    }
    return out;
  }
}
