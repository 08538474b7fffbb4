package dapplestair.placement;

import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** CPUs that are free on steady machines in a turn of placing, in all and by zone. */
final class SteadyCapacity {
  private final Object2DoubleOpenHashMap<String> byZone = new Object2DoubleOpenHashMap<>();
  private double free;

  void clear() {
    free = 0;
    byZone.clear();
  }

  /** So many more are free on a machine, if it is a steady one. */
  void add(Host host, double cpus) {
    if (!host.spot()) {
      free += cpus;
      byZone.addTo(host.zone(), cpus);
    }
  }

  double free() {
    return free;
  }

  /** 0 for the zone with most room, 1 for one without any. */
  double fullness(String zone) {
    // Asked for each machine that a replica might go to, so without a stream.
    double most = 0;
    for (double cpus : byZone.values()) {
      most = Math.max(most, cpus);
    }
    return most > 0 ? 1 - Math.max(0, byZone.getDouble(zone)) / most : 0;
  }
}
