package dapplestair.daemon;

import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;

/** Tells the emulated workers where the controller is, again and again: they may start anew. */
public final class ControllerRegistration {
  private static final long INTERVAL_MS = 1000;

  private ControllerRegistration() {}

  /** Begins; goes on while the loop does. */
  public static void registerPeriodically(
      ControllerEventLoop loop, String emulatorEndpoint, String controllerEndpoint) {
    loop.executor()
        .execute(
            () ->
                register(
                    loop,
                    new HttpPool(loop, 1, INTERVAL_MS / 2),
                    emulatorEndpoint,
                    controllerEndpoint));
  }

  private static void register(
      ControllerEventLoop loop, HttpPool http, String emulatorEndpoint, String controllerEndpoint) {
    byte[] body = Json.bytes(Json.object().put("endpoint", controllerEndpoint));
    http.call(
        emulatorEndpoint,
        "PUT",
        "/emulator/controllers/" + DaemonSettings.MEMBER,
        body,
        INTERVAL_MS,
        reply ->
            loop.after(
                INTERVAL_MS, () -> register(loop, http, emulatorEndpoint, controllerEndpoint)));
  }
}
