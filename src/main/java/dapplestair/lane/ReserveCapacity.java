package dapplestair.lane;

import dapplestair.settings.Lane;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.List;

/** CPUs free on steady machines in a turn of placing, by zone, of which a lane keeps its part. */
final class ReserveCapacity {
  private final Object2DoubleOpenHashMap<String> free = new Object2DoubleOpenHashMap<>();

  void begin(List<Host> usable) {
    free.clear();
    usable.forEach(h -> add(h, h.cpusFree()));
  }

  void add(Host host, double cpus) {
    if (!host.spot()) {
      free.addTo(host.zone(), cpus);
    }
  }

  /** True when the zone keeps its part, or the others hold it meanwhile. */
  boolean leaves(Lane lane, Submission submission, Host host) {
    if (host.spot() || lane.reserveCpus() <= 0) {
      return true;
    }
    double part = lane.reserveCpus() / Math.max(1, free.size());
    double others = 0;
    for (var e : free.object2DoubleEntrySet()) {
      others += e.getKey().equals(host.zone()) ? 0 : Math.max(0, e.getDoubleValue());
    }
    double here = free.getDouble(host.zone()) - submission.cpus();
    return here >= part - 1e-9 && here + others >= lane.reserveCpus() - 1e-9;
  }
}
