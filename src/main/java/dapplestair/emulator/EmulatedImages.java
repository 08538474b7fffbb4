package dapplestair.emulator;

import java.util.HashMap;
import java.util.Map;

/** The images on one machine: one fetch serves all tasks that need it. */
final class EmulatedImages {
  private final EmulatorEnvironment environment;
  private final EmulatorSettings.MachineSpec type;
  private final Map<String, Long> readyAt = new HashMap<>();

  EmulatedImages(EmulatorEnvironment environment, EmulatorSettings.MachineSpec type) {
    this.environment = environment;
    this.type = type;
  }

  /** How long a task waits for its image; the rate varies by a third. */
  long fetchMs(EmulatedTask emulatedTask) {
    long now = environment.now();
    String image = String.valueOf(emulatedTask.image());
    long usual = Math.round(1000 * emulatedTask.amount("imageGb") / type.fetchGbPerS());
    long ready =
        readyAt.computeIfAbsent(
            image, i -> now + environment.between(usual * 2 / 3, usual * 4 / 3));
    return Math.max(0, ready - now) + environment.between(20, 60);
  }
}
