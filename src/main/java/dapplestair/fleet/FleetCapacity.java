package dapplestair.fleet;

import dapplestair.ports.Clock;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Counts the machines that are held or requested, by kind and zone. */
final class FleetCapacity {
  /** Minimum time for which a machine is charged, from the cloud's description. */
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

  /** Returns true when a machine is, or will be, usable as one of this kind. */
  boolean isUsableAs(Host host, MachineKind kind) {
    return !host.isGone()
        && !host.isReleasing()
        && !host.isDraining()
        && !host.isDrainedByOperator()
        && !host.hasReclaimNotice()
        && isAwaited(host)
        && host.type() != null
        && host.type().name().equals(kind.type())
        && host.spot() == kind.spot();
  }

  /**
   * Returns true when a machine is reachable or expected to be reachable again. Machines that hang
   * or whose zone is silent are waited for, so that nothing is rented in their place. Machines with
   * replicas are waited for only briefly: replicas are lost first, and their new machines must boot
   * in time.
   */
  private boolean isAwaited(Host host) {
    // The work on a mute machine is lost when its lease ends, so replacements are rented in time.
    // If no worker reports at all, new machines could not report either.
    if (host.isNotReporting() && workers.hasRecentReports()) {
      return false;
    }
    if (host.zoneSilentMs() == 0 && !host.isHanging()) {
      return !host.isUnreachable();
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

  /**
   * Returns how many machines of a pool are held or requested, without those about to be replaced,
   * so that new machines go to the zones that the replaced ones leave.
   */
  int stayingCount(CapacityPool pool) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (host.drainAt() == Long.MAX_VALUE
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

  /** Returns how many machines of a pool are held, without requested ones. */
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
   * Cordons {@code count} steady machines of a kind against new work: those that become empty
   * soonest, and none in the zones that {@code isZoneSpared} accepts.
   */
  void cordon(MachineKind kind, int count, Predicate<String> isZoneSpared) {
    if (kind.spot()) {
      return;
    }
    List<Host> candidates = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (isUsableAs(host, kind) && host.isUp()) {
        candidates.add(host);
      }
    }
    candidates.sort(
        Comparator.comparing((Host h) -> isZoneSpared.test(h.zone()))
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(h -> !h.isCordoned())
            .thenComparingDouble(Host::cpusUsed)
            .thenComparing(Host::id));
    for (int i = 0; i < candidates.size(); i++) {
      Host host = candidates.get(i);
      host.setCordoned(i < count && host.serviceCpus() == 0 && !isZoneSpared.test(host.zone()));
    }
  }

  /** Returns the idle machines of a kind that may be returned now, those idle longest first. */
  List<Host> returnable(MachineKind kind) {
    long now = clock.now();
    List<Host> idleHosts = new ArrayList<>();
    for (Host host : workers.hosts()) {
      // It is not known whether a silent machine is idle.
      boolean idle = host.isUp() && host.isIdle() && host.zoneSilentMs() == 0 && !host.isHanging();
      if (idle && isUsableAs(host, kind) && now - host.rentedAt() >= MIN_CHARGED_MS) {
        idleHosts.add(host);
      }
    }
    idleHosts.sort(Comparator.comparingLong(Host::idleSinceMs));
    return idleHosts;
  }
}
