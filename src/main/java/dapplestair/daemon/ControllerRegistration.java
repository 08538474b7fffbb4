package dapplestair.daemon;

import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;

/** Tells the emulated workers where the controller is, again and again: they may start anew. */
public final class ControllerRegistration {
  private static final long EVERY_MS = 1000;

  private ControllerRegistration() {}

  /** Begins; goes on while the loop does. */
  public static void repeat(ControllerEventLoop loop, String outside, String endpoint) {
    loop.executor()
        .execute(() -> tell(loop, new HttpPool(loop, 1, EVERY_MS / 2), outside, endpoint));
  }

  private static void tell(
      ControllerEventLoop loop, HttpPool http, String outside, String endpoint) {
    byte[] body = Json.bytes(Json.object().put("endpoint", endpoint));
    http.call(
        outside,
        "PUT",
        "/emulator/controllers/" + DaemonSettings.MEMBER,
        body,
        EVERY_MS,
        reply -> loop.after(EVERY_MS, () -> tell(loop, http, outside, endpoint)));
  }
}
