package dapplestair.placement;

import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** Free CPUs of steady machines in a placement turn, in total and by zone. */
final class SteadyCapacity {
  private final Object2DoubleOpenHashMap<String> freeCpusByZone = new Object2DoubleOpenHashMap<>();
  private double freeCpus;

  void clear() {
    freeCpus = 0;
    freeCpusByZone.clear();
  }

  /** Adds free CPUs of a machine, if it is a steady one. */
  void addFreeCpus(Host host, double cpus) {
    if (!host.spot()) {
      freeCpus += cpus;
      freeCpusByZone.addTo(host.zone(), cpus);
    }
  }

  double freeCpus() {
    return freeCpus;
  }

  /** Returns how full a zone is: 0 for the zone with the most free CPUs, 1 for one without any. */
  double fullness(String zone) {
    // Called for each machine that a replica might run on, so it avoids a stream.
    double maxCpus = 0;
    for (double cpus : freeCpusByZone.values()) {
      maxCpus = Math.max(maxCpus, cpus);
    }
    return maxCpus > 0 ? 1 - Math.max(0, freeCpusByZone.getDouble(zone)) / maxCpus : 0;
  }
}
