package dapplestair.planning;

import dapplestair.placement.RuntimeEstimates;
import dapplestair.planning.FleetProblem.DryTasks;
import dapplestair.planning.FleetProblem.MachineKindState;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds the entries of the dry run, least slack first. An entry represents all waiting tasks of a
 * job, or many similar small jobs: hundreds of services, or many jobs of a single task, would
 * otherwise use up all entries, and the plan would rent nothing for the arrays behind them.
 */
final class DryRunEntries {
  private static final int MAX_ENTRIES = 200;

  /** Tasks of one job that are waiting, or that are expected in {@code arrivesS} seconds. */
  record PendingTasks(Submission job, int taskCount, double slackS, double arrivesS) {}

  private final List<MachineKindState> machineKinds;
  private final double taskSlotCpus;
  private final double aheadS;
  private final double serviceRunS;
  private final RuntimeEstimates estimates;

  /**
   * Creates a builder of entries for the given machine kinds.
   *
   * @param aheadS how many seconds ahead the forecast of arriving jobs reaches
   * @param serviceRunS run time in seconds that a service is assumed to have
   */
  DryRunEntries(
      List<MachineKindState> machineKinds,
      double taskSlotCpus,
      double aheadS,
      double serviceRunS,
      RuntimeEstimates estimates) {
    this.machineKinds = machineKinds;
    this.taskSlotCpus = taskSlotCpus;
    this.aheadS = aheadS;
    this.serviceRunS = serviceRunS;
    this.estimates = estimates;
  }

  List<DryTasks> entriesFor(List<PendingTasks> pending) {
    List<PendingTasks> ordered = new ArrayList<>(pending);
    ordered.sort(Comparator.comparingDouble(PendingTasks::slackS));
    Map<Object, SimilarJobs> jobsByGroup = new LinkedHashMap<>();
    for (PendingTasks pendingTasks : ordered) {
      Object groupKey = isSmall(pendingTasks.job()) ? traits(pendingTasks) : pendingTasks;
      if (jobsByGroup.size() < MAX_ENTRIES || jobsByGroup.containsKey(groupKey)) {
        jobsByGroup
            .computeIfAbsent(groupKey, l -> new SimilarJobs(pendingTasks.job()))
            .add(pendingTasks);
      }
    }
    return jobsByGroup.values().stream().map(this::dryTasks).toList();
  }

  private static boolean isSmall(Submission submission) {
    return submission.isService() || submission.taskCount() == 1;
  }

  /** The traits that similar small jobs have in common. */
  private record Traits(
      List<String> types,
      boolean spot,
      boolean service,
      int taskSlots,
      int runBucket,
      int imageGb,
      int arrivalQuarter) {}

  private Traits traits(PendingTasks pending) {
    Submission submission = pending.job();
    return new Traits(
        submission.types(),
        submission.spot(),
        submission.isService(),
        taskSlots(submission),
        // Groups run times that are within a factor of 1.5 of each other.
        (int) Math.round(Math.log(1 + estimates.expectedRunS(submission)) / Math.log(1.5)),
        (int) Math.round(submission.imageGb()),
        (int) Math.ceil(4 * pending.arrivesS() / Math.max(1, aheadS)));
  }

  private int taskSlots(Submission submission) {
    return (int) Math.max(1, Math.round(submission.cpus() / taskSlotCpus));
  }

  /** Jobs that share one entry. */
  private static final class SimilarJobs {
    final Submission sample;
    int jobCount;
    int taskCount;
    double arrivesSumS;

    SimilarJobs(Submission first) {
      this.sample = first;
    }

    void add(PendingTasks pending) {
      jobCount++;
      taskCount += pending.taskCount();
      arrivesSumS += pending.arrivesS();
    }
  }

  private DryTasks dryTasks(SimilarJobs similarJobs) {
    Submission submission = similarJobs.sample;
    boolean[] allowed = new boolean[machineKinds.size()];
    for (int i = 0; i < allowed.length; i++) {
      MachineKindState kind = machineKinds.get(i);
      allowed[i] = kind.type().suits(submission) && (submission.spot() || !kind.spot());
    }
    return new DryTasks(
        // The square root keeps many similar small jobs from outweighing the large ones.
        (int) Math.round(Math.sqrt(similarJobs.jobCount)),
        allowed,
        similarJobs.taskCount,
        taskSlots(submission),
        submission.isService() ? serviceRunS : estimates.expectedRunS(submission),
        submission.isService(),
        submission.imageGb(),
        similarJobs.arrivesSumS / similarJobs.jobCount);
  }
}
