package dapplestair.admin;

import dapplestair.ports.Exchange;

/** Who somebody is, and what they may do. */
@FunctionalInterface
public interface Authenticator {
  /** Whoever asks, by what they show; null when that is nobody. */
  Identity who(Exchange exchange);

  /**
   * Somebody known.
   *
   * @param operates true if they may change things, too
   */
  record Identity(String name, boolean operates) {}

  /** Everybody on this machine may do everything: only for an address on loopback. */
  static Authenticator open() {
    return x -> new Identity("local", true);
  }
}
