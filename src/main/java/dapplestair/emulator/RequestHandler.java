package dapplestair.emulator;

import dapplestair.ports.HttpReply;
import java.util.function.Consumer;

/** Something with an address that answers requests, perhaps later, perhaps never. */
@FunctionalInterface
public interface RequestHandler {
  /** A request from {@code from} has come; {@code body} may be null. */
  void request(String from, String method, String path, byte[] body, Consumer<HttpReply> reply);
}
