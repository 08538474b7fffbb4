package dapplestair.replacement;

import dapplestair.disruption.BudgetStatus;
import dapplestair.disruption.DisruptionGate;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.List;
import java.util.Map;

/** Whether a step goes well, and whose fault it is if it does not. */
final class StepHealthCheck {
  // Of so few completions a machine's speed says little.
  private static final int ENOUGH = 2;

  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final ReplacementTargets targets;

  StepHealthCheck(
      WorkerManager workers, DisruptionGate disruptionGate, ReplacementTargets targets) {
    this.workers = workers;
    this.disruptionGate = disruptionGate;
    this.targets = targets;
  }

  /** What is wrong around the order, or null; such a pause ends by itself. */
  String outside(boolean lagging) {
    if (lagging) {
      return "the leader's own loop lags behind";
    }
    for (Host host : workers.hosts()) {
      if (host.zoneSilentMs() > 0) {
        return "zone " + host.zone() + " is silent";
      }
    }
    return null;
  }

  /** Replicas that are out, for whatever reason, by team; or null. */
  String replicasOut() {
    for (Map.Entry<String, BudgetStatus> entry : disruptionGate.statuses().entrySet()) {
      // Below half of its budget the next step may go on; what it moves is asked for anyway.
      if (2L * entry.getValue().out() > entry.getValue().allowed()) {
        return "%d replicas of team %s are not back"
            .formatted(entry.getValue().out(), entry.getKey());
      }
    }
    return null;
  }

  /** What is wrong with the new machines, or null; only an operator's word ends such a pause. */
  String newMachines(ReplacementOrder order, long since) {
    List<Host> fresh = targets.fresh(order, since);
    long up = fresh.stream().filter(Host::isUp).count();
    List<Host> failing =
        fresh.stream().filter(h -> h.isDraining() || h.failures() > ENOUGH).toList();
    // One bad machine in many is chance, and is given up as ever.
    if (!failing.isEmpty() && failing.size() * 4L >= up) {
      return "new machines fail tasks: %d of %d, such as %s"
          .formatted(failing.size(), up, failing.get(0).id());
    }
    double now = slowness(fresh);
    double before = slowness(targets.old(order));
    if (now > order.slower() * before) {
      return "new machines take %.2f times as long as the old".formatted(now / before);
    }
    return null;
  }

  private static double slowness(List<Host> of) {
    return of.stream()
        .filter(h -> h.completedTasks() >= ENOUGH)
        .mapToDouble(Host::slowness)
        .average()
        .orElse(1);
  }
}
