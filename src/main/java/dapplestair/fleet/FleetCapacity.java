package dapplestair.fleet;

import dapplestair.ports.Clock;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** The machines that are held or on their way, by slot and zone. */
final class FleetCapacity {
  /** The shortest time a machine is charged for, from the cloud's description. */
  private static final long MIN_CHARGED_MS = 60_000;

  private final Clock clock;
  private final WorkerManager workers;
  private final Rentals rentals;
  private final SilenceTimeouts timeouts;

  FleetCapacity(Clock clock, WorkerManager workers, Rentals rentals, SilenceTimeouts timeouts) {
    this.clock = clock;
    this.workers = workers;
    this.rentals = rentals;
    this.timeouts = timeouts;
  }

  /** True when a machine is, or will be, of use in this slot. */
  boolean isUsableAs(Host host, MachineKind kind) {
    return !host.gone()
        && !host.releasing()
        && !host.draining()
        && !host.drained()
        && !host.recalled()
        && isAwaited(host)
        && host.type() != null
        && host.type().name().equals(kind.type())
        && host.spot() == kind.spot();
  }

  /**
   * Machines that hang, or of a silent zone, are waited for, so that nothing is rented in their
   * place; but the replicas on them will be lost first, and room for those must boot in time.
   */
  private boolean isAwaited(Host host) {
    // What runs on a mute machine will be lost with its lease, so others are rented in time. If
    // nobody reports at all, new ones could not either.
    if (host.mute() && workers.anyReports()) {
      return false;
    }
    if (host.zoneSilentMs() == 0 && !host.hanging()) {
      return !host.outOfReach();
    }
    return host.serviceCpus() == 0 || workers.silentMs(host) < timeouts.prepareAfterMs();
  }

  int heldOrPendingCount(MachineKind kind) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (isUsableAs(host, kind)) {
        count++;
      }
    }
    return count + rentals.pendingCount(kind);
  }

  /** The same without machines that are about to be replaced: new ones go where those leave. */
  int stayingCount(CapacityPool pool) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (host.leavesAt() == Long.MAX_VALUE
          && isUsableAs(host, pool.kind())
          && pool.zone().equals(host.zone())) {
        count++;
      }
    }
    return count + rentals.pendingCount(pool);
  }

  int heldOrPendingCount(CapacityPool pool) {
    return heldCount(pool) + rentals.pendingCount(pool);
  }

  /** The same without what is asked for. */
  int heldCount(CapacityPool pool) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (isUsableAs(host, pool.kind()) && pool.zone().equals(host.zone())) {
        count++;
      }
    }
    return count;
  }

  /**
   * Keeps new work from so many steady machines of a slot, those that empty soonest, none of them
   * in the zones that are spared.
   */
  void cordon(MachineKind kind, int count, Predicate<String> isZoneSpared) {
    if (kind.spot()) {
      return;
    }
    List<Host> candidates = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (isUsableAs(host, kind) && host.up()) {
        candidates.add(host);
      }
    }
    candidates.sort(
        Comparator.comparing((Host h) -> isZoneSpared.test(h.zone()))
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(h -> !h.cordoned())
            .thenComparingDouble(Host::cpusUsed)
            .thenComparing(Host::id));
    for (int i = 0; i < candidates.size(); i++) {
      Host host = candidates.get(i);
      host.setCordoned(i < count && host.serviceCpus() == 0 && !isZoneSpared.test(host.zone()));
    }
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  List<Host> returnable(MachineKind kind) {
    long now = clock.now();
    List<Host> idleHosts = new ArrayList<>();
    for (Host host : workers.hosts()) {
      // What a silent machine does is not known.
      boolean idle = host.up() && host.idle() && host.zoneSilentMs() == 0 && !host.hanging();
      if (idle && isUsableAs(host, kind) && now - host.rentedAt() >= MIN_CHARGED_MS) {
        idleHosts.add(host);
      }
    }
    idleHosts.sort(Comparator.comparingLong(Host::idleSince));
    return idleHosts;
  }
}
