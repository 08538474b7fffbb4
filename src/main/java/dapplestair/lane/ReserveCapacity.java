package dapplestair.lane;

import dapplestair.settings.Lane;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.List;

/** Free CPUs of steady machines in a placement turn, by zone; a lane reserves a share of them. */
final class ReserveCapacity {
  private final Object2DoubleOpenHashMap<String> freeCpusByZone = new Object2DoubleOpenHashMap<>();

  void beginTurn(List<Host> usableHosts) {
    freeCpusByZone.clear();
    usableHosts.forEach(h -> addFreeCpus(h, h.cpusFree()));
  }

  void addFreeCpus(Host host, double cpus) {
    if (!host.spot()) {
      freeCpusByZone.addTo(host.zone(), cpus);
    }
  }

  /**
   * Returns whether, after a task starts on the machine, its zone holds its share of the lane's
   * reserve and all zones together hold the whole reserve.
   */
  boolean leavesReserve(Lane lane, Submission submission, Host host) {
    if (host.spot() || lane.reserveCpus() <= 0) {
      return true;
    }
    double zoneShareCpus = lane.reserveCpus() / Math.max(1, freeCpusByZone.size());
    double freeElsewhereCpus = 0;
    for (var entry : freeCpusByZone.object2DoubleEntrySet()) {
      freeElsewhereCpus +=
          entry.getKey().equals(host.zone()) ? 0 : Math.max(0, entry.getDoubleValue());
    }
    double freeHereCpus = freeCpusByZone.getDouble(host.zone()) - submission.cpus();
    return freeHereCpus >= zoneShareCpus - 1e-9
        && freeHereCpus + freeElsewhereCpus >= lane.reserveCpus() - 1e-9;
  }
}
