package review;

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
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The network between controllers and workers. Reports are passed on with the address of a proxy in
 * place of the worker's own, so that direct commands come through here. While {@link #lateShare} is
 * above 0, that share of the commands is held up: the caller gets no answer, and the command
 * reaches the worker 2 to 16 s later.
 */
public final class WorkerLinks implements AutoCloseable {
  private final Lab lab;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Integer> portsByWorker = new ConcurrentHashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Random random = new Random();
  public volatile double lateShare;

  WorkerLinks(Lab lab) {
    this.lab = lab;
  }

  private interface Handler {
    void handle(HttpExchange exchange, byte[] body) throws IOException, InterruptedException;
  }

  private synchronized int serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(executor);
    server.createContext(
        "/",
        exchange -> {
          try (exchange) {
            handler.handle(exchange, exchange.getRequestBody().readAllBytes());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    server.start();
    servers.add(server);
    return server.getAddress().getPort();
  }

  /** Opens the address to which workers report in place of a controller's own. */
  int reportsTo(int controllerPort) throws IOException {
    return serve(
        (exchange, body) -> {
          ObjectNode report = (ObjectNode) Lab.JSON.readTree(body);
          report.put("endpoint", proxyOf(report.get("endpoint").asText()));
          pass(exchange, "127.0.0.1:" + controllerPort, Lab.JSON.writeValueAsBytes(report));
        });
  }

  /** Returns the address under which controllers reach a worker. */
  String proxyOf(String worker) throws IOException {
    Integer port = portsByWorker.get(worker);
    if (port == null) {
      synchronized (this) {
        port = portsByWorker.get(worker);
        if (port == null) {
          port = serve((exchange, body) -> command(exchange, worker, body));
          portsByWorker.put(worker, port);
        }
      }
    }
    return "127.0.0.1:" + port;
  }

  private void command(HttpExchange exchange, String worker, byte[] body)
      throws IOException, InterruptedException {
    if (exchange.getRequestURI().getPath().equals("/orders") && random.nextDouble() < lateShare) {
      long lateMs = 2000 + random.nextInt(14000);
      lab.note("held up for %d ms on its way to %s: %s", lateMs, worker, new String(body));
      executor.execute(
          () -> {
            try {
              Thread.sleep(lateMs);
              send("POST", worker, "/orders", body);
            } catch (IOException e) {
              lab.note("not delivered to %s: %s", worker, e);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      // The caller waits for an answer that does not come.
      Thread.sleep(5000);
      return;
    }
    pass(exchange, worker, body);
  }

  private void pass(HttpExchange exchange, String target, byte[] body)
      throws IOException, InterruptedException {
    HttpResponse<byte[]> response =
        send(exchange.getRequestMethod(), target, exchange.getRequestURI().toString(), body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(response.statusCode(), response.body().length);
    exchange.getResponseBody().write(response.body());
  }

  private HttpResponse<byte[]> send(String method, String target, String path, byte[] body)
      throws IOException, InterruptedException {
    return http.send(
        HttpRequest.newBuilder(URI.create("http://" + target + path))
            .timeout(Duration.ofSeconds(60))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build(),
        HttpResponse.BodyHandlers.ofByteArray());
  }

  @Override
  public synchronized void close() {
    servers.forEach(server -> server.stop(0));
    executor.shutdownNow();
  }
}
