package dapplestair.cli;

import dapplestair.netty.HttpPool;
import dapplestair.netty.HttpServer;
import dapplestair.netty.Loop;
import dapplestair.netty.PeerLinks;
import dapplestair.node.Controller;
import dapplestair.node.Outside;
import dapplestair.settings.Operator;
import dapplestair.settings.Settings;
import dapplestair.settings.SettingsException;
import java.util.concurrent.Callable;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one controller until it is killed. */
@Command(name = "controller", description = "Run one controller until it is killed.")
final class ControllerCommand implements Callable<Integer> {
  /** The command goes on after it has returned. */
  static final int STAYS = -1;

  private static final int MOST_CALLS_PER_ENDPOINT = 16;

  @Mixin private SettingsOptions files;

  @Override
  public Integer call() throws Exception {
    Settings settings;
    Operator operator;
    try {
      settings = files.settings();
      operator = files.operator();
    } catch (SettingsException e) {
      return SettingsOptions.refuse(e);
    }
    run(settings, operator);
    Thread.currentThread().join();
    return STAYS;
  }

  /** Builds a controller on Netty and starts it. */
  static Loop run(Settings settings, Operator operator) throws InterruptedException {
    Loop loop = new Loop();
    HttpPool http = new HttpPool(loop, MOST_CALLS_PER_ENDPOINT, settings.workers().reportMs() / 4);
    Outside outside =
        new Outside(
            loop,
            loop,
            loop,
            http,
            new PeerLinks(loop, settings),
            RandomSource.XO_RO_SHI_RO_128_PP.create());
    Controller controller = new Controller(settings, operator, outside);
    // Some sockets stay free for the calls that this controller itself makes.
    int incoming = settings.resources().maxConnections() * 3 / 4;
    new HttpServer(loop, incoming, controller::handle).start(settings.clientListen());
    loop.executor().execute(controller::start);
    return loop;
  }
}
