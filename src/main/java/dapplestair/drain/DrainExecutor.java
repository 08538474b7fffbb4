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
 * Empties drained machines. It only ever stops attempts and begins none, so it can put no task in
 * two places; what it must guard is that services stay whole: as many replicas at a time as their
 * team's budget allows ({@link DisruptionGate}), and none without a place to go to.
 */
public final class DrainExecutor {
  /**
   * What is left on a drained machine.
   *
   * @param tasks attempts that are not over
   * @param services replicas among them
   * @param held replicas that have no other place now, or wait for their team's budget
   * @param because what stands against the next stop there, or null
   * @param noPlace true when a replica has nowhere to go
   */
  public record DrainProgress(int tasks, int services, int held, String because, boolean noPlace) {}

  private static final String NO_PLACE = "no other machine has room for %s under its rules";

  private final Clock clock;
  private final WorkerManager workers;
  private final Fleet fleet;
  private final DisruptionGate disruptionGate;
  private final Set<Host> under = new LinkedHashSet<>();

  // Room that this step has given to replicas on their way, by machine.
  private final Map<Host, List<Submission>> promised = new LinkedHashMap<>();
  private final Map<Host, String> standing = new LinkedHashMap<>();
  private final Set<Host> placeless = new LinkedHashSet<>();

  /** Works on what the leader knows. */
  public DrainExecutor(
      Clock clock, WorkerManager workers, Fleet fleet, DisruptionGate disruptionGate) {
    this.clock = clock;
    this.workers = workers;
    this.fleet = fleet;
    this.disruptionGate = disruptionGate;
  }

  void clear() {
    under.clear();
    standing.clear();
    placeless.clear();
  }

  /** True while machines were drained at the last step. */
  boolean any() {
    return !under.isEmpty();
  }

  /**
   * One step for all drained machines. Those whose deadline comes first ask first, then those whose
   * order is older, so that none is passed over for ever.
   */
  void step(Map<Host, Drain> drained, long nowWall) {
    under.clear();
    under.addAll(drained.keySet());
    promised.clear();
    standing.clear();
    placeless.clear();
    if (!drained.isEmpty()) {
      disruptionGate.look();
    }
    List<Host> order = new ArrayList<>(drained.keySet());
    order.sort(
        Comparator.<Host>comparingLong(h -> drained.get(h).dueWall())
            .thenComparingLong(h -> drained.get(h).atWall())
            .thenComparing(Host::id));
    for (Host h : order) {
      Drain drain = drained.get(h);
      for (Attempt attempt : List.copyOf(h.attempts())) {
        if (!attempt.exited() && !attempt.halting() && attempt.isSent()) {
          empty(h, attempt, drain.overdue(nowWall));
        }
      }
      if (drain.giveBack() && h.attempts().isEmpty() && h.isUp()) {
        fleet.release(h);
      }
    }
  }

  private void empty(Host host, Attempt attempt, boolean overdue) {
    Submission submission = attempt.spec();
    if (submission.isService()) {
      Host to = attempt.job().isOver() ? null : place(attempt.job(), host);
      if (to == null) {
        standing.putIfAbsent(host, NO_PLACE.formatted(attempt.key()));
        placeless.add(host);
      } else if (ask(host, attempt, 0)) {
        promised.computeIfAbsent(to, x -> new ArrayList<>()).add(submission);
      }
    } else if (submission.savesProgress()
        && !submission.isGang()
        && attempt.status() == Report.Status.RUNNING) {
      ask(host, attempt, 2 * submission.saveDurationS());
    } else if (overdue) {
      ask(host, attempt, submission.savesProgress() ? 2 * submission.saveDurationS() : 0);
    }
  }

  private boolean ask(Host host, Attempt attempt, double windDownS) {
    DisruptionRefusal refusal = disruptionGate.ask(attempt, windDownS, StopReason.DRAIN);
    if (refusal != null) {
      standing.putIfAbsent(host, refusal.words());
    }
    return refusal == null;
  }

  /**
   * Where a replica can go once it is gone from here: a machine with room that the job's rules
   * allow, at best one that has its image. The protocol lets a task be in one place only, so its
   * own replacement cannot run before it has stopped.
   */
  private Host place(Job job, Host from) {
    Submission submission = job.spec();
    Host best = null;
    double bestWaitS = Double.POSITIVE_INFINITY;
    for (Host host : workers.hosts()) {
      if (host != from
          && !host.closed()
          && workers.isResponsive(host)
          && host.isAllowedBy(submission)
          && roomBeside(host, submission)
          && zoneAllowsMove(job, from.zone(), host.zone())) {
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

  private boolean roomBeside(Host host, Submission submission) {
    double cpus = submission.cpus();
    double memory = submission.memoryGb();
    double gpus = submission.gpus();
    for (Submission p : promised.getOrDefault(host, List.of())) {
      cpus += p.cpus();
      memory += p.memoryGb();
      gpus += p.gpus();
    }
    return cpus <= host.cpusFree() + 1e-9
        && memory <= host.memoryFreeGb() + 1e-9
        && gpus <= host.gpusFree() + 1e-9;
  }

  /** The job's rules on zones, counted without the replica that leaves. */
  private static boolean zoneAllowsMove(Job job, String from, String to) {
    Submission submission = job.spec();
    int there = job.attemptsInZone(to) - (to.equals(from) ? 1 : 0);
    int others = job.heldAttempts() - 1;
    if (submission.apart() && there >= submission.maxTasksPerZone()) {
      return false;
    }
    return !submission.together() || others == 0 || there == others;
  }

  DrainProgress progress(Host host) {
    int tasks = 0;
    int services = 0;
    int held = 0;
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      tasks++;
      if (attempt.spec().isService()) {
        services++;
        if (!attempt.halting()) {
          held++;
        }
      }
    }
    return new DrainProgress(tasks, services, held, standing.get(host), placeless.contains(host));
  }
}
