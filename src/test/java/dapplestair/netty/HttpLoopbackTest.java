package dapplestair.netty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.HttpReply;
import dapplestair.settings.Settings.Address;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the HTTP server and client against each other over real loopback sockets. */
class HttpLoopbackTest {
  private final ControllerEventLoop loop = new ControllerEventLoop();
  private HttpServer server;
  private HttpPool pool;
  private int port;

  @BeforeEach
  void start() throws Exception {
    server =
        new HttpServer(
            loop,
            HttpServer.Options.users(3),
            x ->
                x.reply(
                    x.path().equals("/busy") ? 503 : 200,
                    (x.method() + x.path() + x.body().length).getBytes(StandardCharsets.UTF_8),
                    x.path().equals("/busy") ? 7 : 0));
    port = server.start(new Address("127.0.0.1", 0));
    pool = new HttpPool(loop, 2, 1000);
  }

  @AfterEach
  void stop() {
    server.close();
    loop.close();
  }

  private HttpReply call(String endpoint, String method, String path, byte[] body, long timeout)
      throws Exception {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    loop.executor()
        .execute(() -> pool.call(endpoint, method, path, body, timeout, reply::complete));
    return reply.get(20, TimeUnit.SECONDS);
  }

  private String sendRaw(String request) throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[4096];
      int length = in.read(buffer);
      return length < 0 ? "" : new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
    }
  }

  @Test
  void carriesRequestsAndResponses() throws Exception {
    for (int i = 0; i < 20; i++) {
      HttpReply reply = call("127.0.0.1:" + port, "POST", "/a/" + i + "?q=1", new byte[i], 10_000);
      assertEquals(200, reply.status());
      assertEquals("POST/a/" + i + i, new String(reply.body(), StandardCharsets.UTF_8));
    }
    assertTrue(
        sendRaw("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n").toLowerCase().contains("retry-after: 7"));
  }

  @Test
  void refusesOversizedAndMalformedRequestsWithoutAffectingOtherConnections() throws Exception {
    String large = sendRaw("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\nabc");
    assertTrue(large.startsWith("HTTP/1.1 400"), large);
    String garbage = sendRaw("NONSENSE\r\n\r\n");
    assertTrue(garbage.startsWith("HTTP/1.1 400"), garbage);
    assertEquals(200, call("127.0.0.1:" + port, "GET", "/a", null, 10_000).status());
  }

  @Test
  void distinguishesUnsentRequestsFromUnknownOutcomes() throws Exception {
    int unusedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unusedPort = socket.getLocalPort();
    }
    assertEquals(
        HttpReply.NOT_SENT, call("127.0.0.1:" + unusedPort, "GET", "/a", null, 10_000).status());
    try (ServerSocket silentServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HttpReply reply =
          call("127.0.0.1:" + silentServer.getLocalPort(), "POST", "/a", new byte[3], 200);
      assertEquals(HttpReply.UNKNOWN, reply.status());
    }
  }

  /**
   * During an orderly shutdown pending requests are answered, and new ones are refused with 503.
   */
  @Test
  void drainingServerCompletesPendingAndRefusesNewRequests() throws Exception {
    java.util.concurrent.CompletableFuture<dapplestair.ports.Exchange> received =
        new java.util.concurrent.CompletableFuture<>();
    HttpServer drainingServer =
        new HttpServer(loop, HttpServer.Options.users(5), received::complete);
    int drainingPort = drainingServer.start(new Address("127.0.0.1", 0));
    try (Socket pendingSocket = new Socket(InetAddress.getLoopbackAddress(), drainingPort);
        Socket keptAliveSocket = new Socket(InetAddress.getLoopbackAddress(), drainingPort)) {
      pendingSocket.setSoTimeout(20_000);
      keptAliveSocket.setSoTimeout(20_000);
      byte[] request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
      pendingSocket.getOutputStream().write(request);
      dapplestair.ports.Exchange pendingExchange = received.get();
      java.util.concurrent.CountDownLatch allCompleted = new java.util.concurrent.CountDownLatch(1);
      java.util.concurrent.CountDownLatch drainStarted = new java.util.concurrent.CountDownLatch(1);
      loop.executor()
          .execute(
              () -> {
                drainingServer.drain(allCompleted::countDown);
                drainStarted.countDown();
              });
      drainStarted.await();
      keptAliveSocket.getOutputStream().write(request);
      String lateResponse =
          new String(keptAliveSocket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
      assertEquals("HTTP/1.1 503", lateResponse);
      assertEquals(1, allCompleted.getCount());
      loop.executor().execute(() -> pendingExchange.reply(200, new byte[0], 0));
      String firstResponse =
          new String(pendingSocket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(
          firstResponse.startsWith("HTTP/1.1 200") && firstResponse.contains("connection: close"),
          firstResponse);
      allCompleted.await();
    }
  }
}
