package dapplestair.cli;

import dapplestair.daemon.DaemonSettings;
import dapplestair.daemon.Emulation;
import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;
import dapplestair.ports.HttpReply;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings.Address;
import dapplestair.settings.SettingsLoader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import picocli.CommandLine.Command;

/**
 * Runs two controllers briefly against an emulated state service, cloud and workers, so that the
 * build can archive the classes (class data sharing) that a controller needs at its start. The run
 * covers a state service that answers, a change of the leader, machines that boot, and tasks that
 * run and end. A starting controller must read and verify each class that is missing from the
 * archive, and serves nobody meanwhile.
 */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class RehearseCommand implements Callable<Integer> {
  private static final String SETTINGS =
      """
      member = "rehearsal-%d"
      zone = "a"
      client_listen = "127.0.0.1:%d"
      peer_bind = "127.0.0.1:%d"
      [[peers]]
      member = "rehearsal-%d"
      zone = "b"
      endpoint = "127.0.0.1:%d"
      [outside]
      cloud = "127.0.0.1:%d"
      state = "127.0.0.1:%d"
      [settings]
      zones = ["a", "b", "c"]
      [[settings.teams]]
      name = "default"
      cpus = 8.0
      cpus_max = 400.0
      [[settings.objectives]]
      kind = "wait"
      class = "c"
      within_s = 1.0
      share = 0.9
      [settings.workers]
      report_s = 1.0
      lease_s = 12.0
      cancel_s = 30.0
      [settings.state]
      rps = 2000.0
      write_rps = 500.0
      value_kb = 8.0
      txn_ops = 24
      [settings.cloud]
      rps = 20.0
      list_lag_s = 1.0
      [settings.resources]
      cpu = 1.0
      ram_mb = 256.0
      max_connections = 1000
      """;

  private static final String JOB =
      """
      {"ref":"%s","jobclass":"c","owner":"default","shape":"%s","rank":"%s","steps":%d,"vcpus":1.0,
       "accelerators":0.0,"memoryGb":1.0,"bundle":"img","imageGb":0.1,"together":false,"apart":%b,
       "loaners":%b,"guessS":%s,"snapshotEveryS":0.0,"snapshotS":0.0}
      """;

  private static final int CALL_TIMEOUT_MS = 2000;
  private static final int MAX_DURATION_S = 40;

  private final ControllerEventLoop loop = new ControllerEventLoop();
  private final HttpPool http = new HttpPool(loop, 4, 1000);
  private final long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_DURATION_S);

  /** Always returns 0: a step that fails or times out only makes the archive smaller. */
  @Override
  public Integer call() {
    try {
      rehearse();
    } catch (Exception e) {
      System.err.println("dapplestair: the rehearsal ended early: " + e);
    }
    return 0;
  }

  private void rehearse() throws Exception {
    int[] ports = freePorts(4);
    Emulation emulation = new Emulation(DaemonSettings.defaults());
    int emulationPort = emulation.start(new Address("127.0.0.1", 0));
    ControllerServer[] controllers = new ControllerServer[2];
    for (int i = 0; i < 2; i++) {
      int peerIndex = 1 - i;
      String settingsText =
          SETTINGS.formatted(
              i,
              ports[2 * i],
              ports[2 * i + 1],
              peerIndex,
              ports[2 * peerIndex + 1],
              emulationPort,
              emulationPort);
      controllers[i] =
          ControllerServer.start(
              SettingsLoader.parse("rehearsal", settingsText), OperatorSettings.defaults());
      emulation.register("rehearsal-" + i, "127.0.0.1:" + ports[2 * i]);
    }
    String firstEndpoint = "127.0.0.1:" + ports[0];
    String secondEndpoint = "127.0.0.1:" + ports[2];
    callUntil(firstEndpoint, "GET", "/up", null, r -> r.status() == 200);
    submit(firstEndpoint, JOB.formatted("wk-000001", "sweep", "high", 6, false, true, "0.3"));
    for (int i = 2; i < 8; i++) {
      submit(
          i % 2 == 0 ? firstEndpoint : secondEndpoint,
          JOB.formatted("wk-00000" + i, "daemon", "critical", 3, true, false, "0"));
    }
    callUntil(secondEndpoint, "GET", "/submissions/wk-000001", null, r -> hasStatus(r, "done"));
    callUntil(firstEndpoint, "GET", "/submissions/wk-000002", null, r -> hasStatus(r, "running"));
    callUntil(
        secondEndpoint, "POST", "/submissions/wk-000002/withdraw", "", r -> r.status() == 200);
    controllers[0].stop();
    submit(secondEndpoint, JOB.formatted("wk-000009", "sweep", "low", 3, false, true, "0.3"));
    callUntil(secondEndpoint, "GET", "/submissions/wk-000009", null, r -> hasStatus(r, "done"));
  }

  private void submit(String endpoint, String job) throws Exception {
    callUntil(endpoint, "POST", "/submissions", job, r -> r.status() == 201 || r.status() == 200);
  }

  private static boolean hasStatus(HttpReply reply, String status) {
    return status.equals(Json.text(Json.parse(reply.body()), "status"));
  }

  /** Repeats a request until the reply is the expected one or the deadline has passed. */
  private void callUntil(
      String endpoint, String method, String path, String body, Predicate<HttpReply> isExpected)
      throws Exception {
    while (System.nanoTime() < deadlineNanos) {
      CompletableFuture<HttpReply> replyFuture = new CompletableFuture<>();
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      loop.executor()
          .execute(
              () ->
                  http.call(endpoint, method, path, bytes, CALL_TIMEOUT_MS, replyFuture::complete));
      if (isExpected.test(replyFuture.get(2L * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS))) {
        return;
      }
      Thread.sleep(100);
    }
  }

  private static int[] freePorts(int count) throws java.io.IOException {
    ServerSocket[] sockets = new ServerSocket[count];
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}
