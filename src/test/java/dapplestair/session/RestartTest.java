package dapplestair.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpServer;
import dapplestair.ports.Exchange;
import dapplestair.settings.Settings.Address;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a command line that fails, hangs or prints stale output while controllers restart.
 * The client runs against a server that imitates one phase of a restart.
 */
@Tag("session")
class RestartTest {
  private static final byte[] STATUS_BODY =
      Json.bytes(Json.object().put("leader", "now").put("term", 2));

  @TempDir private Path folder;
  private final ControllerEventLoop eventLoop = new ControllerEventLoop();
  private final List<AutoCloseable> openResources = new ArrayList<>();
  private Processes processes;

  @BeforeEach
  void setUp() {
    processes = new Processes(folder);
  }

  @AfterEach
  void tearDown() throws Exception {
    for (AutoCloseable resource : openResources) {
      resource.close();
    }
    processes.close();
    eventLoop.close();
  }

  private String serve(Consumer<Exchange> handler) throws Exception {
    HttpServer server = new HttpServer(eventLoop, HttpServer.Options.users(50), handler);
    openResources.add(server);
    return "http://127.0.0.1:" + server.start(new Address("127.0.0.1", 0));
  }

  private static Consumer<Exchange> replyWith(int status, String why) {
    return x -> x.reply(status, Json.bytes(Json.object().put("error", why)), 1);
  }

  private Processes.CommandResult runStatus(String timeout, String... endpoints) throws Exception {
    return processes.run(
        Map.of("DAPPLESTAIR_ENDPOINT", String.join(",", endpoints)),
        "status",
        "-o",
        "json",
        "--timeout",
        timeout);
  }

  private static void assertUnreachable(Processes.CommandResult result, String... lines) {
    assertEquals(3, result.code(), result.err());
    assertEquals("", result.out());
    for (String line : lines) {
      assertTrue(
          result.err().contains(line),
          line + " is not in the command's standard error: " + result.err());
    }
  }

  @Test
  void reportsClosedPort() throws Exception {
    int port;
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    assertUnreachable(
        runStatus("3s", "http://127.0.0.1:" + port), port + ": connection refused", "tried for");
  }

  @Test
  void reportsRequestThatIsNeverAnswered() throws Exception {
    assertUnreachable(runStatus("600ms", serve(x -> {})), "no answer in time");
  }

  @Test
  void reportsWhyEachEndpointIsUnavailable() throws Exception {
    String notReadyUrl = serve(replyWith(503, "this controller is still reading the records"));
    String noLeaderUrl = serve(replyWith(503, "no leader can be asked: nobody leads"));
    String noStateServiceUrl = serve(replyWith(503, "the state service does not answer"));
    assertUnreachable(
        runStatus("900ms", notReadyUrl, noLeaderUrl, noStateServiceUrl),
        notReadyUrl + ": 503 this controller is still reading",
        noLeaderUrl + ": 503 no leader can be asked",
        noStateServiceUrl + ": 503 the state service");
  }

  @Test
  void usesNextEndpointThatAnswers() throws Exception {
    String leaderChangedUrl = serve(replyWith(503, "the leader has just changed"));
    Processes.CommandResult result =
        runStatus("20s", leaderChangedUrl, serve(x -> x.reply(200, STATUS_BODY, 0)));
    assertEquals(0, result.code(), result.err());
    assertTrue(result.out().contains("\"term\":2"), result.out());
  }

  @Test
  void retriesAfter503() throws Exception {
    int[] requestCount = {0};
    String laterReadyUrl =
        serve(
            x -> {
              if (requestCount[0]++ < 2) {
                replyWith(503, "not yet").accept(x);
              } else {
                x.reply(200, STATUS_BODY, 0);
              }
            });
    assertEquals(0, runStatus("30s", laterReadyUrl).code());
  }

  /** A response that comes after the timeout must not be printed. */
  @Test
  void ignoresResponseAfterTimeout() throws Exception {
    String lateUrl = serve(x -> eventLoop.after(1500, () -> x.reply(200, STATUS_BODY, 0)));
    assertUnreachable(runStatus("500ms", lateUrl), "no answer in time");
  }

  /** The server sends the headers in time, and then half a body. */
  @Test
  void ignoresIncompleteResponse() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    openResources.add(server);
    Thread serverThread = new Thread(() -> sendIncompleteResponses(server));
    serverThread.setDaemon(true);
    serverThread.start();
    assertUnreachable(
        runStatus("700ms", "http://127.0.0.1:" + server.getLocalPort()), "no answer in time");
  }

  private void sendIncompleteResponses(ServerSocket server) {
    try {
      while (true) {
        Socket connection = server.accept();
        openResources.add(connection);
        connection
            .getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"leader\":"
                    .getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The test has ended and closed the server socket.
    }
  }

  @Test
  void doesNotRetryForbiddenRequest() throws Exception {
    int[] requestCount = {0};
    String forbiddingUrl =
        serve(
            x -> {
              requestCount[0]++;
              replyWith(403, "this needs the role operate").accept(x);
            });
    Processes.CommandResult result = runStatus("20s", forbiddingUrl);
    assertEquals(5, result.code());
    assertTrue(result.err().contains("this needs the role operate"), result.err());
    assertEquals(1, requestCount[0]);
  }
}
