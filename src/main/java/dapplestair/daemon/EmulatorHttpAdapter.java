package dapplestair.daemon;

import dapplestair.emulator.RequestHandler;
import dapplestair.ports.Exchange;

/** Forwards an HTTP request from a socket to the handler of an emulated component. */
final class EmulatorHttpAdapter {
  private EmulatorHttpAdapter() {}

  static void forward(Exchange exchange, RequestHandler handler) {
    String path =
        exchange.query().isEmpty() ? exchange.path() : exchange.path() + "?" + exchange.query();
    handler.request(
        "",
        exchange.method(),
        path,
        exchange.body(),
        reply -> exchange.reply(reply.status(), reply.body(), 0));
  }
}
