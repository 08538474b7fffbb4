package dapplestair.fleet;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.events.Events;
import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.Patience;
import dapplestair.state.StateClient;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
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
  private final Patience patience;
  private final Supply supply;
  private final Consumer<Host> debit;
  private DoubleSupplier waitingCpus = () -> 0;
  private Runnable roomLost = () -> {};

  // Zones for whose replicas room was asked for already.
  private final Set<String> prepared = new HashSet<>();
  private final Events events;
  private MachineList list;
  private final Multiset<String> expectedUp = HashMultiset.create();
  private boolean anyFresh;
  private double freeCpus;
  private long leadingSince;

  Lookout(
      Clock clock,
      Settings settings,
      StateClient state,
      MachineTypes types,
      WorkerDesk desk,
      Releases releases,
      Market market,
      Patience patience,
      Supply supply,
      Consumer<Host> debit,
      Events events) {
    this.clock = clock;
    this.settings = settings;
    this.state = state;
    this.types = types;
    this.desk = desk;
    this.releases = releases;
    this.market = market;
    this.patience = patience;
    this.supply = supply;
    this.debit = debit;
    this.events = events;
  }

  /** {@code waiting} says how much work waits for room; {@code lost} hears of room that is lost. */
  void weigh(DoubleSupplier waiting, Runnable lost) {
    waitingCpus = waiting;
    roomLost = lost;
  }

  void lead(MachineList machines) {
    list = machines;
    leadingSince = clock.now();
  }

  /** Room that was counted on is not to be had. */
  void roomLost() {
    roomLost.run();
  }

  /** Looks at every machine. */
  void look() {
    long now = clock.now();
    anyFresh = false;
    boolean anyAwaited = false;
    expectedUp.clear();
    for (Host h : desk.hosts()) {
      anyFresh |= desk.fresh(h);
      anyAwaited |= h.zoneSilentMs() > 0;
      prepare(h);
      if (h.expectedUp()) {
        expectedUp.add(String.valueOf(h.zone()));
      }
    }
    freeCpus = anyAwaited ? freeCpus() : 0;
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
      giveUp(h);
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
    if (desk.saidGone(h)) {
      LOG.info("{} was returned by the leader before: once more", h.id());
      releases.add(h);
    } else if (h.outOfReach() && givenUp(h)) {
      LOG.info("{} is silent: returning it", h.id());
      lost(h, "silent");
      market.noteTaken(h);
      giveUp(h);
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
   * A silent machine is given up while its zone is heard, unless it hangs: then its tasks may go on
   * within its lease. If a whole zone is silent, it is rather the way there that is cut, and its
   * tasks run on. Both are waited for as {@link Patience} says.
   */
  private boolean givenUp(Host silent) {
    boolean replicas = silent.serviceCpus() > 0;
    double bootS = types.bootS(silent.type());
    if (desk.zoneHeard(silent)) {
      return !silent.hanging() || patience.hangsTooLong(desk.silentMs(silent), replicas, bootS);
    }
    if (!anyFresh) {
      return false;
    }
    if (expectedUp.count(String.valueOf(silent.zone())) <= 1) {
      return true;
    }
    boolean room = !replicas && silent.cpusUsed() > 0 && silent.cpusUsed() <= freeCpus;
    boolean givenUp =
        patience.givenUp(
            silent.zone(),
            desk.silentMs(silent),
            replicas,
            room,
            silent.type() != null && supply.open(new Slot(silent.type().name(), silent.spot())),
            bootS);
    if (givenUp) {
      freeCpus -= silent.cpusUsed();
    }
    return givenUp;
  }

  /** Once for each silence of a zone, as soon as its machines with replicas count as lost. */
  private void prepare(Host h) {
    if (h.zoneSilentMs() == 0) {
      prepared.remove(String.valueOf(h.zone()));
    } else if (h.zoneSilentMs() >= patience.prepareAfterMs()
        && prepared.add(String.valueOf(h.zone()))) {
      roomLost.run();
    }
  }

  /** Room that is free now and that nothing waits for. */
  private double freeCpus() {
    double free = -waitingCpus.getAsDouble();
    for (Host h : desk.hosts()) {
      free += !h.closed() && desk.fresh(h) ? Math.max(0, h.cpusFree()) : 0;
    }
    return free;
  }

  /**
   * Only for machines that no list calls running. To a leader that has just begun, every machine is
   * one that it has not heard yet: those that run must not be taken for late ones.
   */
  private boolean bootOverdue(Host h, long now) {
    // In a silent zone it may be up, and cannot say so.
    if (h.firstListedAt() == Long.MAX_VALUE
        || now - leadingSince < list.longestLag()
        || h.zoneSilentMs() > 0) {
      return false;
    }
    double boot = types.bootS(h.type());
    return now - h.rentedAt() > BOOT_OVERDUE * boot * 1000;
  }

  /** What runs there ends with it: that cannot wait, and counts against its teams' budgets. */
  private void giveUp(Host h) {
    debit.accept(h);
    releases.add(h);
  }

  /**
   * Recorded by an earlier leader, in a rental or as the place of an attempt, and gone before any
   * list of this one could hold it. Its release is the proof that its attempts need.
   *
   * <p>Such a machine may have been heard all the same: a report that a cut held back arrives when
   * the machine has long been returned. Then it must not make its zone look silent for long.
   */
  private boolean neverListed(Host h, long now) {
    boolean ghost = h.up() && desk.silentMs(h) > 2 * settings.workers().reportMs();
    return (!h.up() || ghost)
        && h.firstListedAt() == Long.MAX_VALUE
        && list.listedAt() - h.knownSince() > list.longestLag()
        && now - Math.min(h.rentedAt(), h.knownSince()) > list.longestLag();
  }

  /** Withdrawn work must be gone in time, reachable or not: a release is always a proof. */
  private boolean unstoppable(Host h, long now) {
    // Behind a cut it may yet be proved otherwise, and a release would end all else there: half of
    // the time is left for the cloud's own troubles.
    long cancelMs = settings.workers().cancelMs();
    long patience = cancelMs / (h.outOfReach() ? 2 : 4);
    for (Attempt a : h.attempts()) {
      if (a.job().over() && a.halting() && !a.exited()) {
        long haltedMs = now - a.haltAt();
        // The time allowed does not begin anew with each leader: of what an earlier one could not
        // stop either, this one only waits for an answer.
        boolean late = now - a.job().overAt() > cancelMs / 2 && haltedMs > cancelMs / 16;
        if (haltedMs > patience || late) {
          return true;
        }
      }
    }
    return false;
  }

  private void lost(Host h, String why) {
    roomLost.run();
    events.note(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", h.id()).put("zone", h.zone()).put("reason", why));
  }
}
