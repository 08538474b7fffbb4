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
  private final Loop loop = new Loop();
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
}
