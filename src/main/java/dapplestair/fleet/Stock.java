package dapplestair.fleet;

import dapplestair.ports.Clock;
import dapplestair.silence.Patience;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** The machines that are held or on their way, by slot and zone. */
final class Stock {
  /** The shortest time a machine is charged for, from the cloud's description. */
  private static final long CHARGED_MS = 60_000;

  private final Clock clock;
  private final WorkerDesk desk;
  private final Rentals rentals;
  private final Patience patience;

  Stock(Clock clock, WorkerDesk desk, Rentals rentals, Patience patience) {
    this.clock = clock;
    this.desk = desk;
    this.rentals = rentals;
    this.patience = patience;
  }

  /** True when a machine is, or will be, of use in this slot. */
  boolean counts(Host h, Slot slot) {
    return !h.gone()
        && !h.releasing()
        && !h.draining()
        && !h.drained()
        && !h.recalled()
        && awaited(h)
        && h.type() != null
        && h.type().name().equals(slot.type())
        && h.spot() == slot.spot();
  }

  /**
   * Machines that hang, or of a silent zone, are waited for, so that nothing is rented in their
   * place; but the replicas on them will be lost first, and room for those must boot in time.
   */
  private boolean awaited(Host h) {
    // What runs on a mute machine will be lost with its lease, so others are rented in time. If
    // nobody reports at all, new ones could not either.
    if (h.mute() && desk.anyReports()) {
      return false;
    }
    if (h.zoneSilentMs() == 0 && !h.hanging()) {
      return !h.outOfReach();
    }
    return h.serviceCpus() == 0 || desk.silentMs(h) < patience.prepareAfterMs();
  }

  int holding(Slot slot) {
    int n = 0;
    for (Host h : desk.hosts()) {
      if (counts(h, slot)) {
        n++;
      }
    }
    return n + rentals.pending(slot);
  }

  /** The same without machines that are about to be replaced: new ones go where those leave. */
  int staying(Place place) {
    int n = 0;
    for (Host h : desk.hosts()) {
      if (h.leavesAt() == Long.MAX_VALUE
          && counts(h, place.slot())
          && place.zone().equals(h.zone())) {
        n++;
      }
    }
    return n + rentals.pending(place);
  }

  int holding(Place place) {
    int n = 0;
    for (Host h : desk.hosts()) {
      if (counts(h, place.slot()) && place.zone().equals(h.zone())) {
        n++;
      }
    }
    return n + rentals.pending(place);
  }

  /**
   * Keeps new work from so many steady machines of a slot, those that empty soonest, none of them
   * in the zones that are spared.
   */
  void cordon(Slot slot, int count, Predicate<String> spared) {
    if (slot.spot()) {
      return;
    }
    List<Host> up = new ArrayList<>();
    for (Host h : desk.hosts()) {
      if (counts(h, slot) && h.up()) {
        up.add(h);
      }
    }
    up.sort(
        Comparator.comparing((Host h) -> spared.test(h.zone()))
            .thenComparingDouble(Host::serviceCpus)
            .thenComparing(h -> !h.cordoned())
            .thenComparingDouble(Host::cpusUsed)
            .thenComparing(Host::id));
    for (int i = 0; i < up.size(); i++) {
      Host h = up.get(i);
      h.setCordoned(i < count && h.serviceCpus() == 0 && !spared.test(h.zone()));
    }
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  List<Host> returnable(Slot slot) {
    long now = clock.now();
    List<Host> out = new ArrayList<>();
    for (Host h : desk.hosts()) {
      // What a silent machine does is not known.
      boolean idle = h.up() && h.idle() && h.zoneSilentMs() == 0 && !h.hanging();
      if (idle && counts(h, slot) && now - h.rentedAt() >= CHARGED_MS) {
        out.add(h);
      }
    }
    out.sort(Comparator.comparingLong(Host::idleSince));
    return out;
  }
}
