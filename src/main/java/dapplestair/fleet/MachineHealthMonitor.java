package dapplestair.fleet;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.events.Events;
import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.state.StateClient;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
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
final class MachineHealthMonitor implements MachineList.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);

  // Usual boots take up to 1.5 times the stated time, and a bad day nearly doubles that.
  private static final double BOOT_OVERDUE = 3.0;

  private final Clock clock;
  private final Settings settings;
  private final StateClient state;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final Releases releases;
  private final SpotHistory spotHistory;
  private final SilenceTimeouts timeouts;
  private final CapacityEstimator capacityEstimator;
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

  MachineHealthMonitor(
      Clock clock,
      Settings settings,
      StateClient state,
      MachineTypes types,
      WorkerManager workers,
      Releases releases,
      SpotHistory spotHistory,
      SilenceTimeouts timeouts,
      CapacityEstimator capacityEstimator,
      Consumer<Host> debit,
      Events events) {
    this.clock = clock;
    this.settings = settings;
    this.state = state;
    this.types = types;
    this.workers = workers;
    this.releases = releases;
    this.spotHistory = spotHistory;
    this.timeouts = timeouts;
    this.capacityEstimator = capacityEstimator;
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
    for (Host host : workers.hosts()) {
      anyFresh |= workers.isResponsive(host);
      anyAwaited |= host.zoneSilentMs() > 0;
      prepare(host);
      if (host.isExpectedUp()) {
        expectedUp.add(String.valueOf(host.zone()));
      }
    }
    freeCpus = anyAwaited ? freeCpus() : 0;
    for (Host host : List.copyOf(workers.hosts())) {
      inspect(host, now);
    }
  }

  @Override
  public void failed(Host host) {
    LOG.info("{} has failed", host.id());
    lost(host, "failed");
    workers.markGone(host);
    releases.addGone(host.id());
  }

  @Override
  public void taken(Host host) {
    LOG.info("{} was taken", host.id());
    lost(host, "taken by the cloud");
    spotHistory.noteTaken(host);
    workers.markGone(host);
  }

  private void inspect(Host host, long now) {
    if (host.isReleasing()) {
      return;
    }
    if (unstoppable(host, now)) {
      LOG.info("{} still holds cancelled work: returning it", host.id());
      giveUp(host);
    } else if (mayJudge()) {
      judge(host, now);
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

  private void judge(Host host, long now) {
    if (workers.goneByPreviousLeader(host)) {
      LOG.info("{} was returned by the leader before: once more", host.id());
      releases.add(host);
    } else if (host.isUnreachable() && givenUp(host)) {
      LOG.info("{} is silent: returning it", host.id());
      LOG.debug(
          "{} in {}: silent for {} ms, its zone for {} ms, hangs {}, mute {}, "
              + "{} attempts, CPUs of replicas {}",
          host.id(),
          host.zone(),
          workers.silentMs(host),
          host.zoneSilentMs(),
          host.isHanging(),
          host.isNotReporting(),
          host.attempts().size(),
          host.serviceCpus());
      lost(host, "silent");
      spotHistory.noteTaken(host);
      giveUp(host);
    } else if (!host.isExpectedUp() && bootOverdue(host, now)) {
      LOG.info("{} does not come up: returning it", host.id());
      lost(host, "does not come up");
      releases.add(host);
    } else if (neverListed(host, now)) {
      LOG.info("{} is recorded but not listed: returning it", host.id());
      releases.add(host);
    } else if ((host.isDraining() || host.hasReclaimNotice())
        && host.idle()
        && host.attempts().isEmpty()) {
      spotHistory.noteTaken(host);
      releases.add(host);
    }
  }

  /**
   * A silent machine is given up while its zone is heard, unless it hangs: then its tasks may go on
   * within its lease. If a whole zone is silent, it is rather the way there that is cut, and its
   * tasks run on. Both are waited for as {@link SilenceTimeouts} says.
   */
  private boolean givenUp(Host silent) {
    boolean replicas = silent.serviceCpus() > 0;
    double bootS = types.bootS(silent.type());
    if (workers.zoneHeardContinuously(silent)) {
      return !silent.isHanging()
          || timeouts.hangsTooLong(workers.silentMs(silent), replicas, bootS);
    }
    if (!anyFresh) {
      return false;
    }
    if (expectedUp.count(String.valueOf(silent.zone())) <= 1) {
      return true;
    }
    boolean room = !replicas && silent.cpusUsed() > 0 && silent.cpusUsed() <= freeCpus;
    boolean givenUp =
        timeouts.givenUp(
            silent.zone(),
            workers.silentMs(silent),
            replicas,
            room,
            silent.type() != null
                && capacityEstimator.open(new MachineKind(silent.type().name(), silent.spot())),
            bootS);
    if (givenUp) {
      freeCpus -= silent.cpusUsed();
    }
    return givenUp;
  }

  /** Once for each silence of a zone, as soon as its machines with replicas count as lost. */
  private void prepare(Host host) {
    if (host.zoneSilentMs() == 0) {
      prepared.remove(String.valueOf(host.zone()));
    } else if (host.zoneSilentMs() >= timeouts.prepareAfterMs()
        && prepared.add(String.valueOf(host.zone()))) {
      roomLost.run();
    }
  }

  /** Room that is free now and that nothing waits for. */
  private double freeCpus() {
    double free = -waitingCpus.getAsDouble();
    for (Host host : workers.hosts()) {
      free += !host.closed() && workers.isResponsive(host) ? Math.max(0, host.cpusFree()) : 0;
    }
    return free;
  }

  /**
   * Only for machines that no list calls running. To a leader that has just begun, every machine is
   * one that it has not heard yet: those that run must not be taken for late ones.
   */
  private boolean bootOverdue(Host host, long now) {
    // In a silent zone it may be up, and cannot say so.
    if (host.firstListedAt() == Long.MAX_VALUE
        || now - leadingSince < list.longestLag()
        || host.zoneSilentMs() > 0) {
      return false;
    }
    double boot = types.bootS(host.type());
    return now - host.rentedAt() > BOOT_OVERDUE * boot * 1000;
  }

  /** What runs there ends with it: that cannot wait, and counts against its teams' budgets. */
  private void giveUp(Host host) {
    debit.accept(host);
    releases.add(host);
  }

  /**
   * Recorded by an earlier leader, in a rental or as the place of an attempt, and gone before any
   * list of this one could hold it. Its release is the proof that its attempts need.
   *
   * <p>Such a machine may have been heard all the same: a report that a cut held back arrives when
   * the machine has long been returned. Then it must not make its zone look silent for long.
   */
  private boolean neverListed(Host host, long now) {
    boolean ghost = host.isUp() && workers.silentMs(host) > 2 * settings.workers().reportMs();
    return (!host.isUp() || ghost)
        && host.firstListedAt() == Long.MAX_VALUE
        && list.listedAt() - host.knownSince() > list.longestLag()
        && now - Math.min(host.rentedAt(), host.knownSince()) > list.longestLag();
  }

  /** Cancelled work must be gone in time, reachable or not: a release is always a proof. */
  private boolean unstoppable(Host host, long now) {
    // Behind a cut it may yet be proved otherwise, and a release would end all else there: half of
    // the time is left for the cloud's own troubles.
    long cancelMs = settings.workers().cancelMs();
    long timeouts = cancelMs / (host.isUnreachable() ? 2 : 4);
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().over() && attempt.halting() && !attempt.exited()) {
        long haltedMs = now - attempt.haltAt();
        // The time allowed does not begin anew with each leader: of what an earlier one could not
        // stop either, this one only waits for an answer.
        boolean late = now - attempt.job().overAt() > cancelMs / 2 && haltedMs > cancelMs / 16;
        if (haltedMs > timeouts || late) {
          return true;
        }
      }
    }
    return false;
  }

  private void lost(Host host, String why) {
    roomLost.run();
    events.note(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", host.id()).put("zone", host.zone()).put("reason", why));
  }
}
