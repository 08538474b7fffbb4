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
  private static final long CHARGED_MS = 60_000;

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
  boolean counts(Host host, MachineKind kind) {
    return !host.isGone()
        && !host.isReleasing()
        && !host.isDraining()
        && !host.isDrainedByOperator()
        && !host.hasReclaimNotice()
        && awaited(host)
        && host.type() != null
        && host.type().name().equals(kind.type())
        && host.spot() == kind.spot();
  }

  /**
   * Machines that hang, or of a silent zone, are waited for, so that nothing is rented in their
   * place; but the replicas on them will be lost first, and room for those must boot in time.
   */
  private boolean awaited(Host host) {
    // What runs on a mute machine will be lost with its lease, so others are rented in time. If
    // nobody reports at all, new ones could not either.
    if (host.isNotReporting() && workers.hasRecentReports()) {
      return false;
    }
    if (host.zoneSilentMs() == 0 && !host.isHanging()) {
      return !host.isUnreachable();
    }
    return host.serviceCpus() == 0 || workers.silentMs(host) < timeouts.prepareAfterMs();
  }

  int holding(MachineKind kind) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (counts(host, kind)) {
        count++;
      }
    }
    return count + rentals.pending(kind);
  }

  /** The same without machines that are about to be replaced: new ones go where those leave. */
  int staying(CapacityPool pool) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (host.drainAt() == Long.MAX_VALUE
          && counts(host, pool.kind())
          && pool.zone().equals(host.zone())) {
        count++;
      }
    }
    return count + rentals.pending(pool);
  }

  int holding(CapacityPool pool) {
    return given(pool) + rentals.pending(pool);
  }

  /** The same without what is asked for. */
  int given(CapacityPool pool) {
    int count = 0;
    for (Host host : workers.hosts()) {
      if (counts(host, pool.kind()) && pool.zone().equals(host.zone())) {
        count++;
      }
    }
    return count;
  }

  /**
   * Keeps new work from so many steady machines of a slot, those that empty soonest, none of them
   * in the zones that are spared.
   */
  void cordon(MachineKind kind, int count, Predicate<String> spared) {
    if (kind.spot()) {
      return;
    }
    List<Host> up = new ArrayList<>();
    for (Host h : workers.hosts()) {
      if (counts(h, kind) && h.isUp()) {
        up.add(h);
      }
    }
    up.sort(
        Comparator.comparing((Host h) -> spared.test(h.zone()))
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(h -> !h.isCordoned())
            .thenComparingDouble(Host::cpusUsed)
            .thenComparing(Host::id));
    for (int i = 0; i < up.size(); i++) {
      Host h = up.get(i);
      h.setCordoned(i < count && h.serviceCpus() == 0 && !spared.test(h.zone()));
    }
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  List<Host> returnable(MachineKind kind) {
    long now = clock.now();
    List<Host> out = new ArrayList<>();
    for (Host host : workers.hosts()) {
      // What a silent machine does is not known.
      boolean idle = host.isUp() && host.idle() && host.zoneSilentMs() == 0 && !host.isHanging();
      if (idle && counts(host, kind) && now - host.rentedAt() >= CHARGED_MS) {
        out.add(host);
      }
    }
    out.sort(Comparator.comparingLong(Host::idleSince));
    return out;
  }
}
