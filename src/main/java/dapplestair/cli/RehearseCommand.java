package dapplestair.cli;

import dapplestair.netty.HttpPool;
import dapplestair.netty.Loop;
import dapplestair.settings.Operator;
import dapplestair.settings.Settings;
import dapplestair.settings.SettingsLoader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;

/** Runs a controller for a moment, so that the build can archive the classes it loads. */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class RehearseCommand implements Callable<Integer> {
  private static final String SETTINGS =
      """
      member = "rehearsal"
      zone = "z"
      client_listen = "127.0.0.1:%d"
      peer_bind = "127.0.0.1:%d"
      [[peers]]
      member = "rehearsal-2"
      zone = "z"
      endpoint = "127.0.0.1:%d"
      [outside]
      cloud = "127.0.0.1:%d"
      state = "127.0.0.1:%d"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "t"
      [[settings.objectives]]
      kind = "wait"
      class = "c"
      within_s = 1.0
      [settings.workers]
      report_s = 1.0
      lease_s = 10.0
      cancel_s = 20.0
      [settings.state]
      rps = 100.0
      write_rps = 30.0
      value_kb = 8.0
      txn_ops = 24
      [settings.cloud]
      rps = 4.0
      list_lag_s = 4.0
      [settings.resources]
      cpu = 1.0
      ram_mb = 256.0
      max_connections = 100
      """;

  @Override
  public Integer call() throws Exception {
    int[] ports = freePorts(4);
    String text = SETTINGS.formatted(ports[0], ports[1], ports[2], ports[3], ports[3]);
    Settings settings = SettingsLoader.parse("rehearsal", text);
    Loop loop = Running.start(settings, Operator.defaults()).loop();
    HttpPool http = new HttpPool(loop, 2, 1000);
    String self = settings.clientListen().toString();
    String beat =
        "{\"host\":\"h\",\"endpoint\":\"127.0.0.1:1\",\"hull\":\"x\",\"basin\":\"z\","
            + "\"tenure\":1,\"tick\":1,\"steps\":[]}";
    for (String[] call :
        List.of(
            new String[] {"GET", "/up", null},
            new String[] {"POST", "/submissions", "{}"},
            new String[] {"GET", "/submissions/a-1", null},
            new String[] {"POST", "/agent/beat", beat})) {
      CountDownLatch answered = new CountDownLatch(1);
      byte[] body = call[2] == null ? null : call[2].getBytes(StandardCharsets.UTF_8);
      loop.executor()
          .execute(() -> http.call(self, call[0], call[1], body, 2000, r -> answered.countDown()));
      answered.await(3, TimeUnit.SECONDS);
    }
    return 0;
  }

  private static int[] freePorts(int n) throws java.io.IOException {
    ServerSocket[] sockets = new ServerSocket[n];
    int[] ports = new int[n];
    for (int i = 0; i < n; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket s : sockets) {
      s.close();
    }
    return ports;
  }
}
