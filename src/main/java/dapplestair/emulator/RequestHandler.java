package dapplestair.emulator;

import dapplestair.ports.HttpReply;
import java.util.function.Consumer;

/** Handles the requests to one address; it may reply later or never. */
@FunctionalInterface
public interface RequestHandler {
  /** Handles a request that {@code from} sent; {@code body} may be null. */
  void request(String from, String method, String path, byte[] body, Consumer<HttpReply> reply);
}
