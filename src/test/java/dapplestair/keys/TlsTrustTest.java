package dapplestair.keys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.admin.CredentialStore;
import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpServer;
import dapplestair.netty.TlsFiles;
import dapplestair.ports.Exchange;
import dapplestair.session.Processes;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings.Address;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Who trusts whom over TLS, with the client as a process of its own. */
class TlsTrustTest {
  private static final Duration DAY = Duration.ofDays(1);
  private static final List<String> HERE = List.of("localhost", "127.0.0.1");

  @TempDir private Path folder;
  private final ControllerEventLoop loop = new ControllerEventLoop();
  private CertificateAuthority ca;
  private CredentialStore credentials;
  private Processes processes;

  @BeforeEach
  void make() throws Exception {
    ca = CertificateAuthority.create("us", Instant.now(), DAY);
    write("ca", ca.own());
    write("anna", ca.client("anna", "operate", Instant.now(), DAY));
    Files.writeString(
        folder.resolve("tokens"), "# none\nvera view " + CredentialStore.hash("t0") + "\n");
    credentials = CredentialStore.watch(folder.resolve("tokens"), loop, loop);
    processes = new Processes(folder);
  }

  @AfterEach
  void end() {
    processes.close();
    loop.close();
  }

  private void write(String name, CertificateAuthority.Issued issued) throws Exception {
    Files.writeString(folder.resolve(name + ".pem"), issued.certificate());
    Files.writeString(folder.resolve(name + ".key"), issued.key());
  }

  /** Serves with this certificate; answers who the caller is. */
  private int serve(String name, CertificateAuthority.Issued issued) throws Exception {
    write(name, issued);
    TlsFiles tls =
        TlsFiles.watch(
            new OperatorSettings.Tls(
                folder.resolve(name + ".pem"),
                folder.resolve(name + ".key"),
                folder.resolve("ca.pem")),
            loop,
            loop);
    return new HttpServer(loop, new HttpServer.Options(4, true, 20, tls), this::answer)
        .start(new Address("127.0.0.1", 0));
  }

  private void answer(Exchange x) {
    var who = credentials.identify(x);
    if (who == null) {
      x.reply(401, Json.bytes(Json.object().put("error", "who are you?")), 0);
    } else {
      x.reply(
          200,
          Json.bytes(Json.object().put("name", who.name()).put("operates", who.mayOperate())),
          0);
    }
  }

  private Processes.Ended ask(int port, String authority, String more) throws Exception {
    Path config = folder.resolve("dapplestair");
    Files.createDirectories(config);
    String toml =
        "[contexts.x]\nendpoints = [\"https://127.0.0.1:"
            + port
            + "\"]\nauthority = \""
            + folder.resolve(authority + ".pem")
            + "\"\n"
            + more;
    Files.writeString(config.resolve("client.toml"), toml);
    return processes.run(Map.of(), "status", "--context", "x", "-o", "json", "--timeout", "20s");
  }

  private void refused(Processes.Ended e, String line) {
    assertEquals(5, e.code(), e.err());
    assertEquals("", e.out());
    assertTrue(e.err().contains(line), e.err());
  }

  @Test
  void certificatesThatCannotBeTrustedAreRefusedInOneLine() throws Exception {
    Instant before = Instant.now().minus(Duration.ofDays(3));
    refused(
        ask(serve("old", ca.server(HERE, before, DAY)), "ca", "token = \"t0\"\n"), "has expired");
    refused(
        ask(
            serve("far", ca.server(List.of("10.9.9.9"), Instant.now(), DAY)),
            "ca",
            "token = \"t0\"\n"),
        "is for another name");
    CertificateAuthority other = CertificateAuthority.create("them", Instant.now(), DAY);
    write("them", other.own());
    int port = serve("good", ca.server(HERE, Instant.now(), DAY));
    refused(ask(port, "them", "token = \"t0\"\n"), "is from another authority");
  }

  @Test
  void tokensAndCertificatesSayWhoSomebodyIs() throws Exception {
    int port = serve("good", ca.server(HERE, Instant.now(), DAY));
    assertTrue(ask(port, "ca", "token = \"t0\"\n").out().contains("\"vera\",\"operates\":false"));
    refused(ask(port, "ca", "token = \"t1\"\n"), "who are you?");
    refused(ask(port, "ca", ""), "who are you?");
    String anna =
        "certificate = \"%s\"\nkey = \"%s\"\n"
            .formatted(folder.resolve("anna.pem"), folder.resolve("anna.key"));
    assertTrue(ask(port, "ca", anna).out().contains("\"anna\",\"operates\":true"));
    // A client certificate of somebody else's authority ends the connection.
    CertificateAuthority other = CertificateAuthority.create("them", Instant.now(), DAY);
    write("eve", other.client("eve", "operate", Instant.now(), DAY));
    Processes.Ended eve = ask(port, "ca", anna.replace("anna", "eve"));
    assertTrue(eve.code() != 0 && eve.out().isEmpty(), eve.toString());
  }

  /** Files that change are read again: without a restart, and a bad one leaves all as it was. */
  @Test
  void filesAreReadAgain() throws Exception {
    Path file = folder.resolve("tokens");
    Files.writeString(file, "otto operate " + CredentialStore.hash("t2") + "\nnonsense\n");
    Files.setLastModifiedTime(
        file, java.nio.file.attribute.FileTime.from(Instant.now().plusSeconds(60)));
    for (int i = 0; i < 600 && who("t2") == null; i++) {
      Thread.sleep(20);
    }
    assertEquals("otto", who("t2"));
    assertEquals(null, who("t0"));
    assertEquals(null, who(""));
  }

  private String who(String token) throws Exception {
    CompletableFuture<String> out = new CompletableFuture<>();
    loop.executor()
        .execute(
            () -> {
              var k = credentials.identify(new Shown("Bearer " + token));
              out.complete(k == null ? null : k.name());
            });
    return out.get();
  }

  private record Shown(String authorization) implements Exchange {
    @Override
    public String method() {
      return "GET";
    }

    @Override
    public String path() {
      return "/";
    }

    @Override
    public byte[] body() {
      return new byte[0];
    }

    @Override
    public String header(String name) {
      return name.equals("authorization") ? authorization : null;
    }

    @Override
    public void reply(int status, byte[] body, int retryAfterS) {}
  }
}
