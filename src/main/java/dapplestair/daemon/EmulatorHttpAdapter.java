package dapplestair.daemon;

import dapplestair.emulator.RequestHandler;
import dapplestair.ports.Exchange;

/** Hands a request of a socket to an emulated place. */
final class EmulatorHttpAdapter {
  private EmulatorHttpAdapter() {}

  static void hand(Exchange exchange, RequestHandler place) {
    String path =
        exchange.query().isEmpty() ? exchange.path() : exchange.path() + "?" + exchange.query();
    place.request(
        "", exchange.method(), path, exchange.body(), r -> exchange.reply(r.status(), r.body(), 0));
  }
}
