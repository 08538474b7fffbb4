package dapplestair.daemon;

import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;

/**
 * Registers the controller with the emulated workers periodically, since the emulator may restart
 * and lose the registration.
 */
public final class ControllerRegistration {
  private static final long INTERVAL_MS = 1000;

  private ControllerRegistration() {}

  /** Starts the periodic registration, which lasts as long as the event loop runs. */
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
