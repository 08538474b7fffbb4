package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Passes the requests of one controller to the cloud, unchanged and undelayed, and records them.
 * Before it passes on a release, it asks the workers' stand-in what runs on the machines, and the
 * state service who leads.
 */
public final class CloudProxy implements AutoCloseable {
  /** A machine that a controller returned: what was on it, and who led at that moment. */
  public record Release(double atS, int by, int leader, String machine, List<String> tasks) {}

  private final Lab lab;
  private final int controller;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<Release> releases = new CopyOnWriteArrayList<>();
  private final Set<String> listed = ConcurrentHashMap.newKeySet();

  CloudProxy(Lab lab, int controller) throws IOException {
    this.lab = lab;
    this.controller = controller;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  List<Release> releases() {
    return releases;
  }

  Set<String> listed() {
    return listed;
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String path = exchange.getRequestURI().toString();
    if (path.equals("/rentals/release")) {
      recordRelease(Lab.JSON.readTree(body));
    } else if (path.equals("/rentals") && exchange.getRequestMethod().equals("POST")) {
      lab.note("stairhost-%d rents: %s", controller, new String(body));
    }
    try {
      HttpResponse<byte[]> response =
          http.send(
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + lab.outsidePort + path))
                  .method(
                      exchange.getRequestMethod(), HttpRequest.BodyPublishers.ofByteArray(body))
                  .build(),
              HttpResponse.BodyHandlers.ofByteArray());
      byte[] answer = response.body();
      if (path.startsWith("/rentals?")) {
        JsonNode list = Lab.JSON.readTree(answer);
        for (JsonNode host : list.path("hosts")) {
          listed.add(host.path("ref").asText());
          if (lab.workerLinks != null && host.path("endpoint").isTextual()) {
            ((ObjectNode) host)
                .put("endpoint", lab.workerLinks.proxyOf(host.get("endpoint").asText()));
          }
        }
        answer = Lab.JSON.writeValueAsBytes(list);
      }
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(response.statusCode(), answer.length);
      exchange.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private void recordRelease(JsonNode body) {
    JsonNode machines = lab.machines();
    int leader = lab.leader();
    List<String> names = new ArrayList<>();
    body.path("hosts").forEach(host -> names.add(host.asText()));
    for (JsonNode machine : machines) {
      String id = machine.path("id").asText();
      if (names.contains(id)) {
        Release release =
            new Release(lab.seconds(), controller, leader, id, Lab.tasksOn(machine));
        releases.add(release);
        lab.note(
            "stairhost-%d returns %s; leader is stairhost-%d; on the machine: %s",
            controller, id, leader, release.tasks());
      }
    }
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
