package dapplestair.admin;

import dapplestair.ports.Exchange;

/** Who somebody is, and what they may do. */
@FunctionalInterface
public interface Access {
  /** Whoever asks, by what they show; null when that is nobody. */
  Known who(Exchange exchange);

  /**
   * Somebody known.
   *
   * @param operates true if they may change things, too
   */
  record Known(String name, boolean operates) {}

  /** Everybody on this machine may do everything: only for an address on loopback. */
  static Access open() {
    return x -> new Known("local", true);
  }
}
