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

/**
 * Tests authentication over TLS in both directions, with the client as a separate process: the
 * client must reject a server certificate that it cannot trust, and the server must reject an
 * unknown token or client certificate.
 */
class TlsTrustTest {
  private static final Duration DAY = Duration.ofDays(1);
  private static final List<String> LOOPBACK_NAMES = List.of("localhost", "127.0.0.1");

  @TempDir private Path folder;
  private final ControllerEventLoop loop = new ControllerEventLoop();
  private CertificateAuthority ca;
  private CredentialStore credentials;
  private Processes processes;

  @BeforeEach
  void setUp() throws Exception {
    ca = CertificateAuthority.create("us", Instant.now(), DAY);
    write("ca", ca.ownCertificate());
    write("anna", ca.issueClientCertificate("anna", "operate", Instant.now(), DAY));
    Files.writeString(
        folder.resolve("tokens"), "# none\nvera view " + CredentialStore.hash("t0") + "\n");
    credentials = CredentialStore.watch(folder.resolve("tokens"), loop, loop);
    processes = new Processes(folder);
  }

  @AfterEach
  void tearDown() {
    processes.close();
    loop.close();
  }

  private void write(String name, CertificateAuthority.IssuedCertificate issued) throws Exception {
    Files.writeString(folder.resolve(name + ".pem"), issued.certificatePem());
    Files.writeString(folder.resolve(name + ".key"), issued.keyPem());
  }

  /** Starts a server with this certificate that replies who the caller is; returns its port. */
  private int startServer(String name, CertificateAuthority.IssuedCertificate issued)
      throws Exception {
    write(name, issued);
    TlsFiles tls =
        TlsFiles.watch(
            new OperatorSettings.Tls(
                folder.resolve(name + ".pem"),
                folder.resolve(name + ".key"),
                folder.resolve("ca.pem")),
            loop,
            loop);
    return new HttpServer(loop, new HttpServer.Options(4, true, 20, tls), this::replyWithIdentity)
        .start(new Address("127.0.0.1", 0));
  }

  private void replyWithIdentity(Exchange exchange) {
    var identity = credentials.identify(exchange);
    if (identity == null) {
      exchange.reply(401, Json.bytes(Json.object().put("error", "who are you?")), 0);
    } else {
      exchange.reply(
          200,
          Json.bytes(
              Json.object().put("name", identity.name()).put("operates", identity.mayOperate())),
          0);
    }
  }

  private Processes.CommandResult runStatusCommand(int port, String authority, String extraSettings)
      throws Exception {
    Path config = folder.resolve("dapplestair");
    Files.createDirectories(config);
    String toml =
        "[contexts.x]\nendpoints = [\"https://127.0.0.1:"
            + port
            + "\"]\nauthority = \""
            + folder.resolve(authority + ".pem")
            + "\"\n"
            + extraSettings;
    Files.writeString(config.resolve("client.toml"), toml);
    return processes.run(Map.of(), "status", "--context", "x", "-o", "json", "--timeout", "20s");
  }

  private void assertRefused(Processes.CommandResult result, String expectedText) {
    assertEquals(5, result.code(), result.err());
    assertEquals("", result.out());
    assertTrue(result.err().contains(expectedText), result.err());
  }

  @Test
  void certificatesThatCannotBeTrustedAreRefusedInOneLine() throws Exception {
    Instant threeDaysAgo = Instant.now().minus(Duration.ofDays(3));
    assertRefused(
        runStatusCommand(
            startServer("old", ca.issueServerCertificate(LOOPBACK_NAMES, threeDaysAgo, DAY)),
            "ca",
            "token = \"t0\"\n"),
        "has expired");
    assertRefused(
        runStatusCommand(
            startServer("far", ca.issueServerCertificate(List.of("10.9.9.9"), Instant.now(), DAY)),
            "ca",
            "token = \"t0\"\n"),
        "is for another name");
    CertificateAuthority otherAuthority = CertificateAuthority.create("them", Instant.now(), DAY);
    write("them", otherAuthority.ownCertificate());
    int port = startServer("good", ca.issueServerCertificate(LOOPBACK_NAMES, Instant.now(), DAY));
    assertRefused(runStatusCommand(port, "them", "token = \"t0\"\n"), "is from another authority");
  }

  @Test
  void tokensAndCertificatesIdentifyTheCaller() throws Exception {
    int port = startServer("good", ca.issueServerCertificate(LOOPBACK_NAMES, Instant.now(), DAY));
    assertTrue(
        runStatusCommand(port, "ca", "token = \"t0\"\n")
            .out()
            .contains("\"vera\",\"operates\":false"));
    assertRefused(runStatusCommand(port, "ca", "token = \"t1\"\n"), "who are you?");
    assertRefused(runStatusCommand(port, "ca", ""), "who are you?");
    String anna =
        "certificate = \"%s\"\nkey = \"%s\"\n"
            .formatted(folder.resolve("anna.pem"), folder.resolve("anna.key"));
    assertTrue(runStatusCommand(port, "ca", anna).out().contains("\"anna\",\"operates\":true"));
    // The server closes the connection if the client certificate is from another authority.
    CertificateAuthority otherAuthority = CertificateAuthority.create("them", Instant.now(), DAY);
    write("eve", otherAuthority.issueClientCertificate("eve", "operate", Instant.now(), DAY));
    Processes.CommandResult eveResult = runStatusCommand(port, "ca", anna.replace("anna", "eve"));
    assertTrue(eveResult.code() != 0 && eveResult.out().isEmpty(), eveResult.toString());
  }

  /**
   * A changed token file is reloaded without a restart, and a malformed line in it is skipped. (A
   * file that cannot be read leaves the tokens as they were, which is not tested here.)
   */
  @Test
  void changedTokenFileIsReloaded() throws Exception {
    Path tokenFile = folder.resolve("tokens");
    Files.writeString(tokenFile, "otto operate " + CredentialStore.hash("t2") + "\nnonsense\n");
    Files.setLastModifiedTime(
        tokenFile, java.nio.file.attribute.FileTime.from(Instant.now().plusSeconds(60)));
    for (int i = 0; i < 600 && callerName("t2") == null; i++) {
      Thread.sleep(20);
    }
    assertEquals("otto", callerName("t2"));
    assertEquals(null, callerName("t0"));
    assertEquals(null, callerName(""));
  }

  private String callerName(String token) throws Exception {
    CompletableFuture<String> nameFuture = new CompletableFuture<>();
    loop.executor()
        .execute(
            () -> {
              var identity = credentials.identify(new AuthorizationExchange("Bearer " + token));
              nameFuture.complete(identity == null ? null : identity.name());
            });
    return nameFuture.get();
  }

  private record AuthorizationExchange(String authorization) implements Exchange {
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
