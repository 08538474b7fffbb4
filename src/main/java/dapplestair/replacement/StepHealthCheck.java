package dapplestair.replacement;

import dapplestair.disruption.BudgetStatus;
import dapplestair.disruption.DisruptionGate;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.List;
import java.util.Map;

/** Checks whether a step goes well, and what causes the problem if it does not. */
final class StepHealthCheck {
  // Below this number of completed tasks, the measured speed of a machine says little; up to this
  // number of failures, a machine does not count as failing.
  private static final int MIN_SAMPLES = 2;

  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final ReplacementTargets targets;

  StepHealthCheck(
      WorkerManager workers, DisruptionGate disruptionGate, ReplacementTargets targets) {
    this.workers = workers;
    this.disruptionGate = disruptionGate;
    this.targets = targets;
  }

  /**
   * Returns a problem that is not a fault of the new machines, such as a silent zone, or null. A
   * pause for such a problem ends by itself.
   */
  String findOutsideFault(boolean loopLagging) {
    if (loopLagging) {
      return "the leader's own loop lags behind";
    }
    for (Host host : workers.hosts()) {
      if (host.zoneSilentMs() > 0) {
        return "zone " + host.zone() + " is silent";
      }
    }
    return null;
  }

  /** Returns the first team with too many unavailable replicas, as a pause reason, or null. */
  String findUnavailableReplicas() {
    for (Map.Entry<String, BudgetStatus> entry : disruptionGate.statuses().entrySet()) {
      // The next step may begin while at most half of the budget is used; each stop in it needs
      // the permission of the disruption gate anyway.
      if (2L * entry.getValue().unavailableReplicas() > entry.getValue().maxUnavailableReplicas()) {
        return "%d replicas of team %s are not back"
            .formatted(entry.getValue().unavailableReplicas(), entry.getKey());
      }
    }
    return null;
  }

  /**
   * Returns the problem with the new machines, or null. Only an operator can end a pause for such a
   * problem.
   */
  String findMachineFault(ReplacementOrder order, long sinceWallMs) {
    List<Host> newMachines = targets.newMachines(order, sinceWallMs);
    long upCount = newMachines.stream().filter(Host::isUp).count();
    List<Host> failing =
        newMachines.stream().filter(h -> h.isDraining() || h.failures() > MIN_SAMPLES).toList();
    // A single bad machine among many is chance, and is given up like any other bad machine.
    if (!failing.isEmpty() && failing.size() * 4L >= upCount) {
      return "new machines fail tasks: %d of %d, such as %s"
          .formatted(failing.size(), upCount, failing.get(0).id());
    }
    double newSlowness = meanSlowness(newMachines);
    double oldSlowness = meanSlowness(targets.oldMachines(order));
    if (newSlowness > order.maxSlowdown() * oldSlowness) {
      return "new machines take %.2f times as long as the old".formatted(newSlowness / oldSlowness);
    }
    return null;
  }

  private static double meanSlowness(List<Host> hosts) {
    return hosts.stream()
        .filter(h -> h.completedTasks() >= MIN_SAMPLES)
        .mapToDouble(Host::slowness)
        .average()
        .orElse(1);
  }
}
