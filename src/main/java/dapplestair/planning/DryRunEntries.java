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
 * The entries of the dry run, least slack first. One stands for all waiting tasks of a job, or for
 * many small jobs that are alike: hundreds of services, or a swarm of single tasks, would otherwise
 * take all entries, and the plan would rent nothing for the arrays behind them.
 */
final class DryRunEntries {
  private static final int MOST = 200;

  /** Tasks of one job that wait, or are expected in {@code arrivesS} seconds. */
  record PendingTasks(Submission job, int count, double slackS, double arrivesS) {}

  private final List<MachineKindState> slots;
  private final double laneCpus;
  private final double aheadS;
  private final double serviceS;
  private final RuntimeEstimates estimates;

  /**
   * Entries over these variables.
   *
   * @param aheadS how far ahead work is expected
   * @param serviceS what a service counts as running
   */
  DryRunEntries(
      List<MachineKindState> slots,
      double laneCpus,
      double aheadS,
      double serviceS,
      RuntimeEstimates estimates) {
    this.slots = slots;
    this.laneCpus = laneCpus;
    this.aheadS = aheadS;
    this.serviceS = serviceS;
    this.estimates = estimates;
  }

  List<DryTasks> of(List<PendingTasks> pending) {
    List<PendingTasks> ordered = new ArrayList<>(pending);
    ordered.sort(Comparator.comparingDouble(PendingTasks::slackS));
    Map<Object, SimilarJobs> entries = new LinkedHashMap<>();
    for (PendingTasks p : ordered) {
      Object like = small(p.job()) ? traits(p) : p;
      if (entries.size() < MOST || entries.containsKey(like)) {
        entries.computeIfAbsent(like, l -> new SimilarJobs(p.job())).add(p);
      }
    }
    return entries.values().stream().map(this::dryTasks).toList();
  }

  private static boolean small(Submission submission) {
    return submission.isService() || submission.taskCount() == 1;
  }

  /** What makes small jobs alike. */
  private record Traits(
      List<String> types, boolean spot, boolean service, int lanes, int run, int image, int due) {}

  private Traits traits(PendingTasks pending) {
    Submission submission = pending.job();
    return new Traits(
        submission.types(),
        submission.spot(),
        submission.isService(),
        lanes(submission),
        // Within a half of each other.
        (int) Math.round(Math.log(1 + estimates.expectedRunS(submission)) / Math.log(1.5)),
        (int) Math.round(submission.imageGb()),
        (int) Math.ceil(4 * pending.arrivesS() / Math.max(1, aheadS)));
  }

  private int lanes(Submission submission) {
    return (int) Math.max(1, Math.round(submission.cpus() / laneCpus));
  }

  /** Jobs that are one entry. */
  private static final class SimilarJobs {
    final Submission first;
    int jobs;
    int count;
    double arrivesS;

    SimilarJobs(Submission first) {
      this.first = first;
    }

    void add(PendingTasks pending) {
      jobs++;
      count += pending.count();
      arrivesS += pending.arrivesS();
    }
  }

  private DryTasks dryTasks(SimilarJobs of) {
    Submission submission = of.first;
    boolean[] allowed = new boolean[slots.size()];
    for (int i = 0; i < allowed.length; i++) {
      MachineKindState kind = slots.get(i);
      allowed[i] = kind.type().suits(submission) && (submission.spot() || !kind.spot());
    }
    return new DryTasks(
        // Many small jobs alike do not outvote the large ones.
        (int) Math.round(Math.sqrt(of.jobs)),
        allowed,
        of.count,
        lanes(submission),
        submission.isService() ? serviceS : estimates.expectedRunS(submission),
        submission.isService(),
        submission.imageGb(),
        of.arrivesS / of.jobs);
  }
}
