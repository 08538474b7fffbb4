package dapplestair.placement;

import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** CPUs that are free on steady machines in a turn of placing, in all and by zone. */
final class SteadyCapacity {
  private final Object2DoubleOpenHashMap<String> freeCpusByZone = new Object2DoubleOpenHashMap<>();
  private double freeCpus;

  void clear() {
    freeCpus = 0;
    freeCpusByZone.clear();
  }

  /** So many more are free on a machine, if it is a steady one. */
  void addFreeCpus(Host host, double cpus) {
    if (!host.spot()) {
      freeCpus += cpus;
      freeCpusByZone.addTo(host.zone(), cpus);
    }
  }

  double freeCpus() {
    return freeCpus;
  }

  /** 0 for the zone with most room, 1 for one without any. */
  double fullness(String zone) {
    // Asked for each machine that a replica might go to, so without a stream.
    double maxCpus = 0;
    for (double cpus : freeCpusByZone.values()) {
      maxCpus = Math.max(maxCpus, cpus);
    }
    return maxCpus > 0 ? 1 - Math.max(0, freeCpusByZone.getDouble(zone)) / maxCpus : 0;
  }
}
