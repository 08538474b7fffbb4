package dapplestair.netty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.peers.PeerAsk;
import dapplestair.ports.PeerNetwork;
import dapplestair.settings.Settings;
import dapplestair.settings.Settings.Address;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the links between two controllers over real loopback sockets. */
class PeerLinksTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long PORT_TAKEN_MS = 400;

  private final ControllerEventLoop loop = new ControllerEventLoop();

  @AfterEach
  void stop() {
    loop.close();
  }

  private static Settings settings(String member, Address bind, String peer, Address peerAddress) {
    return new Settings(
        member,
        "zone",
        null,
        bind,
        List.of(new Settings.Peer(peer, "zone", peerAddress)),
        "cloud:1",
        "state:1",
        List.of("zone"),
        Map.of(),
        List.of(),
        null,
        null,
        null,
        null);
  }

  /** Takes a free port, as a process that is ending does for a moment. */
  private static ServerSocket takePort() throws Exception {
    return new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
  }

  private static class IgnoringListener implements PeerNetwork.Listener {
    @Override
    public void messageReceived(String member, Object message) {}

    @Override
    public void linkUp(String member) {}

    @Override
    public void linkDown(String member) {}

    @Override
    public void malformedMessageReceived() {}

    @Override
    public void connectionRefused(String member) {}
  }

  /** Guards against a controller that stays deaf since its port was taken as it started. */
  @Test
  void listensOnceThePortIsFree() throws Exception {
    try (ServerSocket earlierProcess = takePort();
        ServerSocket unused = takePort()) {
      Address restartedAt = new Address(LOOPBACK, earlierProcess.getLocalPort());
      Address peerAt = new Address(LOOPBACK, unused.getLocalPort());
      unused.close();
      CompletableFuture<Object> received = new CompletableFuture<>();
      PeerLinks restarted = new PeerLinks(loop, settings("node-0", restartedAt, "node-1", peerAt));
      restarted.listen(
          new IgnoringListener() {
            @Override
            public void messageReceived(String member, Object message) {
              received.complete(message);
            }
          });
      PeerLinks peer = new PeerLinks(loop, settings("node-1", peerAt, "node-0", restartedAt));
      peer.listen(
          new IgnoringListener() {
            @Override
            public void linkUp(String member) {
              // The first link may lead to the process that still holds the port.
              peer.send(member, new PeerAsk(1, "topic", new byte[0]));
            }
          });
      loop.executor().execute(restarted::start);
      loop.executor().execute(peer::start);
      Thread.sleep(PORT_TAKEN_MS);
      earlierProcess.close();
      PeerAsk ask = (PeerAsk) received.get(20, TimeUnit.SECONDS);
      assertEquals("topic", ask.topic());
    }
  }
}
