package dapplestair.emulator;

import java.util.HashMap;
import java.util.Map;

/** The images on one machine: one fetch serves all tasks that need it. */
final class EmulatedImages {
  private final EmulatorEnvironment world;
  private final EmulatorSettings.MachineSpec type;
  private final Map<String, Long> readyAt = new HashMap<>();

  EmulatedImages(EmulatorEnvironment world, EmulatorSettings.MachineSpec type) {
    this.world = world;
    this.type = type;
  }

  /** How long a task waits for its image; the rate varies by a third. */
  long fetchMs(EmulatedTask emulatedTask) {
    long now = world.now();
    String image = String.valueOf(emulatedTask.image());
    long usual = Math.round(1000 * emulatedTask.amount("imageGb") / type.fetchGbPerS());
    long ready =
        readyAt.computeIfAbsent(image, i -> now + world.between(usual * 2 / 3, usual * 4 / 3));
    return Math.max(0, ready - now) + world.between(20, 60);
  }
}
