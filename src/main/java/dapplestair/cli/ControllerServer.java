package dapplestair.cli;

import dapplestair.admin.Authenticator;
import dapplestair.admin.CredentialStore;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;
import dapplestair.netty.HttpServer;
import dapplestair.netty.PeerLinks;
import dapplestair.netty.TlsFiles;
import dapplestair.node.Controller;
import dapplestair.node.ControllerEnvironment;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;

/** A controller on Netty, with its listeners. */
final class ControllerServer {
  /** A property, so that the run line of a deployment says it and no file has to be read for it. */
  private static final String LAUNCH_BATCHES = "dapplestair.launchSheets";

  private static final int MOST_CALLS_PER_ENDPOINT = 16;
  private static final int ADMIN_IDLE_S = 60;
  private static final long ANSWERS_WITHIN_MS = 5000;

  private final ControllerEventLoop loop;
  private final Controller controller;
  private final HttpServer users;
  private final HttpServer admin;
  private final int userPort;
  private final int adminPort;

  private ControllerServer(
      ControllerEventLoop loop,
      Controller controller,
      HttpServer users,
      int userPort,
      HttpServer admin,
      int adminPort) {
    this.loop = loop;
    this.controller = controller;
    this.users = users;
    this.userPort = userPort;
    this.admin = admin;
    this.adminPort = adminPort;
  }

  /** Builds a controller, binds its listeners and starts it. */
  static ControllerServer start(Settings settings, OperatorSettings operatorSettings)
      throws InterruptedException, SettingsException {
    ControllerEventLoop loop = new ControllerEventLoop();
    HttpPool http =
        new HttpPool(
            loop,
            MOST_CALLS_PER_ENDPOINT,
            settings.workers().reportMs() / 4,
            settings.resources().maxConnections() / 2);
    ControllerEnvironment environment =
        new ControllerEnvironment(
            loop,
            loop,
            loop,
            http,
            new PeerLinks(loop, settings),
            RandomSource.XO_RO_SHI_RO_128_PP.create(),
            Boolean.getBoolean(LAUNCH_BATCHES));
    OperatorSettings.Admin on = operatorSettings.admin();
    Controller controller =
        new Controller(
            settings, operatorSettings, environment, on == null ? null : access(on, loop));
    // Some sockets stay free for the calls that this controller itself makes.
    int incoming = settings.resources().maxConnections() * 3 / 4;
    HttpServer users = new HttpServer(loop, HttpServer.Options.users(incoming), controller::handle);
    int userPort = users.start(settings.clientListen());
    HttpServer admin = on == null ? null : admin(on, loop, controller);
    int adminPort = admin == null ? -1 : admin.start(on.listen());
    loop.executor().execute(controller::start);
    return new ControllerServer(loop, controller, users, userPort, admin, adminPort);
  }

  private static Authenticator access(OperatorSettings.Admin on, ControllerEventLoop loop)
      throws SettingsException {
    try {
      if (on.tokens() != null) {
        return CredentialStore.watch(on.tokens(), loop, loop);
      }
      return on.tls() == null ? Authenticator.allowAll() : CredentialStore.certificatesOnly();
    } catch (IOException e) {
      throw new SettingsException(on.tokens() + ": cannot be read: " + e.getMessage());
    }
  }

  private static HttpServer admin(
      OperatorSettings.Admin on, ControllerEventLoop loop, Controller controller)
      throws SettingsException {
    try {
      TlsFiles tls = on.tls() == null ? null : TlsFiles.watch(on.tls(), loop, loop);
      HttpServer.Options options =
          new HttpServer.Options(on.mostConnections(), true, ADMIN_IDLE_S, tls);
      return new HttpServer(loop, options, controller::operators);
    } catch (IOException e) {
      throw new SettingsException(e.getMessage());
    }
  }

  ControllerEventLoop loop() {
    return loop;
  }

  int userPort() {
    return userPort;
  }

  /** Port of the operators' interface, -1 when it is off. */
  int adminPort() {
    return adminPort;
  }

  /** Waits until the controller may launch tasks; false when that took too long. */
  boolean await(long mostMs) throws InterruptedException {
    CountDownLatch serving = new CountDownLatch(1);
    loop.executor().execute(() -> look(serving));
    return serving.await(mostMs, TimeUnit.MILLISECONDS);
  }

  private void look(CountDownLatch serving) {
    if (controller.serving()) {
      serving.countDown();
    } else {
      loop.after(10, () -> look(serving));
    }
  }

  /** Takes no more requests, answers the open ones, gives the lead away. */
  void stop() throws InterruptedException {
    CountDownLatch answered = new CountDownLatch(admin == null ? 1 : 2);
    loop.executor()
        .execute(
            () -> {
              users.drain(answered::countDown);
              if (admin != null) {
                admin.drain(answered::countDown);
              }
            });
    answered.await(ANSWERS_WITHIN_MS, TimeUnit.MILLISECONDS);
    CountDownLatch left = new CountDownLatch(1);
    loop.executor()
        .execute(
            () -> {
              controller.leave();
              // What was just written leaves before the sockets close.
              loop.after(50, left::countDown);
            });
    left.await(1, TimeUnit.SECONDS);
    loop.close();
  }
}
