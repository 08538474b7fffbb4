package dapplestair.ports;

import java.util.function.Consumer;

/** Sends HTTP requests to other processes. Every call ends with exactly one reply, on the loop. */
public interface HttpCaller {
  /** Sends a request; {@code body} may be null. */
  void call(
      String endpoint,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done);
}
