package dapplestair.ports;

/**
 * How a request ended.
 *
 * @param status HTTP status, {@link #UNKNOWN} or {@link #NOT_SENT}
 * @param body the answer's body, empty when there was none
 */
public record HttpReply(int status, byte[] body) {
  /** No answer: the request may have been executed, or may yet be. */
  public static final int UNKNOWN = 0;

  /** The request never left: it will not be executed. */
  public static final int NOT_SENT = -1;

  private static final byte[] EMPTY = new byte[0];

  /** A reply without body. */
  public static HttpReply of(int status) {
    return new HttpReply(status, EMPTY);
  }

  /** True for 200 to 299. */
  public boolean ok() {
    return status >= 200 && status < 300;
  }
}
