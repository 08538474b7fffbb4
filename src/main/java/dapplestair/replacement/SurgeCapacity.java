package dapplestair.replacement;

import dapplestair.fleet.Fleet;
import dapplestair.fleet.MachineKind;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.planning.Autoscaler;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Determines how many surge machines, which are held in addition to the plan, the plan's own budget
 * still pays for, and whether they are up. The plan's counts themselves stay unchanged.
 */
public final class SurgeCapacity {
  private final WorkerManager workers;
  private final Fleet fleet;
  private final MachineTypes types;
  private final Autoscaler autoscaler;

  /** Creates an instance for machines in addition to the plan of {@code autoscaler}. */
  public SurgeCapacity(
      WorkerManager workers, Fleet fleet, MachineTypes types, Autoscaler autoscaler) {
    this.workers = workers;
    this.fleet = fleet;
    this.types = types;
    this.autoscaler = autoscaler;
  }

  /** Returns how many of {@code maxSurge} machines the budget pays for in addition to the plan. */
  int affordableSurge(Map<MachineKind, Integer> batch, int maxSurge) {
    Autoscaler.AppliedPlan plan = autoscaler.appliedPlan();
    if (plan == null) {
      return 0;
    }
    double remainingPerHour = plan.budgetPerHour() - plan.costPerHour();
    if (Double.isNaN(remainingPerHour)) {
      return maxSurge;
    }
    int count = 0;
    for (Map.Entry<MachineKind, Integer> entry : batch.entrySet()) {
      MachineType type = types.get(entry.getKey().type());
      double pricePerHour =
          type == null ? Double.POSITIVE_INFINITY : type.price(entry.getKey().spot());
      for (int i = surgeOfKind(batch, entry.getKey(), maxSurge);
          i > 0 && remainingPerHour >= pricePerHour;
          i--) {
        remainingPerHour -= pricePerHour;
        count++;
      }
    }
    return count;
  }

  /**
   * Returns how many of {@code surgeCount} machines are of one kind. The kinds are served in order,
   * each with up to as many machines as the batch has old ones of it.
   */
  int surgeOfKind(Map<MachineKind, Integer> batch, MachineKind kind, int surgeCount) {
    int remainingSurge = surgeCount;
    for (Map.Entry<MachineKind, Integer> entry : batch.entrySet()) {
      int count = Math.min(remainingSurge, entry.getValue());
      if (entry.getKey().equals(kind)) {
        return count;
      }
      remainingSurge -= count;
    }
    return 0;
  }

  /**
   * Releases an empty machine of the same kind in another zone and rents one in the zone of {@code
   * stuck}, where its replicas may go whatever their spread over the zones. The number of machines
   * stays the same. Returns false if no machine is empty.
   */
  boolean swapEmptyMachine(Host stuck) {
    if (stuck.type() == null) {
      return false;
    }
    MachineKind kind = ReplacementTargets.kindOf(stuck);
    for (Host host : workers.hosts()) {
      if (host.isUp()
          && host.isIdle()
          && fleet.isUsableAs(host, kind)
          && workers.isResponsive(host)
          && !stuck.zone().equals(host.zone())
          && fleet.rentIn(kind, stuck.zone())) {
        return fleet.release(host);
      }
    }
    return false;
  }

  /** Returns the time in milliseconds within which the cloud's lists show every machine. */
  long longestListLagMs() {
    return fleet.maxListLagMs();
  }

  /** Returns whether all machines that the plan and the order want are up and report. */
  boolean isReady(Map<MachineKind, Integer> batch, ToIntFunction<MachineKind> surgeMachines) {
    Autoscaler.AppliedPlan plan = autoscaler.appliedPlan();
    if (plan == null) {
      return false;
    }
    for (MachineKind kind : batch.keySet()) {
      int upCount = 0;
      for (Host host : workers.hosts()) {
        upCount +=
            fleet.isUsableAs(host, kind) && host.hasAcknowledgedTerm() && workers.isResponsive(host)
                ? 1
                : 0;
      }
      if (upCount < plan.counts().getOrDefault(kind, 0) + surgeMachines.applyAsInt(kind)) {
        return false;
      }
    }
    return true;
  }
}
