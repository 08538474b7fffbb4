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

/** Which machines an order is about. Old from new is told by the record of a machine's rental. */
final class ReplacementTargets {
  private final Clock clock;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;

  ReplacementTargets(Clock clock, WorkerManager workers, DisruptionGate disruptionGate) {
    this.clock = clock;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
  }

  static MachineKind slot(Host host) {
    return new MachineKind(host.type().name(), host.spot());
  }

  private long rentedWall(Host host) {
    return host.rentedAt() == Long.MAX_VALUE
        ? Long.MAX_VALUE
        : clock.wall() - (clock.now() - host.rentedAt());
  }

  private boolean covers(MachineSelector selection, Host host) {
    return host.type() != null
        && selection.covers(
            host.id(), host.zone(), host.type().name(), host.spot(), rentedWall(host));
  }

  /** Machines that such an order is about if it is given now. */
  List<Host> selected(MachineSelector selection) {
    List<Host> out = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone()
          && !host.isReleasing()
          && rentedWall(host) <= clock.wall()
          && covers(selection, host)) {
        out.add(host);
      }
    }
    return out;
  }

  /** Machines that are still to be replaced, also those on their way back to the cloud. */
  List<Host> old(ReplacementOrder order) {
    List<Host> out = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone() && rentedWall(host) < order.atWall() && covers(order.selection(), host)) {
        out.add(host);
      }
    }
    return out;
  }

  /**
   * Machines rented since the order was given, and since then, that are of the kinds it is about.
   */
  List<Host> fresh(ReplacementOrder order, long since) {
    MachineSelector selection = order.selection();
    List<Host> out = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.isGone()
          && host.type() != null
          && rentedWall(host) >= Math.max(order.atWall(), since)
          && rentedWall(host) != Long.MAX_VALUE
          && (selection.type() == null || selection.type().equals(host.type().name()))
          && (selection.spot() == null || selection.spot() == host.spot())) {
        out.add(host);
      }
    }
    return out;
  }

  /** Those of a step's machines that are still there. */
  List<Host> left(Set<String> batch) {
    List<Host> out = new ArrayList<>();
    for (String id : batch) {
      Host host = workers.findHost(id);
      if (host != null && !host.isGone()) {
        out.add(host);
      }
    }
    return out;
  }

  /** How many there are of each kind. */
  static Map<MachineKind, Integer> bySlot(Collection<Host> machines) {
    Map<MachineKind, Integer> out =
        new TreeMap<>(Comparator.comparing(MachineKind::type).thenComparing(MachineKind::spot));
    // Of one that is known by its attempts alone nobody can say of what kind it is.
    machines.stream()
        .filter(h -> h.type() != null)
        .forEach(h -> out.merge(slot(h), 1, Integer::sum));
    return out;
  }

  /**
   * The next step: machines of one zone, those first of which least work would be lost. The zone of
   * the step before is finished first; a silent one is left for later. Empty if none may be taken.
   */
  Set<String> next(Collection<Host> old, Set<String> taken, Set<String> before, int most) {
    Map<String, List<Host>> zones = new TreeMap<>();
    for (Host h : old) {
      if (!taken.contains(h.id())
          && !h.isReleasing()
          && h.zoneSilentMs() == 0
          && h.zone() != null) {
        zones.computeIfAbsent(h.zone(), z -> new ArrayList<>()).add(h);
      }
    }
    if (zones.isEmpty()) {
      return Set.of();
    }
    Set<String> lastZones = new HashSet<>();
    before.stream()
        .map(workers::findHost)
        .filter(h -> h != null)
        .forEach(h -> lastZones.add(h.zone()));
    String zone =
        zones.keySet().stream()
            .min(
                Comparator.<String, Boolean>comparing(z -> !lastZones.contains(z))
                    .thenComparing(z -> zones.get(z).size())
                    .thenComparing(z -> z))
            .orElseThrow();
    List<Host> order = zones.get(zone);
    order.sort(
        Comparator.comparingDouble(this::loss)
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(Host::id));
    Set<String> out = new TreeSet<>();
    order.stream().limit(most).forEach(h -> out.add(h.id()));
    return out;
  }

  private double loss(Host host) {
    return host.attempts().stream()
        .filter(a -> !a.exited())
        .mapToDouble(disruptionGate::lossCpuS)
        .sum();
  }
}
