package dapplestair.daemon;

import dapplestair.emulator.Place;
import dapplestair.ports.Exchange;

/** Hands a request of a socket to an emulated place. */
final class Wire {
  private Wire() {}

  static void hand(Exchange x, Place place) {
    String path = x.query().isEmpty() ? x.path() : x.path() + "?" + x.query();
    place.request("", x.method(), path, x.body(), r -> x.reply(r.status(), r.body(), 0));
  }
}
