package dapplestair.planning;

import dapplestair.machines.MachineType;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * The optimization problem of one planning round: how many machines of each type and pricing to
 * hold. It is immutable, so that a background thread can search it outside the event loop.
 *
 * @param machineKinds the variables
 * @param tasks waiting and expected tasks, least slack first
 * @param taskSlotCpus number of CPUs that one task slot of the dry run represents
 * @param budgetPerHour maximum cost of a plan per hour
 */
record FleetProblem(
    List<MachineKindState> machineKinds,
    List<DryTasks> tasks,
    double taskSlotCpus,
    double budgetPerHour)
    implements Nsga2.Problem {

  // Factor on the duration of a job when a plan has no machine that can run one of its tasks.
  private static final double UNPLACEABLE_TASK_FACTOR = 10;

  /**
   * One variable of the problem: the number of machines of one kind.
   *
   * @param minCount number of machines that are busy or must be kept ready
   * @param maxCount number of machines that the cloud is estimated to provide
   * @param heldSlots when the task slots of the held machines become free, including machines that
   *     are booting
   * @param upCount number of held machines that are up
   * @param pricePerHour highest price of the last minute
   * @param reclaimChance probability that the cloud reclaims a machine within a window
   */
  record MachineKindState(
      MachineType type,
      boolean spot,
      int minCount,
      int maxCount,
      HeldTaskSlots heldSlots,
      int upCount,
      double pricePerHour,
      double reclaimChance) {}

  /**
   * Equal tasks of one job, or of many similar small jobs, in the dry run.
   *
   * @param jobCount number of jobs as which the tasks count in the mean makespan
   * @param allowed for each machine kind, whether the tasks may run on it
   * @param taskCount number of tasks
   * @param taskSlots number of task slots that one task occupies
   * @param service whether the tasks are replicas of a service; these never complete, so only their
   *     start time counts
   * @param arrivesS time in seconds until the tasks arrive, 0 for waiting tasks
   */
  record DryTasks(
      int jobCount,
      boolean[] allowed,
      int taskCount,
      int taskSlots,
      double runS,
      boolean service,
      double fetchGb,
      double arrivesS) {

    /** Creates the tasks of one job. */
    DryTasks(
        boolean[] allowed,
        int taskCount,
        int taskSlots,
        double runS,
        boolean service,
        double fetchGb,
        double arrivesS) {
      this(1, allowed, taskCount, taskSlots, runS, service, fetchGb, arrivesS);
    }
  }

  @Override
  public double[] lower() {
    return machineKinds.stream().mapToDouble(MachineKindState::minCount).toArray();
  }

  @Override
  public double[] upper() {
    return machineKinds.stream().mapToDouble(MachineKindState::maxCount).toArray();
  }

  /**
   * Returns a starting point for the search: the minimum counts, plus machines for the given share
   * of the waiting and expected work, the kinds with the lowest price per CPU first. The same
   * demand yields the same starting point.
   */
  double[] seedForShare(double share) {
    double[] counts = lower();
    double neededCpus = 0;
    for (DryTasks dryTasks : tasks) {
      neededCpus += share * dryTasks.taskCount() * dryTasks.taskSlots() * taskSlotCpus;
    }
    Integer[] cheapestFirst = new Integer[counts.length];
    Arrays.setAll(cheapestFirst, i -> i);
    Arrays.sort(
        cheapestFirst,
        Comparator.comparingDouble(i -> CapacityFloors.pricePerCpu(machineKinds.get(i))));
    for (int i : cheapestFirst) {
      MachineKindState kind = machineKinds.get(i);
      double added =
          Math.min(kind.maxCount() - counts[i], Math.ceil(neededCpus / kind.type().cpus()));
      if (added > 0) {
        counts[i] += added;
        neededCpus -= added * kind.type().cpus();
      }
    }
    return counts;
  }

  /** Rounds the variables to whole machines. */
  static int[] roundToCounts(double[] variables) {
    return Arrays.stream(variables).mapToInt(v -> (int) Math.round(v)).toArray();
  }

  @Override
  public double[] evaluate(double[] variables) {
    int[] counts = roundToCounts(variables);
    double costPerHour = 0;
    double risk = 0;
    int machineCount = 0;
    for (int i = 0; i < counts.length; i++) {
      MachineKindState kind = machineKinds.get(i);
      machineCount += counts[i];
      costPerHour += counts[i] * kind.pricePerHour();
      if (kind.spot()) {
        risk += counts[i] * kind.type().cpus() * kind.reclaimChance();
      }
    }
    if (machineCount == 0 || costPerHour > budgetPerHour) {
      return null;
    }
    return new double[] {meanMakespanS(counts), costPerHour, risk};
  }

  /**
   * Returns the mean makespan of the jobs in a dry run that places the tasks in order, each on the
   * machine kind where it completes earliest. The paper has one workflow, whose last task counts.
   * Here each job is its user's workflow: with one makespan over all jobs, a single long task would
   * hide how long all the others wait. Equal tasks that start at the same time are placed together,
   * so that placing thousands of them costs no more than placing a few.
   */
  double meanMakespanS(int[] counts) {
    FreeTaskSlots[] slotsByKind = new FreeTaskSlots[counts.length];
    for (int i = 0; i < counts.length; i++) {
      MachineKindState kind = machineKinds.get(i);
      int slotsPerMachine = Math.max(1, (int) Math.floor(kind.type().cpus() / taskSlotCpus + 1e-9));
      slotsByKind[i] = kind.heldSlots().slotsOf(counts[i], slotsPerMachine, kind.type().bootS());
    }
    double sumS = 0;
    int jobCount = 0;
    for (DryTasks dryTasks : tasks) {
      sumS += dryTasks.jobCount() * makespanS(dryTasks, counts, slotsByKind);
      jobCount += dryTasks.jobCount();
    }
    return jobCount == 0 ? 0 : sumS / jobCount;
  }

  private double makespanS(DryTasks dryTasks, int[] counts, FreeTaskSlots[] slotsByKind) {
    double longestS = 0;
    double sumS = 0;
    for (int remainingTasks = dryTasks.taskCount(); remainingTasks > 0; ) {
      int bestKind = -1;
      double bestStartS = 0;
      double bestEndS = Double.POSITIVE_INFINITY;
      for (int i = 0; i < slotsByKind.length; i++) {
        if (dryTasks.allowed()[i] && slotsByKind[i].totalSlots() >= dryTasks.taskSlots()) {
          double startS =
              Math.max(dryTasks.arrivesS(), slotsByKind[i].earliestStartS(dryTasks.taskSlots()));
          double endS = startS + fetchS(dryTasks, machineKinds.get(i), startS) + dryTasks.runS();
          if (endS < bestEndS) {
            bestKind = i;
            bestStartS = startS;
            bestEndS = endS;
          }
        }
      }
      if (bestKind < 0) {
        // The plan has no machine for this task, which counts as worse than any placement.
        return UNPLACEABLE_TASK_FACTOR * (dryTasks.runS() + dryTasks.arrivesS() + 1);
      }
      int placedTasks =
          Math.max(
              1,
              Math.min(
                  remainingTasks,
                  slotsByKind[bestKind].countFreeBy(bestStartS) / dryTasks.taskSlots()));
      slotsByKind[bestKind].occupy(placedTasks * dryTasks.taskSlots(), bestEndS);
      double durationS =
          bestEndS - dryTasks.arrivesS() - (dryTasks.service() ? dryTasks.runS() : 0);
      longestS = Math.max(longestS, durationS);
      sumS += placedTasks * durationS;
      remainingTasks -= placedTasks;
    }
    // The makespan of one job is that of its last task; many small jobs count with their mean.
    return dryTasks.jobCount() == 1 ? longestS : sumS / dryTasks.taskCount();
  }

  private static double fetchS(DryTasks dryTasks, MachineKindState kind, double startS) {
    return startS > 0 || kind.upCount() == 0 ? dryTasks.fetchGb() / kind.type().fetchGbPerS() : 0;
  }
}
