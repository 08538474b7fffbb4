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

/** The real codec, both ways, over loopback. */
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

  private String raw(String request) throws Exception {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.setSoTimeout(20_000);
      s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      s.getOutputStream().flush();
      InputStream in = s.getInputStream();
      byte[] buffer = new byte[4096];
      int n = in.read(buffer);
      return n < 0 ? "" : new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
    }
  }

  @Test
  void carriesRequestsAndAnswers() throws Exception {
    for (int i = 0; i < 20; i++) {
      HttpReply r = call("127.0.0.1:" + port, "POST", "/a/" + i + "?q=1", new byte[i], 10_000);
      assertEquals(200, r.status());
      assertEquals("POST/a/" + i + i, new String(r.body(), StandardCharsets.UTF_8));
    }
    assertTrue(
        raw("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n").toLowerCase().contains("retry-after: 7"));
  }

  @Test
  void refusesOversizedAndMalformedRequestsOnTheirConnectionAlone() throws Exception {
    String large = raw("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\nabc");
    assertTrue(large.startsWith("HTTP/1.1 400"), large);
    String garbage = raw("NONSENSE\r\n\r\n");
    assertTrue(garbage.startsWith("HTTP/1.1 400"), garbage);
    assertEquals(200, call("127.0.0.1:" + port, "GET", "/a", null, 10_000).status());
  }

  @Test
  void tellsWhatWasSurelyNotSentFromWhatIsUnknown() throws Exception {
    int unused;
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unused = s.getLocalPort();
    }
    assertEquals(
        HttpReply.NOT_SENT, call("127.0.0.1:" + unused, "GET", "/a", null, 10_000).status());
    try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HttpReply r = call("127.0.0.1:" + silent.getLocalPort(), "POST", "/a", new byte[3], 200);
      assertEquals(HttpReply.UNKNOWN, r.status());
    }
  }

  /** An orderly end: what is open is answered, what comes is told to go elsewhere. */
  @Test
  void anOrderlyEndAnswersWhatIsOpen() throws Exception {
    java.util.concurrent.CompletableFuture<dapplestair.ports.Exchange> asked =
        new java.util.concurrent.CompletableFuture<>();
    HttpServer ending = new HttpServer(loop, HttpServer.Options.users(5), asked::complete);
    int at = ending.start(new Address("127.0.0.1", 0));
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), at);
        Socket kept = new Socket(InetAddress.getLoopbackAddress(), at)) {
      s.setSoTimeout(20_000);
      kept.setSoTimeout(20_000);
      byte[] request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
      s.getOutputStream().write(request);
      dapplestair.ports.Exchange open = asked.get();
      java.util.concurrent.CountDownLatch answered = new java.util.concurrent.CountDownLatch(1);
      java.util.concurrent.CountDownLatch drained = new java.util.concurrent.CountDownLatch(1);
      loop.executor()
          .execute(
              () -> {
                ending.drain(answered::countDown);
                drained.countDown();
              });
      drained.await();
      kept.getOutputStream().write(request);
      String late = new String(kept.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
      assertEquals("HTTP/1.1 503", late);
      assertEquals(1, answered.getCount());
      loop.executor().execute(() -> open.reply(200, new byte[0], 0));
      String first = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(first.startsWith("HTTP/1.1 200") && first.contains("connection: close"), first);
      answered.await();
    }
  }
}
