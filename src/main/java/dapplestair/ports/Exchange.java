package dapplestair.ports;

/** One request that reached this controller, to be answered exactly once. */
public interface Exchange {
  /** GET, POST and so on. */
  String method();

  /** The path without its query. */
  String path();

  /** What follows the question mark, still encoded; empty when there is none. */
  default String query() {
    return "";
  }

  /** A header's value, or null. */
  default String header(String name) {
    return null;
  }

  /** Subject of the certificate that the caller showed and that was verified, or null. */
  default String subject() {
    return null;
  }

  /** The body, possibly empty. */
  byte[] body();

  /**
   * Answers.
   *
   * @param retryAfterS value of {@code Retry-After}, or 0 for none
   */
  void reply(int status, byte[] body, int retryAfterS);

  /** Answers with something other than JSON. */
  default void reply(String contentType, byte[] body) {
    reply(200, body, 0);
  }
}
