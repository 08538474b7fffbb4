package dapplestair.emulator;

import java.util.HashMap;
import java.util.Map;

/** The images on one machine. One fetch of an image serves all tasks that need it. */
final class EmulatedImages {
  private final EmulatorEnvironment environment;
  private final EmulatorSettings.MachineSpec type;
  private final Map<String, Long> readyAtMs = new HashMap<>();

  EmulatedImages(EmulatorEnvironment environment, EmulatorSettings.MachineSpec type) {
    this.environment = environment;
    this.type = type;
  }

  /** Returns how long a task waits for its image. The fetch time varies by a third. */
  long fetchMs(EmulatedTask task) {
    long now = environment.now();
    String image = String.valueOf(task.image());
    long usualMs = Math.round(1000 * task.amount("imageGb") / type.fetchGbPerS());
    long readyMs =
        readyAtMs.computeIfAbsent(
            image, i -> now + environment.between(usualMs * 2 / 3, usualMs * 4 / 3));
    return Math.max(0, readyMs - now) + environment.between(20, 60);
  }
}
