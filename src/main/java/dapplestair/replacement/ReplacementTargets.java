package dapplestair.replacement;

import dapplestair.disruption.DisruptionGate;
import dapplestair.fleet.MachineKind;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines the machines that an order applies to. The recorded rental time of a machine tells
 * whether it is old or new.
 */
final class ReplacementTargets {
  private final Clock clock;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;

  ReplacementTargets(Clock clock, WorkerManager workers, DisruptionGate disruptionGate) {
    this.clock = clock;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
  }

  static MachineKind kindOf(Host host) {
    return new MachineKind(host.type().name(), host.spot());
  }

  private long rentedAtWallMs(Host host) {
    return host.rentedAt() == Long.MAX_VALUE
        ? Long.MAX_VALUE
        : clock.wall() - (clock.now() - host.rentedAt());
  }

  private boolean matches(MachineSelector selector, Host host) {
    return host.type() != null
        && selector.matches(
            host.id(), host.zone(), host.type().name(), host.spot(), rentedAtWallMs(host));
  }

  /** Returns the machines that an order with this selector would apply to if it were given now. */
  List<Host> matchingMachines(MachineSelector selector) {
    List<Host> matching = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone()
          && !host.isReleasing()
          && rentedAtWallMs(host) <= clock.wall()
          && matches(selector, host)) {
        matching.add(host);
      }
    }
    return matching;
  }

  /** Returns the machines still to be replaced, including those being returned to the cloud. */
  List<Host> oldMachines(ReplacementOrder order) {
    List<Host> oldMachines = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone()
          && rentedAtWallMs(host) < order.orderedAtWallMs()
          && matches(order.selector(), host)) {
        oldMachines.add(host);
      }
    }
    return oldMachines;
  }

  /**
   * Returns the machines of the order's kinds that were rented after both the order and {@code
   * sinceWallMs}.
   */
  List<Host> newMachines(ReplacementOrder order, long sinceWallMs) {
    MachineSelector selector = order.selector();
    List<Host> newMachines = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone()
          && host.type() != null
          && rentedAtWallMs(host) >= Math.max(order.orderedAtWallMs(), sinceWallMs)
          && rentedAtWallMs(host) != Long.MAX_VALUE
          && (selector.type() == null || selector.type().equals(host.type().name()))
          && (selector.spot() == null || selector.spot() == host.spot())) {
        newMachines.add(host);
      }
    }
    return newMachines;
  }

  /** Returns the machines of a step that are not gone yet. */
  List<Host> remaining(Set<String> batch) {
    List<Host> remaining = new ArrayList<>();
    for (String id : batch) {
      Host host = workers.findHost(id);
      if (host != null && !host.isGone()) {
        remaining.add(host);
      }
    }
    return remaining;
  }

  /** Counts machines by kind. */
  static Map<MachineKind, Integer> countByKind(Collection<Host> machines) {
    Map<MachineKind, Integer> counts =
        new TreeMap<>(Comparator.comparing(MachineKind::type).thenComparing(MachineKind::spot));
    // The kind of a machine that is known only from its attempts is unknown.
    machines.stream()
        .filter(h -> h.type() != null)
        .forEach(h -> counts.merge(kindOf(h), 1, Integer::sum));
    return counts;
  }

  /**
   * Chooses the machines of the next step: machines of a single zone, those with the least work to
   * lose first. The zone of the previous step is finished first; a silent zone is left for later.
   * Returns an empty set if no machine may be chosen.
   */
  Set<String> nextBatch(
      Collection<Host> candidates,
      Set<String> excluded,
      Set<String> previousBatch,
      int maxMachines) {
    Map<String, List<Host>> hostsByZone = new TreeMap<>();
    for (Host host : candidates) {
      if (!excluded.contains(host.id())
          && !host.isReleasing()
          && host.zoneSilentMs() == 0
          && host.zone() != null) {
        hostsByZone.computeIfAbsent(host.zone(), z -> new ArrayList<>()).add(host);
      }
    }
    if (hostsByZone.isEmpty()) {
      return Set.of();
    }
    Set<String> previousZones = new HashSet<>();
    previousBatch.stream()
        .map(workers::findHost)
        .filter(h -> h != null)
        .forEach(h -> previousZones.add(h.zone()));
    String zone =
        hostsByZone.keySet().stream()
            .min(
                Comparator.<String, Boolean>comparing(z -> !previousZones.contains(z))
                    .thenComparing(z -> hostsByZone.get(z).size())
                    .thenComparing(z -> z))
            .orElseThrow();
    List<Host> leastLossFirst = hostsByZone.get(zone);
    leastLossFirst.sort(
        Comparator.comparingDouble(this::lossCpuS)
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(Host::id));
    Set<String> batch = new TreeSet<>();
    leastLossFirst.stream().limit(maxMachines).forEach(h -> batch.add(h.id()));
    return batch;
  }

  private double lossCpuS(Host host) {
    return host.attempts().stream()
        .filter(a -> !a.exited())
        .mapToDouble(disruptionGate::maxLossCpuS)
        .sum();
  }
}
