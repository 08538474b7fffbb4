package dapplestair.drain;

import dapplestair.fleet.Fleet;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.StopReason;
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
 * two places; what it must guard is that services stay whole: of each, one replica at a time, and
 * none without a place to go to.
 */
public final class Emptying {
  /**
   * What is left on a drained machine.
   *
   * @param tasks attempts that are not over
   * @param services replicas among them
   * @param held replicas that have no other place now, or wait for another one to run again
   */
  public record Progress(int tasks, int services, int held) {}

  private final Ledger ledger;
  private final WorkerDesk desk;
  private final Fleet fleet;
  private final Set<Host> under = new HashSet<>();

  // Room that this step has given to replicas on their way, by machine.
  private final Map<Host, List<Submission>> promised = new HashMap<>();
  private final Set<Job> moving = new HashSet<>();

  /** Works on what the leader knows. */
  public Emptying(Ledger ledger, WorkerDesk desk, Fleet fleet) {
    this.ledger = ledger;
    this.desk = desk;
    this.fleet = fleet;
  }

  void clear() {
    under.clear();
  }

  /** True while machines were drained at the last step. */
  boolean any() {
    return !under.isEmpty();
  }

  /** One step for all drained machines. */
  void step(Map<Host, Drain> drained, long nowWall) {
    under.clear();
    under.addAll(drained.keySet());
    promised.clear();
    moving.clear();
    List<Host> order = new ArrayList<>(drained.keySet());
    order.sort(Comparator.comparing(Host::id));
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
      if (movable(h, a)) {
        moving.add(a.job());
        ledger.halt(a, 0, StopReason.DRAIN);
      }
    } else if (s.saves() && !s.gang() && a.status() == Report.Status.RUNNING) {
      ledger.halt(a, 2 * s.saveS(), StopReason.DRAIN);
    } else if (overdue) {
      ledger.halt(a, s.saves() ? 2 * s.saveS() : 0, StopReason.DRAIN);
    }
  }

  /**
   * A replica may be stopped only while all others of its job run, and only if a machine has room
   * for it that the job's rules allow once it is gone from here. The protocol lets a task be in one
   * place only, so its own replacement cannot run before it has stopped.
   */
  private boolean movable(Host from, Attempt a) {
    Job job = a.job();
    if (job.over() || moving.contains(job) || job.waiting() > 0 || !allRun(job)) {
      return false;
    }
    Host to = place(job, from);
    if (to == null) {
      return false;
    }
    promised.computeIfAbsent(to, h -> new ArrayList<>()).add(job.spec());
    return true;
  }

  /** All replicas run on machines that were heard lately; none is being stopped. */
  private boolean allRun(Job job) {
    for (Attempt other : ledger.attempts(job)) {
      Host h = desk.known(other.host());
      if (other.halting()
          || other.exited()
          || other.status() != Report.Status.RUNNING
          || h == null
          || h.outOfReach()) {
        return false;
      }
    }
    return true;
  }

  private Host place(Job job, Host from) {
    for (Host h : desk.hosts()) {
      if (h != from
          && !h.closed()
          && desk.fresh(h)
          && h.allowed(job.spec())
          && roomBeside(h, job.spec())
          && zoneAllowsMove(job, from.zone(), h.zone())) {
        return h;
      }
    }
    return null;
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
    return new Progress(tasks, services, held);
  }
}
