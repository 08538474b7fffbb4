package dapplestair.daemon;

import dapplestair.emulator.EmulatorEnvironment;
import dapplestair.emulator.RequestHandler;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;
import dapplestair.netty.HttpServer;
import dapplestair.ports.Cancellable;
import dapplestair.ports.HttpReply;
import dapplestair.settings.Settings.Address;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Provides the emulated components with real time and with loopback sockets. */
final class LoopbackEnvironment implements EmulatorEnvironment {
  private static final Logger LOG = LoggerFactory.getLogger(LoopbackEnvironment.class);
  private static final String HOST = "127.0.0.1";
  private static final int MAX_CONNECTIONS_PER_MACHINE = 16;
  // The port of a machine that has lost power stays open without answering for this long, which is
  // longer than any lease. After the lease no controller calls the machine any more.
  private static final long SILENCE_BEFORE_CLOSE_MS = 60_000;

  private final ControllerEventLoop loop;
  private final HttpPool http;
  private final UniformRandomProvider random;
  private final Map<String, HttpServer> serversByName = new HashMap<>();

  LoopbackEnvironment(ControllerEventLoop loop, HttpPool http, UniformRandomProvider random) {
    this.loop = loop;
    this.http = http;
    this.random = random;
  }

  @Override
  public long now() {
    return loop.now();
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    return loop.after(delayMs, task);
  }

  @Override
  public boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  @Override
  public long between(long low, long high) {
    return low + random.nextLong(Math.max(1, high - low + 1));
  }

  @Override
  public double fraction() {
    return random.nextDouble();
  }

  @Override
  public String address(String name) {
    return null;
  }

  @Override
  public void open(String name, RequestHandler handler, Consumer<String> onOpened) {
    HttpServer.Options options = HttpServer.Options.users(MAX_CONNECTIONS_PER_MACHINE);
    HttpServer server =
        new HttpServer(loop, options, exchange -> EmulatorHttpAdapter.forward(exchange, handler));
    server.startAsync(
        new Address(HOST, 0),
        port -> {
          if (port < 0) {
            LOG.error("no loopback port could be opened for {}; it cannot be reached", name);
            return;
          }
          serversByName.put(name, server);
          onOpened.accept(HOST + ":" + port);
        });
  }

  private void close(String name) {
    HttpServer server = serversByName.remove(name);
    if (server != null) {
      server.close();
    }
  }

  @Override
  public void removeMachine(String name) {
    loop.after(SILENCE_BEFORE_CLOSE_MS, () -> close(name));
  }

  @Override
  public void call(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done) {
    http.call(to, method, path, body, timeoutMs, done);
  }
}
