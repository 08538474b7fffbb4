package dapplestair.planning;

import dapplestair.fleet.Fleet;
import dapplestair.fleet.MachineType;
import dapplestair.fleet.MachineTypes;
import dapplestair.fleet.Slot;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Timers;
import dapplestair.settings.Operator;
import dapplestair.workers.Host;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Plans the fleet at a steady interval and applies the plan. */
public final class Planning implements AutoCloseable {
  private final Timers timers;
  private final Operator operator;
  private final Ledger ledger;
  private final Fleet fleet;
  private final MachineTypes types;
  private final Map<Slot, Integer> fewer = new HashMap<>();
  private Cancellable timer = () -> {};

  /** Plans for what the ledger holds. */
  public Planning(
      Timers timers, Operator operator, Ledger ledger, Fleet fleet, MachineTypes types) {
    this.timers = timers;
    this.operator = operator;
    this.ledger = ledger;
    this.fleet = fleet;
    this.types = types;
  }

  /** Begins. */
  public void lead() {
    round();
  }

  /** Stops. */
  public void clear() {
    timer.cancel();
    fewer.clear();
  }

  private void round() {
    if (ledger.armed() && types.known()) {
      apply(plan());
    }
    timer = timers.after(operator.planIntervalMs() / 5, this::round);
  }

  private Map<Slot, Integer> plan() {
    double steady = 0;
    double either = 0;
    for (Job job : ledger.jobs()) {
      if (!job.over()) {
        double cpus = job.spec().cpus() * (job.waiting() + job.held());
        if (job.spec().spot()) {
          either += cpus;
        } else {
          steady += cpus;
        }
      }
    }
    Map<Slot, Integer> out = new HashMap<>();
    fill(out, false, steady * 1.25 + 16);
    double missing = fill(out, true, either * 1.1 + 64);
    fill(out, false, steady * 1.25 + 16 + missing);
    return out;
  }

  private double fill(Map<Slot, Integer> out, boolean spot, double cpus) {
    List<MachineType> byPrice =
        types.all().stream()
            .sorted(Comparator.comparingDouble(t -> t.price(spot) / t.cpus()))
            .toList();
    double left = cpus;
    for (MachineType t : byPrice) {
      Slot slot = new Slot(t.name(), spot);
      int most = fleet.capacity(slot, 4);
      int n = (int) Math.min(most, Math.ceil(Math.max(0, left) / t.cpus()));
      out.put(slot, n);
      left -= n * t.cpus();
    }
    return Math.max(0, left);
  }

  private void apply(Map<Slot, Integer> plan) {
    plan.forEach(
        (slot, want) -> {
          int have = fleet.holding(slot);
          if (want > have) {
            fleet.rent(slot, want - have);
          }
          if (want >= have) {
            fewer.remove(slot);
          } else if (fewer.merge(slot, 1, Integer::sum) >= 5 * operator.returnAfterRounds()) {
            List<Host> idle = fleet.returnable(slot);
            idle.stream().limit(have - want).forEach(fleet::release);
          }
        });
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
