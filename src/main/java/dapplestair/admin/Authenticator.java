package dapplestair.admin;

import dapplestair.ports.Exchange;

/** Determines who sent a request and what the sender may do. */
@FunctionalInterface
public interface Authenticator {
  /** Returns the identity of the sender by its credentials, or null if they are not valid. */
  Identity identify(Exchange exchange);

  /**
   * An authenticated caller.
   *
   * @param mayOperate true if the caller may change things as well as view them
   */
  record Identity(String name, boolean mayOperate) {}

  /**
   * Returns an authenticator that lets every caller operate. It is for loopback addresses only,
   * where all callers are on this machine.
   */
  static Authenticator allowAll() {
    return exchange -> new Identity("local", true);
  }
}
