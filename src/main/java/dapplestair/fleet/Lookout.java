package dapplestair.fleet;

import dapplestair.events.Events;
import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which machines are given up: lost, late, silent, emptied, or with work that cannot be stopped.
 */
final class Lookout implements MachineList.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Lookout.class);

  // Usual boots take up to 1.5 times the stated time, and a bad day nearly doubles that.
  private static final double BOOT_OVERDUE = 3.0;

  private final Clock clock;
  private final Settings settings;
  private final StateClient state;
  private final MachineTypes types;
  private final WorkerDesk desk;
  private final Releases releases;
  private final Market market;
  private final Events events;
  private MachineList list;
  private long leadingSince;

  Lookout(
      Clock clock,
      Settings settings,
      StateClient state,
      MachineTypes types,
      WorkerDesk desk,
      Releases releases,
      Market market,
      Events events) {
    this.clock = clock;
    this.settings = settings;
    this.state = state;
    this.types = types;
    this.desk = desk;
    this.releases = releases;
    this.market = market;
    this.events = events;
  }

  void lead(MachineList machines) {
    list = machines;
    leadingSince = clock.now();
  }

  /** Looks at every machine. */
  void look() {
    long now = clock.now();
    for (Host h : List.copyOf(desk.hosts())) {
      inspect(h, now);
    }
  }

  @Override
  public void failed(Host h) {
    LOG.info("{} has failed", h.id());
    lost(h, "failed");
    desk.gone(h);
    releases.addGone(h.id());
  }

  @Override
  public void taken(Host h) {
    LOG.info("{} was taken", h.id());
    lost(h, "taken by the cloud");
    market.noteTaken(h);
    desk.gone(h);
  }

  private void inspect(Host h, long now) {
    if (h.releasing()) {
      return;
    }
    if (unstoppable(h, now)) {
      LOG.info("{} still holds withdrawn work: returning it", h.id());
      releases.add(h);
    } else if (mayJudge()) {
      judge(h, now);
    }
  }

  /**
   * A leader behind a cut sees all others as silent, and what it asks of the cloud may be done when
   * the cut ends and another one leads. So it returns nothing that it need not, while the state
   * service does not tell it that it leads.
   */
  boolean mayJudge() {
    return state.unreachableMs() == 0;
  }

  private void judge(Host h, long now) {
    if (h.outOfReach() && givenUp(h)) {
      LOG.info("{} is silent: returning it", h.id());
      lost(h, "silent");
      market.noteTaken(h);
      releases.add(h);
    } else if (!h.expectedUp() && bootOverdue(h, now)) {
      LOG.info("{} does not come up: returning it", h.id());
      lost(h, "does not come up");
      releases.add(h);
    } else if (neverListed(h, now)) {
      LOG.info("{} is recorded but not listed: returning it", h.id());
      releases.add(h);
    } else if ((h.draining() || h.recalled()) && h.idle() && h.attempts().isEmpty()) {
      market.noteTaken(h);
      releases.add(h);
    }
  }

  /**
   * A silent machine is given up only while its zone is heard: if a whole zone is silent, it is
   * rather the way there that is cut, and its tasks run on. Such a zone is waited for until its
   * leases have run out, and longer where a controller may be keeping them.
   */
  private boolean givenUp(Host silent) {
    if (desk.zoneHeard(silent)) {
      return true;
    }
    boolean zoneKnown = false;
    boolean anyFresh = false;
    for (Host h : desk.hosts()) {
      anyFresh |= desk.fresh(h);
      zoneKnown |= h != silent && h.expectedUp() && Objects.equals(h.zone(), silent.zone());
    }
    long patience = settings.workers().leaseMs() * (controllerIn(silent.zone()) ? 3 : 1);
    return anyFresh && (!zoneKnown || desk.silentMs(silent) > patience * 21 / 20);
  }

  private boolean controllerIn(String zone) {
    return settings.peers().stream().anyMatch(p -> p.zone().equals(zone));
  }

  /**
   * Only for machines that no list calls running. To a leader that has just begun, every machine is
   * one that it has not heard yet: those that run must not be taken for late ones.
   */
  private boolean bootOverdue(Host h, long now) {
    if (h.firstListedAt() == Long.MAX_VALUE || now - leadingSince < list.longestLag()) {
      return false;
    }
    double boot =
        h.type() != null
            ? h.type().bootS()
            : types.all().stream().mapToDouble(MachineType::bootS).max().orElse(60);
    return now - h.rentedAt() > BOOT_OVERDUE * boot * 1000;
  }

  /**
   * Recorded by an earlier leader, in a rental or as the place of an attempt, and gone before any
   * list of this one could hold it. Its release is the proof that its attempts need.
   */
  private boolean neverListed(Host h, long now) {
    return !h.up()
        && h.firstListedAt() == Long.MAX_VALUE
        && list.listedAt() - h.knownSince() > list.longestLag()
        && now - Math.min(h.rentedAt(), h.knownSince()) > list.longestLag();
  }

  /** Withdrawn work must be gone in time, reachable or not: a release is always a proof. */
  private boolean unstoppable(Host h, long now) {
    // Behind a cut it may yet be proved otherwise, and a release would end all else there: half of
    // the time is left for the cloud's own troubles.
    long patience = settings.workers().cancelMs() / (h.outOfReach() ? 2 : 4);
    for (Attempt a : h.attempts()) {
      if (a.job().over() && a.halting() && !a.exited() && now - a.haltAt() > patience) {
        return true;
      }
    }
    return false;
  }

  private void lost(Host h, String why) {
    events.note(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", h.id()).put("zone", h.zone()).put("reason", why));
  }
}
