package dapplestair.ports;

/** One request that reached this controller, to be answered exactly once. */
public interface Exchange {
  /** GET, POST and so on. */
  String method();

  /** The path without its query. */
  String path();

  /** The body, possibly empty. */
  byte[] body();

  /**
   * Answers.
   *
   * @param retryAfterS value of {@code Retry-After}, or 0 for none
   */
  void reply(int status, byte[] body, int retryAfterS);
}
