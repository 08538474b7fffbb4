package dapplestair.ports;

/** A request received by this controller, which must be answered exactly once. */
public interface Exchange {
  /** Returns the HTTP method, such as GET or POST. */
  String method();

  /** Returns the path without the query. */
  String path();

  /** Returns the query after the question mark, still encoded, or an empty string. */
  default String query() {
    return "";
  }

  /** Returns the value of a header, or null. */
  default String header(String name) {
    return null;
  }

  /** Returns the subject of the caller's verified certificate, or null. */
  default String subject() {
    return null;
  }

  /** Returns the body, possibly empty. */
  byte[] body();

  /**
   * Sends the response.
   *
   * @param retryAfterS value of {@code Retry-After}, or 0 for none
   */
  void reply(int status, byte[] body, int retryAfterS);

  /** Sends a response of status 200 whose body is of another type than JSON. */
  default void reply(String contentType, byte[] body) {
    reply(200, body, 0);
  }
}
