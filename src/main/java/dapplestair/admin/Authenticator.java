package dapplestair.admin;

import dapplestair.ports.Exchange;

/** Who somebody is, and what they may do. */
@FunctionalInterface
public interface Authenticator {
  /** Whoever asks, by what they show; null when that is nobody. */
  Identity identify(Exchange exchange);

  /**
   * Somebody known.
   *
   * @param mayOperate true if they may change things, too
   */
  record Identity(String name, boolean mayOperate) {}

  /** Everybody on this machine may do everything: only for an address on loopback. */
  static Authenticator allowAll() {
    return exchange -> new Identity("local", true);
  }
}
