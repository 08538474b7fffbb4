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

/** A controller on Netty, with its listeners for users and operators. */
final class ControllerServer {
  /**
   * System property that enables launch batches. It is a property so that a deployment can set it
   * on the command line that runs the controller, and no file has to be read for it.
   */
  private static final String LAUNCH_BATCHES_PROPERTY = "dapplestair.launchSheets";

  private static final int MAX_CALLS_PER_ENDPOINT = 16;
  private static final int ADMIN_IDLE_TIMEOUT_S = 60;
  private static final long DRAIN_TIMEOUT_MS = 5000;

  private final ControllerEventLoop loop;
  private final Controller controller;
  private final HttpServer userServer;
  private final HttpServer adminServer;
  private final int userPort;
  private final int adminPort;

  private ControllerServer(
      ControllerEventLoop loop,
      Controller controller,
      HttpServer userServer,
      int userPort,
      HttpServer adminServer,
      int adminPort) {
    this.loop = loop;
    this.controller = controller;
    this.userServer = userServer;
    this.userPort = userPort;
    this.adminServer = adminServer;
    this.adminPort = adminPort;
  }

  /** Builds a controller, binds its listeners and starts the controller. */
  static ControllerServer start(Settings settings, OperatorSettings operatorSettings)
      throws InterruptedException, SettingsException {
    ControllerEventLoop loop = new ControllerEventLoop();
    HttpPool http =
        new HttpPool(
            loop,
            MAX_CALLS_PER_ENDPOINT,
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
            Boolean.getBoolean(LAUNCH_BATCHES_PROPERTY));
    OperatorSettings.Admin adminSettings = operatorSettings.admin();
    Controller controller =
        new Controller(
            settings,
            operatorSettings,
            environment,
            adminSettings == null ? null : createAuthenticator(adminSettings, loop));
    // Users get three quarters of the sockets, so that some stay free for this controller's calls.
    int maxUserConnections = settings.resources().maxConnections() * 3 / 4;
    HttpServer userServer =
        new HttpServer(loop, HttpServer.Options.users(maxUserConnections), controller::handle);
    int userPort = userServer.start(settings.clientListen());
    HttpServer adminServer =
        adminSettings == null ? null : createAdminServer(adminSettings, loop, controller);
    int adminPort = adminServer == null ? -1 : adminServer.start(adminSettings.listen());
    loop.executor().execute(controller::start);
    return new ControllerServer(loop, controller, userServer, userPort, adminServer, adminPort);
  }

  private static Authenticator createAuthenticator(
      OperatorSettings.Admin adminSettings, ControllerEventLoop loop) throws SettingsException {
    try {
      if (adminSettings.tokens() != null) {
        return CredentialStore.watch(adminSettings.tokens(), loop, loop);
      }
      return adminSettings.tls() == null
          ? Authenticator.allowAll()
          : CredentialStore.certificatesOnly();
    } catch (IOException e) {
      throw new SettingsException(adminSettings.tokens() + ": cannot be read: " + e.getMessage());
    }
  }

  private static HttpServer createAdminServer(
      OperatorSettings.Admin adminSettings, ControllerEventLoop loop, Controller controller)
      throws SettingsException {
    try {
      TlsFiles tls =
          adminSettings.tls() == null ? null : TlsFiles.watch(adminSettings.tls(), loop, loop);
      HttpServer.Options options =
          new HttpServer.Options(adminSettings.maxConnections(), true, ADMIN_IDLE_TIMEOUT_S, tls);
      return new HttpServer(loop, options, controller::handleOperatorRequest);
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

  /** Returns the port of the operators' interface, or -1 if that interface is off. */
  int adminPort() {
    return adminPort;
  }

  /**
   * Waits until the controller may launch tasks.
   *
   * @return false if the controller was not ready within the timeout
   */
  boolean awaitServing(long timeoutMs) throws InterruptedException {
    CountDownLatch servingLatch = new CountDownLatch(1);
    loop.executor().execute(() -> checkServing(servingLatch));
    return servingLatch.await(timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void checkServing(CountDownLatch servingLatch) {
    if (controller.isServing()) {
      servingLatch.countDown();
    } else {
      loop.after(10, () -> checkServing(servingLatch));
    }
  }

  /** Stops accepting requests, answers the open ones, and gives up leadership. */
  void stop() throws InterruptedException {
    CountDownLatch drainedLatch = new CountDownLatch(adminServer == null ? 1 : 2);
    loop.executor()
        .execute(
            () -> {
              userServer.drain(drainedLatch::countDown);
              if (adminServer != null) {
                adminServer.drain(drainedLatch::countDown);
              }
            });
    drainedLatch.await(DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    CountDownLatch departedLatch = new CountDownLatch(1);
    loop.executor()
        .execute(
            () -> {
              controller.resignAndClose();
              // Data that was just written is sent before the sockets close.
              loop.after(50, departedLatch::countDown);
            });
    departedLatch.await(1, TimeUnit.SECONDS);
    loop.close();
  }
}
