package dapplestair.planning;

import dapplestair.fleet.MachineType;
import java.util.Arrays;
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
record FleetProblem(List<SlotState> slots, List<DryTask> tasks, double laneCpus, double budget)
    implements Nsga2.Problem {

  // How much longer a job counts as taking when a plan has no place at all for one of its tasks.
  private static final double NOWHERE = 10;

  /**
   * One variable.
   *
   * @param least machines that are busy or must be kept ready
   * @param most machines that the cloud has shown to give
   * @param busyUntilS for each held machine that is up, when each of its lanes is free, from now
   * @param bootingS for each held machine that is not up yet, when it will be
   * @param price highest price of the last minute
   * @param takeBack chance that a machine is taken back within a window
   */
  record SlotState(
      MachineType type,
      boolean spot,
      int least,
      int most,
      List<double[]> busyUntilS,
      List<Double> bootingS,
      double price,
      double takeBack) {}

  /**
   * One task of the dry run.
   *
   * @param allowed for each variable whether the task may run there
   * @param arrivesS when it is there, 0 for waiting ones
   * @param job index of its job
   */
  record DryTask(
      boolean[] allowed, int lanes, double runS, double fetchGb, double arrivesS, int job) {}

  @Override
  public double[] lower() {
    return slots.stream().mapToDouble(SlotState::least).toArray();
  }

  @Override
  public double[] upper() {
    return slots.stream().mapToDouble(SlotState::most).toArray();
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
      SlotState s = slots.get(i);
      machines += n[i];
      spend += n[i] * s.price();
      if (s.spot()) {
        risk += n[i] * s.type().cpus() * s.takeBack();
      }
    }
    if (machines == 0 || spend > budget) {
      return null;
    }
    return new double[] {makespan(n), spend, risk};
  }

  /**
   * Places the tasks in order, each where it completes earliest; the mean of the jobs' makespans.
   * The paper has one workflow, whose last task counts. Here each job is its user's workflow: with
   * one makespan over all of them, a single long task would hide how long all others wait.
   */
  double makespan(int[] n) {
    double[][] free = new double[n.length][];
    int[] old = new int[n.length];
    for (int i = 0; i < n.length; i++) {
      free[i] = lanes(slots.get(i), n[i]);
      old[i] = Math.min(n[i], slots.get(i).busyUntilS().size());
    }
    int jobs = tasks.isEmpty() ? 0 : tasks.stream().mapToInt(DryTask::job).max().getAsInt() + 1;
    double[] ends = new double[jobs];
    for (DryTask t : tasks) {
      int best = -1;
      double bestEnd = Double.POSITIVE_INFINITY;
      for (int i = 0; i < n.length; i++) {
        if (t.allowed()[i] && free[i].length >= t.lanes()) {
          // With the lanes as a sorted row, a task that takes several starts at the last of them.
          double start = Math.max(t.arrivesS(), free[i][t.lanes() - 1]);
          double fetch =
              start > 0 || old[i] == 0 ? t.fetchGb() / slots.get(i).type().fetchGbPerS() : 0;
          double end = start + fetch + t.runS();
          if (end < bestEnd) {
            bestEnd = end;
            best = i;
          }
        }
      }
      if (best < 0) {
        // Nowhere to run under this plan: worse than any place.
        ends[t.job()] = Math.max(ends[t.job()], NOWHERE * (t.runS() + t.arrivesS() + 1));
        continue;
      }
      occupy(free[best], t.lanes(), bestEnd);
      ends[t.job()] = Math.max(ends[t.job()], bestEnd - t.arrivesS());
    }
    return jobs == 0 ? 0 : Arrays.stream(ends).sum() / jobs;
  }

  /** Takes the first lanes of a sorted row until {@code end}, keeping it sorted. */
  private static void occupy(double[] row, int lanes, double end) {
    int to = lanes;
    while (to < row.length && row[to] < end) {
      row[to - lanes] = row[to];
      to++;
    }
    Arrays.fill(row, to - lanes, to, end);
  }

  private double[] lanes(SlotState s, int n) {
    int perMachine = Math.max(1, (int) Math.floor(s.type().cpus() / laneCpus + 1e-9));
    double[] out = new double[n * perMachine];
    int at = 0;
    int used = 0;
    // Busy machines come first in the list: idle ones are those that a smaller plan gives up.
    for (double[] until : s.busyUntilS()) {
      if (used == n) {
        break;
      }
      for (int l = 0; l < perMachine; l++) {
        out[at++] = l < until.length ? until[l] : 0;
      }
      used++;
    }
    for (int k = 0; used < n; k++, used++) {
      double ready = k < s.bootingS().size() ? s.bootingS().get(k) : s.type().bootS();
      Arrays.fill(out, at, at + perMachine, ready);
      at += perMachine;
    }
    Arrays.sort(out);
    return out;
  }
}
