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
  private static final double BOOT_OVERDUE_FACTOR = 3.0;

  private final Clock clock;
  private final Settings settings;
  private final StateClient state;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final Releases releases;
  private final SpotHistory spotHistory;
  private final SilenceTimeouts timeouts;
  private final CapacityEstimator capacityEstimator;
  private final Consumer<Host> chargeBudgets;
  private DoubleSupplier waitingCpus = () -> 0;
  private Runnable onCapacityLost = () -> {};

  // Zones for whose replicas room was asked for already.
  private final Set<String> preparedZones = new HashSet<>();
  private final Events events;
  private MachineList machineList;
  private final Multiset<String> expectedUpByZone = HashMultiset.create();
  private boolean anyHostFresh;
  private double freeCpus;
  private long leadingSinceMs;

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
      Consumer<Host> chargeBudgets,
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
    this.chargeBudgets = chargeBudgets;
    this.events = events;
  }

  /**
   * {@code newWaitingCpus} says how much work waits for room; {@code newOnCapacityLost} hears of
   * room that is lost.
   */
  void setCapacityCallbacks(DoubleSupplier newWaitingCpus, Runnable newOnCapacityLost) {
    waitingCpus = newWaitingCpus;
    onCapacityLost = newOnCapacityLost;
  }

  void lead(MachineList machines) {
    machineList = machines;
    leadingSinceMs = clock.now();
  }

  /** Room that was counted on is not to be had. */
  void notifyCapacityLost() {
    onCapacityLost.run();
  }

  /** Looks at every machine. */
  void inspectAll() {
    long now = clock.now();
    anyHostFresh = false;
    boolean anyZoneSilent = false;
    expectedUpByZone.clear();
    for (Host host : workers.hosts()) {
      anyHostFresh |= workers.fresh(host);
      anyZoneSilent |= host.zoneSilentMs() > 0;
      prepareForZoneLoss(host);
      if (host.expectedUp()) {
        expectedUpByZone.add(String.valueOf(host.zone()));
      }
    }
    freeCpus = anyZoneSilent ? computeFreeCpus() : 0;
    for (Host host : List.copyOf(workers.hosts())) {
      inspect(host, now);
    }
  }

  @Override
  public void onFailed(Host host) {
    LOG.info("{} has failed", host.id());
    reportLost(host, "failed");
    workers.gone(host);
    releases.addGone(host.id());
  }

  @Override
  public void onReclaimed(Host host) {
    LOG.info("{} was taken", host.id());
    reportLost(host, "taken by the cloud");
    spotHistory.noteReclaimed(host);
    workers.gone(host);
  }

  private void inspect(Host host, long now) {
    if (host.releasing()) {
      return;
    }
    if (hasOverdueHalt(host, now)) {
      LOG.info("{} still holds cancelled work: returning it", host.id());
      giveUp(host);
    } else if (mayReturnMachines()) {
      returnIfUnusable(host, now);
    }
  }

  /**
   * A leader behind a cut sees all others as silent, and what it asks of the cloud may be done when
   * the cut ends and another one leads. So it returns nothing that it need not, while the state
   * service does not tell it that it leads.
   */
  boolean mayReturnMachines() {
    return state.unreachableMs() == 0;
  }

  private void returnIfUnusable(Host host, long now) {
    if (workers.saidGone(host)) {
      LOG.info("{} was returned by the leader before: once more", host.id());
      releases.add(host);
    } else if (host.outOfReach() && shouldGiveUp(host)) {
      LOG.info("{} is silent: returning it", host.id());
      LOG.debug(
          "{} in {}: silent for {} ms, its zone for {} ms, hangs {}, mute {}, "
              + "{} attempts, CPUs of replicas {}",
          host.id(),
          host.zone(),
          workers.silentMs(host),
          host.zoneSilentMs(),
          host.hanging(),
          host.mute(),
          host.attempts().size(),
          host.serviceCpus());
      reportLost(host, "silent");
      spotHistory.noteReclaimed(host);
      giveUp(host);
    } else if (!host.expectedUp() && isBootOverdue(host, now)) {
      LOG.info("{} does not come up: returning it", host.id());
      reportLost(host, "does not come up");
      releases.add(host);
    } else if (isMissingFromLists(host, now)) {
      LOG.info("{} is recorded but not listed: returning it", host.id());
      releases.add(host);
    } else if ((host.draining() || host.recalled()) && host.idle() && host.attempts().isEmpty()) {
      spotHistory.noteReclaimed(host);
      releases.add(host);
    }
  }

  /**
   * A silent machine is given up while its zone is heard, unless it hangs: then its tasks may go on
   * within its lease. If a whole zone is silent, it is rather the way there that is cut, and its
   * tasks run on. Both are waited for as {@link SilenceTimeouts} says.
   */
  private boolean shouldGiveUp(Host host) {
    boolean runsReplicas = host.serviceCpus() > 0;
    double bootS = types.bootS(host.type());
    if (workers.zoneHeard(host)) {
      return !host.hanging() || timeouts.hangsTooLong(workers.silentMs(host), runsReplicas, bootS);
    }
    if (!anyHostFresh) {
      return false;
    }
    if (expectedUpByZone.count(String.valueOf(host.zone())) <= 1) {
      return true;
    }
    boolean fitsElsewhere = !runsReplicas && host.cpusUsed() > 0 && host.cpusUsed() <= freeCpus;
    boolean timedOut =
        timeouts.givenUp(
            host.zone(),
            workers.silentMs(host),
            runsReplicas,
            fitsElsewhere,
            host.type() != null
                && capacityEstimator.mayHaveCapacity(
                    new MachineKind(host.type().name(), host.spot())),
            bootS);
    if (timedOut) {
      freeCpus -= host.cpusUsed();
    }
    return timedOut;
  }

  /** Once for each silence of a zone, as soon as its machines with replicas count as lost. */
  private void prepareForZoneLoss(Host host) {
    if (host.zoneSilentMs() == 0) {
      preparedZones.remove(String.valueOf(host.zone()));
    } else if (host.zoneSilentMs() >= timeouts.prepareAfterMs()
        && preparedZones.add(String.valueOf(host.zone()))) {
      onCapacityLost.run();
    }
  }

  /** Room that is free now and that nothing waits for. */
  private double computeFreeCpus() {
    double free = -waitingCpus.getAsDouble();
    for (Host host : workers.hosts()) {
      free += !host.closed() && workers.fresh(host) ? Math.max(0, host.cpusFree()) : 0;
    }
    return free;
  }

  /**
   * Only for machines that no list calls running. To a leader that has just begun, every machine is
   * one that it has not heard yet: those that run must not be taken for late ones.
   */
  private boolean isBootOverdue(Host host, long now) {
    // In a silent zone it may be up, and cannot say so.
    if (host.firstListedAt() == Long.MAX_VALUE
        || now - leadingSinceMs < machineList.maxLagMs()
        || host.zoneSilentMs() > 0) {
      return false;
    }
    double bootS = types.bootS(host.type());
    return now - host.rentedAt() > BOOT_OVERDUE_FACTOR * bootS * 1000;
  }

  /** What runs there ends with it: that cannot wait, and counts against its teams' budgets. */
  private void giveUp(Host host) {
    chargeBudgets.accept(host);
    releases.add(host);
  }

  /**
   * Recorded by an earlier leader, in a rental or as the place of an attempt, and gone before any
   * list of this one could hold it. Its release is the proof that its attempts need.
   *
   * <p>Such a machine may have been heard all the same: a report that a cut held back arrives when
   * the machine has long been returned. Then it must not make its zone look silent for long.
   */
  private boolean isMissingFromLists(Host host, long now) {
    boolean heardLate = host.up() && workers.silentMs(host) > 2 * settings.workers().reportMs();
    return (!host.up() || heardLate)
        && host.firstListedAt() == Long.MAX_VALUE
        && machineList.lastListedAtMs() - host.knownSince() > machineList.maxLagMs()
        && now - Math.min(host.rentedAt(), host.knownSince()) > machineList.maxLagMs();
  }

  /** Cancelled work must be gone in time, reachable or not: a release is always a proof. */
  private boolean hasOverdueHalt(Host host, long now) {
    // Behind a cut it may yet be proved otherwise, and a release would end all else there: half of
    // the time is left for the cloud's own troubles.
    long cancelMs = settings.workers().cancelMs();
    long haltTimeoutMs = cancelMs / (host.outOfReach() ? 2 : 4);
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().over() && attempt.halting() && !attempt.exited()) {
        long haltedMs = now - attempt.haltAt();
        // The time allowed does not begin anew with each leader: of what an earlier one could not
        // stop either, this one only waits for an answer.
        boolean overdueSinceJobEnd =
            now - attempt.job().overAt() > cancelMs / 2 && haltedMs > cancelMs / 16;
        if (haltedMs > haltTimeoutMs || overdueSinceJobEnd) {
          return true;
        }
      }
    }
    return false;
  }

  private void reportLost(Host host, String reason) {
    onCapacityLost.run();
    events.note(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", host.id()).put("zone", host.zone()).put("reason", reason));
  }
}
