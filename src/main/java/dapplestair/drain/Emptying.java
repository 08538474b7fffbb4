package dapplestair.drain;

import dapplestair.disruption.Disruption;
import dapplestair.disruption.Refusal;
import dapplestair.fleet.Fleet;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.StopReason;
import dapplestair.ports.Clock;
import dapplestair.work.Report;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Empties drained machines. It only ever stops attempts and begins none, so it can put no task in
 * two places; what it must guard is that services stay whole: as many replicas at a time as their
 * team's budget allows ({@link Disruption}), and none without a place to go to.
 */
public final class Emptying {
  /**
   * What is left on a drained machine.
   *
   * @param tasks attempts that are not over
   * @param services replicas among them
   * @param held replicas that have no other place now, or wait for their team's budget
   * @param because what stands against the next stop there, or null
   * @param noPlace true when a replica has nowhere to go
   */
  public record Progress(int tasks, int services, int held, String because, boolean noPlace) {}

  private static final String NO_PLACE = "no other machine has room for %s under its rules";

  private final Clock clock;
  private final WorkerDesk desk;
  private final Fleet fleet;
  private final Disruption disruption;
  private final Set<Host> under = new HashSet<>();

  // Room that this step has given to replicas on their way, by machine.
  private final Map<Host, List<Submission>> promised = new HashMap<>();
  private final Map<Host, String> standing = new HashMap<>();
  private final Set<Host> placeless = new HashSet<>();

  /** Works on what the leader knows. */
  public Emptying(Clock clock, WorkerDesk desk, Fleet fleet, Disruption disruption) {
    this.clock = clock;
    this.desk = desk;
    this.fleet = fleet;
    this.disruption = disruption;
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
      disruption.look();
    }
    List<Host> order = new ArrayList<>(drained.keySet());
    order.sort(
        Comparator.<Host>comparingLong(h -> drained.get(h).dueWall())
            .thenComparingLong(h -> drained.get(h).atWall())
            .thenComparing(Host::id));
    for (Host h : order) {
      Drain d = drained.get(h);
      for (Attempt a : List.copyOf(h.attempts())) {
        if (!a.exited() && !a.halting() && a.sent()) {
          empty(h, a, d.overdue(nowWall));
        }
      }
      if (d.giveBack() && h.attempts().isEmpty() && h.up()) {
        fleet.release(h);
      }
    }
  }

  private void empty(Host h, Attempt a, boolean overdue) {
    Submission s = a.spec();
    if (s.service()) {
      Host to = a.job().over() ? null : place(a.job(), h);
      if (to == null) {
        standing.putIfAbsent(h, NO_PLACE.formatted(a.key()));
        placeless.add(h);
      } else if (ask(h, a, 0)) {
        promised.computeIfAbsent(to, x -> new ArrayList<>()).add(s);
      }
    } else if (s.saves() && !s.gang() && a.status() == Report.Status.RUNNING) {
      ask(h, a, 2 * s.saveS());
    } else if (overdue) {
      ask(h, a, s.saves() ? 2 * s.saveS() : 0);
    }
  }

  private boolean ask(Host h, Attempt a, double windDownS) {
    Refusal refusal = disruption.ask(a, windDownS, StopReason.DRAIN);
    if (refusal != null) {
      standing.putIfAbsent(h, refusal.words());
    }
    return refusal == null;
  }

  /**
   * Where a replica can go once it is gone from here: a machine with room that the job's rules
   * allow, at best one that has its image. The protocol lets a task be in one place only, so its
   * own replacement cannot run before it has stopped.
   */
  private Host place(Job job, Host from) {
    Submission s = job.spec();
    Host best = null;
    double bestWaitS = Double.POSITIVE_INFINITY;
    for (Host h : desk.hosts()) {
      if (h != from
          && !h.closed()
          && desk.fresh(h)
          && h.allowed(s)
          && roomBeside(h, s)
          && zoneAllowsMove(job, from.zone(), h.zone())) {
        double waitS = h.imageWaitS(s, clock.now());
        if (waitS < bestWaitS) {
          best = h;
          bestWaitS = waitS;
        }
        if (waitS == 0) {
          break;
        }
      }
    }
    return best;
  }

  private boolean roomBeside(Host h, Submission s) {
    double cpus = s.cpus();
    double memory = s.memoryGb();
    double gpus = s.gpus();
    for (Submission p : promised.getOrDefault(h, List.of())) {
      cpus += p.cpus();
      memory += p.memoryGb();
      gpus += p.gpus();
    }
    return cpus <= h.cpusFree() + 1e-9
        && memory <= h.memoryFree() + 1e-9
        && gpus <= h.gpusFree() + 1e-9;
  }

  /** The job's rules on zones, counted without the replica that leaves. */
  private static boolean zoneAllowsMove(Job job, String from, String to) {
    Submission s = job.spec();
    int there = job.inZone(to) - (to.equals(from) ? 1 : 0);
    int others = job.held() - 1;
    if (s.apart() && there >= s.mostPerZone()) {
      return false;
    }
    return !s.together() || others == 0 || there == others;
  }

  Progress progress(Host host) {
    int tasks = 0;
    int services = 0;
    int held = 0;
    for (Attempt a : host.attempts()) {
      if (a.exited()) {
        continue;
      }
      tasks++;
      if (a.spec().service()) {
        services++;
        if (!a.halting()) {
          held++;
        }
      }
    }
    return new Progress(tasks, services, held, standing.get(host), placeless.contains(host));
  }
}
