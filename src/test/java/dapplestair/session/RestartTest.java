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

/** The client in each phase of a restart, against a service that is in just that phase. */
@Tag("session")
class RestartTest {
  private static final byte[] GOOD = Json.bytes(Json.object().put("leader", "now").put("term", 2));

  @TempDir private Path folder;
  private final ControllerEventLoop loop = new ControllerEventLoop();
  private final List<AutoCloseable> open = new ArrayList<>();
  private Processes processes;

  @BeforeEach
  void begin() {
    processes = new Processes(folder);
  }

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable c : open) {
      c.close();
    }
    processes.close();
    loop.close();
  }

  private String serve(Consumer<Exchange> by) throws Exception {
    HttpServer s = new HttpServer(loop, HttpServer.Options.users(50), by);
    open.add(s);
    return "http://127.0.0.1:" + s.start(new Address("127.0.0.1", 0));
  }

  private static Consumer<Exchange> says(int status, String why) {
    return x -> x.reply(status, Json.bytes(Json.object().put("error", why)), 1);
  }

  private Processes.Ended ask(String timeout, String... endpoints) throws Exception {
    return processes.run(
        Map.of("DAPPLESTAIR_ENDPOINT", String.join(",", endpoints)),
        "status",
        "-o",
        "json",
        "--timeout",
        timeout);
  }

  private static void unreachable(Processes.Ended e, String... lines) {
    assertEquals(3, e.code(), e.err());
    assertEquals("", e.out());
    for (String line : lines) {
      assertTrue(e.err().contains(line), line + " is not in: " + e.err());
    }
  }

  @Test
  void aPortThatIsClosed() throws Exception {
    int port;
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    unreachable(ask("3s", "http://127.0.0.1:" + port), port + ": connection refused", "tried for");
  }

  @Test
  void acceptedButNeverAnswered() throws Exception {
    unreachable(ask("600ms", serve(x -> {})), "no answer in time");
  }

  @Test
  void notReadyAndNoLeaderAndStateServiceOut() throws Exception {
    String reading = serve(says(503, "this controller is still reading the records"));
    String alone = serve(says(503, "no leader can be asked: nobody leads"));
    String out = serve(says(503, "the state service does not answer"));
    unreachable(
        ask("900ms", reading, alone, out),
        reading + ": 503 this controller is still reading",
        alone + ": 503 no leader can be asked",
        out + ": 503 the state service");
  }

  @Test
  void theNextEndpointAnswers() throws Exception {
    String out = serve(says(503, "the leader has just changed"));
    Processes.Ended e = ask("20s", out, serve(x -> x.reply(200, GOOD, 0)));
    assertEquals(0, e.code(), e.err());
    assertTrue(e.out().contains("\"term\":2"), e.out());
  }

  @Test
  void ready503ThenWell() throws Exception {
    int[] asked = {0};
    String later =
        serve(
            x -> {
              if (asked[0]++ < 2) {
                says(503, "not yet").accept(x);
              } else {
                x.reply(200, GOOD, 0);
              }
            });
    assertEquals(0, ask("30s", later).code());
  }

  /** It comes, but after the time is up: it must not be printed. */
  @Test
  void anAnswerThatComesTooLate() throws Exception {
    String late = serve(x -> loop.after(1500, () -> x.reply(200, GOOD, 0)));
    unreachable(ask("500ms", late), "no answer in time");
  }

  /** Headers in time, and then half a body. */
  @Test
  void anAnswerThatStopsHalfway() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    open.add(server);
    Thread t = new Thread(() -> halves(server));
    t.setDaemon(true);
    t.start();
    unreachable(ask("700ms", "http://127.0.0.1:" + server.getLocalPort()), "no answer in time");
  }

  private void halves(ServerSocket server) {
    try {
      while (true) {
        Socket s = server.accept();
        open.add(s);
        s.getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"leader\":"
                    .getBytes(StandardCharsets.US_ASCII));
        s.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  @Test
  void refusalsAreFinal() throws Exception {
    int[] asked = {0};
    String no =
        serve(
            x -> {
              asked[0]++;
              says(403, "this needs the role operate").accept(x);
            });
    Processes.Ended e = ask("20s", no);
    assertEquals(5, e.code());
    assertTrue(e.err().contains("this needs the role operate"), e.err());
    assertEquals(1, asked[0]);
  }
}
