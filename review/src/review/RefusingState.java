package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The way of one controller to the state service: passes requests on, or answers all of them with
 * 503, as the state service does while it refuses this controller alone; watches that are open then
 * wait.
 */
public final class RefusingState implements AutoCloseable {
  private final Lab lab;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  public volatile boolean refuses;

  public RefusingState(Lab lab) throws IOException {
    this.lab = lab;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  public int port() {
    return server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      int status = 503;
      byte[] answer = "{}".getBytes();
      if (!refuses) {
        HttpResponse<byte[]> response =
            http.send(
                HttpRequest.newBuilder(
                        URI.create(
                            "http://127.0.0.1:" + lab.outsidePort + exchange.getRequestURI()))
                    .method(
                        exchange.getRequestMethod(), HttpRequest.BodyPublishers.ofByteArray(body))
                    .build(),
                HttpResponse.BodyHandlers.ofByteArray());
        // While it refuses, watches that were open before wait, as they do in an outage.
        while (refuses && exchange.getRequestURI().getPath().equals("/changes")) {
          Thread.sleep(50);
        }
        status = response.statusCode();
        answer = response.body();
      }
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, answer.length);
      exchange.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
