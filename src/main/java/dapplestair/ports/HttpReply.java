package dapplestair.ports;

/**
 * Outcome of an HTTP request.
 *
 * @param status HTTP status, {@link #UNKNOWN} or {@link #NOT_SENT}
 * @param body the body of the response, empty when there was none
 */
public record HttpReply(int status, byte[] body) {
  /** No response was received: the request may have been executed, or may still be. */
  public static final int UNKNOWN = 0;

  /** The request was not sent, and so will not be executed. */
  public static final int NOT_SENT = -1;

  private static final byte[] EMPTY = new byte[0];

  /** Returns a reply without a body. */
  public static HttpReply of(int status) {
    return new HttpReply(status, EMPTY);
  }

  /** Returns whether the status is between 200 and 299. */
  public boolean ok() {
    return status >= 200 && status < 300;
  }
}
