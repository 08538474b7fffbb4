package dapplestair.planning;

import dapplestair.machines.MachineType;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * One round's search: how many machines of each type and pricing to hold. Immutable, so that it can
 * be searched beside the loop.
 *
 * @param slots the variables
 * @param tasks waiting and expected tasks, least slack first
 * @param laneCpus CPUs that one lane of the dry run stands for
 * @param budget most that a plan may cost per hour
 */
record FleetProblem(
    List<MachineKindState> slots, List<DryTasks> tasks, double laneCpus, double budget)
    implements Nsga2.Problem {

  // How much longer a job counts as taking when a plan has no place at all for one of its tasks.
  private static final double NOWHERE = 10;

  /**
   * One variable.
   *
   * @param least machines that are busy or must be kept ready
   * @param most machines that the cloud has shown to give
   * @param held when the lanes of the machines held are free, booting ones included
   * @param up held machines that are up
   * @param price highest price of the last minute
   * @param takeBack chance that a machine is taken back within a window
   */
  record MachineKindState(
      MachineType type,
      boolean spot,
      int least,
      int most,
      HeldTaskSlots held,
      int up,
      double price,
      double takeBack) {}

  /**
   * Equal tasks of one job, or of many small jobs alike, in the dry run.
   *
   * @param jobs as how many jobs they count in the mean
   * @param allowed for each variable whether they may run there
   * @param count how many
   * @param endless replicas of a service: they never complete, so only their start counts
   * @param arrivesS when they are there, 0 for waiting ones
   */
  record DryTasks(
      int jobs,
      boolean[] allowed,
      int count,
      int lanes,
      double runS,
      boolean endless,
      double fetchGb,
      double arrivesS) {

    /** Tasks of one job. */
    DryTasks(
        boolean[] allowed,
        int count,
        int lanes,
        double runS,
        boolean endless,
        double fetchGb,
        double arrivesS) {
      this(1, allowed, count, lanes, runS, endless, fetchGb, arrivesS);
    }
  }

  @Override
  public double[] lower() {
    return slots.stream().mapToDouble(MachineKindState::least).toArray();
  }

  @Override
  public double[] upper() {
    return slots.stream().mapToDouble(MachineKindState::most).toArray();
  }

  /**
   * A plan that holds the least, and beyond it machines for so large a share of what waits, where a
   * CPU costs least: a place for the search to begin from, the same for the same demand.
   */
  double[] toward(double share) {
    double[] x = lower();
    double need = 0;
    for (DryTasks dryTasks : tasks) {
      need += share * dryTasks.count() * dryTasks.lanes() * laneCpus;
    }
    Integer[] order = new Integer[x.length];
    Arrays.setAll(order, i -> i);
    Arrays.sort(order, Comparator.comparingDouble(i -> CapacityFloors.perCpu(slots.get(i))));
    for (int i : order) {
      MachineKindState kind = slots.get(i);
      double more = Math.min(kind.most() - x[i], Math.ceil(need / kind.type().cpus()));
      if (more > 0) {
        x[i] += more;
        need -= more * kind.type().cpus();
      }
    }
    return x;
  }

  /** Whole machines. */
  static int[] counts(double[] x) {
    return Arrays.stream(x).mapToInt(v -> (int) Math.round(v)).toArray();
  }

  @Override
  public double[] evaluate(double[] x) {
    int[] n = counts(x);
    double spend = 0;
    double risk = 0;
    int machines = 0;
    for (int i = 0; i < n.length; i++) {
      MachineKindState kind = slots.get(i);
      machines += n[i];
      spend += n[i] * kind.price();
      if (kind.spot()) {
        risk += n[i] * kind.type().cpus() * kind.takeBack();
      }
    }
    if (machines == 0 || spend > budget) {
      return null;
    }
    return new double[] {makespan(n), spend, risk};
  }

  /**
   * Places the jobs' tasks in order, each where it completes earliest; the mean of the jobs'
   * makespans. The paper has one workflow, whose last task counts. Here each job is its user's
   * workflow: with one makespan over all of them, a single long task would hide how long all others
   * wait. Equal tasks that start together are placed at once, so that thousands of them cost no
   * more than a few.
   */
  double makespan(int[] n) {
    FreeTaskSlots[] free = new FreeTaskSlots[n.length];
    for (int i = 0; i < n.length; i++) {
      MachineKindState kind = slots.get(i);
      int perMachine = Math.max(1, (int) Math.floor(kind.type().cpus() / laneCpus + 1e-9));
      free[i] = kind.held().free(n[i], perMachine, kind.type().bootS());
    }
    double sum = 0;
    int jobs = 0;
    for (DryTasks dryTasks : tasks) {
      sum += dryTasks.jobs() * makespan(dryTasks, n, free);
      jobs += dryTasks.jobs();
    }
    return jobs == 0 ? 0 : sum / jobs;
  }

  private double makespan(DryTasks dryTasks, int[] n, FreeTaskSlots[] free) {
    double longest = 0;
    double sum = 0;
    for (int left = dryTasks.count(); left > 0; ) {
      int best = -1;
      double bestStart = 0;
      double bestEnd = Double.POSITIVE_INFINITY;
      for (int i = 0; i < free.length; i++) {
        if (dryTasks.allowed()[i] && free[i].total() >= dryTasks.lanes()) {
          double start = Math.max(dryTasks.arrivesS(), free[i].start(dryTasks.lanes()));
          double end = start + fetchS(dryTasks, slots.get(i), start) + dryTasks.runS();
          if (end < bestEnd) {
            best = i;
            bestStart = start;
            bestEnd = end;
          }
        }
      }
      if (best < 0) {
        // Nowhere to run under this plan: worse than any place.
        return NOWHERE * (dryTasks.runS() + dryTasks.arrivesS() + 1);
      }
      int together = Math.max(1, Math.min(left, free[best].freeBy(bestStart) / dryTasks.lanes()));
      free[best].occupy(together * dryTasks.lanes(), bestEnd);
      double took = bestEnd - dryTasks.arrivesS() - (dryTasks.endless() ? dryTasks.runS() : 0);
      longest = Math.max(longest, took);
      sum += together * took;
      left -= together;
    }
    // One job is as long as its last task; of many small ones the mean is what counts.
    return dryTasks.jobs() == 1 ? longest : sum / dryTasks.count();
  }

  private static double fetchS(DryTasks dryTasks, MachineKindState kind, double start) {
    return start > 0 || kind.up() == 0 ? dryTasks.fetchGb() / kind.type().fetchGbPerS() : 0;
  }
}
