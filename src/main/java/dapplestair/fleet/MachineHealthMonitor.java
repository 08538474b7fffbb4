package dapplestair.fleet;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.events.Events;
import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineTypes;
import dapplestair.pause.PauseDetector;
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
 * Decides which machines are given up: those that are lost, overdue in booting, silent or drained,
 * or whose cancelled work cannot be stopped.
 */
final class MachineHealthMonitor implements MachineList.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);

  // Usual boots take up to 1.5 times the stated boot time, and on a bad day nearly twice that.
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
  private final PauseDetector pauses;
  private DoubleSupplier waitingCpus = () -> 0;
  private Runnable onCapacityLost = () -> {};

  // Silent zones for whose replicas capacity elsewhere was already requested.
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
      PauseDetector pauses,
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
    this.pauses = pauses;
    this.events = events;
  }

  /**
   * Sets the callbacks of this monitor.
   *
   * @param newWaitingCpus supplies the CPUs of the work that waits for capacity
   * @param newOnCapacityLost runs when capacity is lost
   */
  void setCapacityCallbacks(DoubleSupplier newWaitingCpus, Runnable newOnCapacityLost) {
    waitingCpus = newWaitingCpus;
    onCapacityLost = newOnCapacityLost;
  }

  void lead(MachineList machines) {
    machineList = machines;
    leadingSinceMs = clock.now();
  }

  /** Reports that capacity that the plan counts on is not available. */
  void notifyCapacityLost() {
    onCapacityLost.run();
  }

  /** Inspects every machine and hands those that are given up back to the cloud. */
  void inspectAll() {
    long now = clock.now();
    anyHostFresh = false;
    boolean anyZoneSilent = false;
    expectedUpByZone.clear();
    for (Host host : workers.hosts()) {
      anyHostFresh |= workers.isResponsive(host);
      anyZoneSilent |= host.zoneSilentMs() > 0;
      prepareForZoneLoss(host);
      if (host.isExpectedUp()) {
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
    LOG.info("machine {} has failed according to the cloud: returning it", host.id());
    reportLost(host, "failed");
    workers.markGone(host);
    releases.addGone(host.id());
  }

  @Override
  public void onReclaimed(Host host) {
    LOG.info("machine {} was reclaimed by the cloud", host.id());
    reportLost(host, "taken by the cloud");
    spotHistory.noteReclaimed(host);
    workers.markGone(host);
  }

  private void inspect(Host host, long now) {
    if (host.isReleasing()) {
      return;
    }
    if (hasOverdueHalt(host, now) && pauses.mayActOnDeadline()) {
      LOG.info("machine {} did not stop cancelled work in time: returning it", host.id());
      giveUp(host);
    } else if (mayReturnMachines()) {
      returnIfUnusable(host, now);
    }
  }

  /**
   * Returns true while the state service can be reached and has been read since the last pause of
   * this process. After a pause another controller may lead and use the machines. A leader that is
   * cut off sees all machines as silent, and its requests to the cloud may be carried out when the
   * cut ends and another controller leads. So it returns only machines that it must return, as long
   * as the state service does not confirm that it still leads.
   */
  boolean mayReturnMachines() {
    return state.unreachableMs() == 0 && pauses.isKnowledgeCurrent();
  }

  private void returnIfUnusable(Host host, long now) {
    if (workers.goneByPreviousLeader(host)) {
      LOG.info(
          "machine {} was reported gone by the previous leader: returning it again", host.id());
      releases.add(host);
    } else if (host.isUnreachable() && shouldGiveUp(host)) {
      LOG.info("machine {} has been silent for too long: returning it", host.id());
      LOG.debug(
          "silent machine {} in zone {}: silent for {} ms, its zone for {} ms, hanging: {}, "
              + "mute: {}, attempts: {}, CPUs of replicas: {}",
          host.id(),
          host.zone(),
          workers.silentMs(host),
          host.zoneSilentMs(),
          host.isHanging(),
          host.isNotReporting(),
          host.attempts().size(),
          host.serviceCpus());
      reportLost(host, "silent");
      spotHistory.noteReclaimed(host);
      giveUp(host);
    } else if (!host.isExpectedUp() && isBootOverdue(host, now)) {
      LOG.info("machine {} is overdue in booting: returning it", host.id());
      reportLost(host, "does not come up");
      releases.add(host);
    } else if (isMissingFromLists(host, now)) {
      LOG.info("machine {} is on record but not in the cloud's list: returning it", host.id());
      releases.add(host);
    } else if ((host.isDraining() || host.hasReclaimNotice())
        && host.isIdle()
        && host.attempts().isEmpty()) {
      spotHistory.noteReclaimed(host);
      releases.add(host);
    }
  }

  /**
   * Returns true when a silent machine should be given up. While its zone is heard, a silent
   * machine is given up at once, unless it hangs: a hanging machine may continue its tasks within
   * its lease. If the whole zone is silent, the network to it has probably been cut and its tasks
   * run on. In both cases {@link SilenceTimeouts} defines how long to wait.
   */
  private boolean shouldGiveUp(Host host) {
    boolean runsReplicas = host.serviceCpus() > 0;
    double bootS = types.bootS(host.type());
    if (workers.zoneHeardContinuously(host)) {
      return !host.isHanging()
          || timeouts.shouldGiveUpHanging(workers.silentMs(host), runsReplicas, bootS);
    }
    if (!anyHostFresh) {
      return false;
    }
    if (expectedUpByZone.count(String.valueOf(host.zone())) <= 1) {
      return true;
    }
    boolean fitsElsewhere = !runsReplicas && host.cpusUsed() > 0 && host.cpusUsed() <= freeCpus;
    boolean timedOut =
        timeouts.shouldGiveUp(
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

  /**
   * Requests capacity elsewhere once per silence of a zone, as soon as its machines with replicas
   * no longer count as usable.
   */
  private void prepareForZoneLoss(Host host) {
    if (host.zoneSilentMs() == 0) {
      preparedZones.remove(String.valueOf(host.zone()));
    } else if (host.zoneSilentMs() >= timeouts.prepareAfterMs()
        && preparedZones.add(String.valueOf(host.zone()))) {
      onCapacityLost.run();
    }
  }

  /** Returns the CPUs that are free now, less those of the work that waits for capacity. */
  private double computeFreeCpus() {
    double free = -waitingCpus.getAsDouble();
    for (Host host : workers.hosts()) {
      free += !host.closed() && workers.isResponsive(host) ? Math.max(0, host.cpusFree()) : 0;
    }
    return free;
  }

  /**
   * Returns true when a listed machine is overdue in booting; asked only about machines that no
   * list shows as running. A new leader has not heard any machine yet, so it waits for the maximum
   * list lag: running machines must not be taken for overdue ones.
   */
  private boolean isBootOverdue(Host host, long now) {
    // In a silent zone the machine may be up without being able to report.
    if (host.firstListedAt() == Long.MAX_VALUE
        || now - leadingSinceMs < machineList.maxLagMs()
        || host.zoneSilentMs() > 0) {
      return false;
    }
    double bootS = types.bootS(host.type());
    return now - host.rentedAt() > BOOT_OVERDUE_FACTOR * bootS * 1000;
  }

  /**
   * Returns a machine with all that runs on it. This cannot wait for the disruption budgets of the
   * teams concerned, but it is charged to them.
   */
  private void giveUp(Host host) {
    chargeBudgets.accept(host);
    releases.add(host);
  }

  /**
   * Returns true for a machine that an earlier leader recorded, in a rental or as the place of an
   * attempt, and that was gone before any list of this leader could contain it. Its release is the
   * proof of absence that its attempts need.
   *
   * <p>Such a machine may still have been heard: a report that a cut delayed can arrive long after
   * the machine was returned. The machine must then not make its zone look silent for long.
   */
  private boolean isMissingFromLists(Host host, long now) {
    boolean heardLate = host.isUp() && workers.silentMs(host) > 2 * settings.workers().reportMs();
    return (!host.isUp() || heardLate)
        && host.firstListedAt() == Long.MAX_VALUE
        && machineList.lastListedAtMs() - host.knownSince() > machineList.maxLagMs()
        && now - Math.min(host.rentedAt(), host.knownSince()) > machineList.maxLagMs();
  }

  /**
   * Returns true when a machine has not stopped cancelled work in time. Cancelled work must end
   * whether its machine is reachable or not, and returning the machine always proves that it ended.
   */
  private boolean hasOverdueHalt(Host host, long now) {
    // If the machine is cut off, the end of the work may still be proved in another way, and a
    // release would end all other work there. So half of the allowed time passes first; the rest is
    // left for failures of the cloud.
    long cancelMs = settings.workers().cancelMs();
    long haltTimeoutMs = cancelMs / (host.isUnreachable() ? 2 : 4);
    for (Attempt attempt : host.attempts()) {
      if (attempt.job().isOver() && attempt.halting() && !attempt.exited()) {
        long haltedMs = now - attempt.firstHaltAtMs();
        // The allowed time does not start again with each leader. For work that an earlier leader
        // could not stop either, this one only waits long enough for an answer.
        boolean overdueSinceJobEnd =
            now - attempt.job().endedAtMs() > cancelMs / 2 && haltedMs > cancelMs / 16;
        if (haltedMs > haltTimeoutMs || overdueSinceJobEnd) {
          return true;
        }
      }
    }
    return false;
  }

  private void reportLost(Host host, String reason) {
    onCapacityLost.run();
    events.publish(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", host.id()).put("zone", host.zone()).put("reason", reason));
  }
}
