package dapplestair.drain;

import dapplestair.disruption.DisruptionGate;
import dapplestair.disruption.DisruptionRefusal;
import dapplestair.fleet.Fleet;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.StopReason;
import dapplestair.ports.Clock;
import dapplestair.work.Report;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stops the attempts on drained machines. It never starts an attempt, so it cannot cause a task to
 * run in two places. It must keep services available: it stops only as many replicas at a time as
 * their team's budget allows ({@link DisruptionGate}), and no replica that has nowhere to go.
 */
public final class DrainExecutor {
  /**
   * The tasks that remain on a drained machine.
   *
   * @param taskCount number of attempts that have not exited
   * @param replicaCount number of service replicas among them
   * @param waitingReplicas number of replicas not being stopped yet, because they have nowhere to
   *     go or wait for their team's budget
   * @param blockedReason reason why the next attempt on the machine is not stopped, or null
   * @param lacksDestination whether a replica has nowhere to go
   */
  public record DrainProgress(
      int taskCount,
      int replicaCount,
      int waitingReplicas,
      String blockedReason,
      boolean lacksDestination) {}

  private static final String NO_DESTINATION_REASON =
      "no other machine has room for %s under its rules";

  private final Clock clock;
  private final WorkerManager workers;
  private final Fleet fleet;
  private final DisruptionGate disruptionGate;
  private final Set<Host> drainedHosts = new LinkedHashSet<>();

  // Replicas for which the current step has set capacity aside, by destination machine.
  private final Map<Host, List<Submission>> promisedReplicas = new LinkedHashMap<>();
  private final Map<Host, String> blockedReasons = new LinkedHashMap<>();
  private final Set<Host> hostsLackingDestination = new LinkedHashSet<>();

  /** Creates an executor that uses the leader's view of the machines. */
  public DrainExecutor(
      Clock clock, WorkerManager workers, Fleet fleet, DisruptionGate disruptionGate) {
    this.clock = clock;
    this.workers = workers;
    this.fleet = fleet;
    this.disruptionGate = disruptionGate;
  }

  void clear() {
    drainedHosts.clear();
    blockedReasons.clear();
    hostsLackingDestination.clear();
  }

  /** Returns whether any machine was drained at the last step. */
  boolean hasDrainedHosts() {
    return !drainedHosts.isEmpty();
  }

  /**
   * Performs one step for all drained machines. Machines with the earliest deadline request stops
   * first, then those with the oldest order, so that no machine is passed over forever.
   */
  void step(Map<Host, Drain> drainsByHost, long nowWallMs) {
    drainedHosts.clear();
    drainedHosts.addAll(drainsByHost.keySet());
    promisedReplicas.clear();
    blockedReasons.clear();
    hostsLackingDestination.clear();
    if (!drainsByHost.isEmpty()) {
      disruptionGate.refresh();
    }
    List<Host> orderedHosts = new ArrayList<>(drainsByHost.keySet());
    orderedHosts.sort(
        Comparator.<Host>comparingLong(h -> drainsByHost.get(h).deadlineWallMs())
            .thenComparingLong(h -> drainsByHost.get(h).orderedAtWallMs())
            .thenComparing(Host::id));
    for (Host host : orderedHosts) {
      Drain drain = drainsByHost.get(host);
      for (Attempt attempt : List.copyOf(host.attempts())) {
        if (!attempt.exited() && !attempt.halting() && attempt.isSent()) {
          drainAttempt(host, attempt, drain.isOverdue(nowWallMs));
        }
      }
      if (drain.returnToCloud() && host.attempts().isEmpty() && host.isUp()) {
        fleet.release(host);
      }
    }
  }

  private void drainAttempt(Host host, Attempt attempt, boolean isOverdue) {
    Submission submission = attempt.spec();
    if (submission.isService()) {
      Host destination = attempt.job().isOver() ? null : findDestination(attempt.job(), host);
      if (destination == null) {
        blockedReasons.putIfAbsent(host, NO_DESTINATION_REASON.formatted(attempt.key()));
        hostsLackingDestination.add(host);
      } else if (requestStop(host, attempt, 0)) {
        promisedReplicas.computeIfAbsent(destination, x -> new ArrayList<>()).add(submission);
      }
    } else if (submission.savesProgress()
        && !submission.isGang()
        && attempt.status() == Report.Status.RUNNING) {
      requestStop(host, attempt, 2 * submission.saveDurationS());
    } else if (isOverdue) {
      requestStop(host, attempt, submission.savesProgress() ? 2 * submission.saveDurationS() : 0);
    }
  }

  private boolean requestStop(Host host, Attempt attempt, double windDownS) {
    DisruptionRefusal refusal = disruptionGate.requestStop(attempt, windDownS, StopReason.DRAIN);
    if (refusal != null) {
      blockedReasons.putIfAbsent(host, refusal.describe());
    }
    return refusal == null;
  }

  /**
   * Returns a machine on which a replica can run after it has stopped on {@code source}: one with
   * free capacity that the job's rules allow, preferably one that holds the image; null if there is
   * none. The protocol allows a task to be in one place only, so the successor cannot start before
   * the replica has stopped.
   */
  private Host findDestination(Job job, Host source) {
    Submission submission = job.spec();
    Host best = null;
    double bestWaitS = Double.POSITIVE_INFINITY;
    for (Host host : workers.hosts()) {
      if (host != source
          && !host.closed()
          && workers.isResponsive(host)
          && host.isAllowedBy(submission)
          && hasUnpromisedCapacity(host, submission)
          && zoneAllowsMove(job, source.zone(), host.zone())) {
        double waitS = host.imageWaitS(submission, clock.now());
        if (waitS < bestWaitS) {
          best = host;
          bestWaitS = waitS;
        }
        if (waitS == 0) {
          break;
        }
      }
    }
    return best;
  }

  private boolean hasUnpromisedCapacity(Host host, Submission submission) {
    double cpus = submission.cpus();
    double memoryGb = submission.memoryGb();
    double gpus = submission.gpus();
    for (Submission promised : promisedReplicas.getOrDefault(host, List.of())) {
      cpus += promised.cpus();
      memoryGb += promised.memoryGb();
      gpus += promised.gpus();
    }
    return cpus <= host.cpusFree() + 1e-9
        && memoryGb <= host.memoryFreeGb() + 1e-9
        && gpus <= host.gpusFree() + 1e-9;
  }

  /** Checks the job's zone rules, not counting the replica that leaves. */
  private static boolean zoneAllowsMove(Job job, String fromZone, String toZone) {
    Submission submission = job.spec();
    int othersInZone = job.attemptsInZone(toZone) - (toZone.equals(fromZone) ? 1 : 0);
    int others = job.heldAttempts() - 1;
    if (submission.apart() && othersInZone >= submission.maxTasksPerZone()) {
      return false;
    }
    return !submission.together() || others == 0 || othersInZone == others;
  }

  DrainProgress progress(Host host) {
    int taskCount = 0;
    int replicaCount = 0;
    int waitingReplicas = 0;
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      taskCount++;
      if (attempt.spec().isService()) {
        replicaCount++;
        if (!attempt.halting()) {
          waitingReplicas++;
        }
      }
    }
    return new DrainProgress(
        taskCount,
        replicaCount,
        waitingReplicas,
        blockedReasons.get(host),
        hostsLackingDestination.contains(host));
  }
}
