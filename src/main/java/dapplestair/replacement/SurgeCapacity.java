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
 * Machines beyond the plan's count: how many the plan's own budget still pays for, and whether they
 * are up. The counts themselves stay the plan's.
 */
public final class SurgeCapacity {
  private final WorkerManager workers;
  private final Fleet fleet;
  private final MachineTypes types;
  private final Autoscaler autoscaler;

  /** Beside what {@code autoscaler} holds. */
  public SurgeCapacity(
      WorkerManager workers, Fleet fleet, MachineTypes types, Autoscaler autoscaler) {
    this.workers = workers;
    this.fleet = fleet;
    this.types = types;
    this.autoscaler = autoscaler;
  }

  /** How many of {@code beyond} machines the budget pays for beside the plan. */
  int affords(Map<MachineKind, Integer> batch, int beyond) {
    Autoscaler.AppliedPlan plan = autoscaler.appliedPlan();
    if (plan == null) {
      return 0;
    }
    double left = plan.budgetPerHour() - plan.costPerHour();
    if (Double.isNaN(left)) {
      return beyond;
    }
    int count = 0;
    for (Map.Entry<MachineKind, Integer> entry : batch.entrySet()) {
      MachineType type = types.get(entry.getKey().type());
      double price = type == null ? Double.POSITIVE_INFINITY : type.price(entry.getKey().spot());
      for (int i = share(batch, entry.getKey(), beyond); i > 0 && left >= price; i--) {
        left -= price;
        count++;
      }
    }
    return count;
  }

  /** How many of {@code beyond} fall to one kind: in order, as many as there are old ones of it. */
  int share(Map<MachineKind, Integer> batch, MachineKind kind, int beyond) {
    int rest = beyond;
    for (Map.Entry<MachineKind, Integer> entry : batch.entrySet()) {
      int count = Math.min(rest, entry.getValue());
      if (entry.getKey().equals(kind)) {
        return count;
      }
      rest -= count;
    }
    return 0;
  }

  /**
   * Returns an empty machine of the same kind in another zone and rents one where this one is: its
   * replicas may go there whatever their spread. The count stays the same; false if none is empty.
   */
  boolean swap(Host stuck) {
    if (stuck.type() == null) {
      return false;
    }
    MachineKind kind = ReplacementTargets.slot(stuck);
    for (Host host : workers.hosts()) {
      if (host.up()
          && host.idle()
          && fleet.counts(host, kind)
          && workers.fresh(host)
          && !stuck.zone().equals(host.zone())
          && fleet.rentIn(kind, stuck.zone())) {
        return fleet.release(host);
      }
    }
    return false;
  }

  /** Within this time lists show whatever there is; milliseconds. */
  long longestListLag() {
    return fleet.longestListLag();
  }

  /** True when all that plan and order want is up and heard. */
  boolean ready(Map<MachineKind, Integer> batch, ToIntFunction<MachineKind> extra) {
    Autoscaler.AppliedPlan plan = autoscaler.appliedPlan();
    if (plan == null) {
      return false;
    }
    for (MachineKind kind : batch.keySet()) {
      int up = 0;
      for (Host host : workers.hosts()) {
        up += fleet.counts(host, kind) && host.acknowledged() && workers.fresh(host) ? 1 : 0;
      }
      if (up < plan.counts().getOrDefault(kind, 0) + extra.applyAsInt(kind)) {
        return false;
      }
    }
    return true;
  }
}
