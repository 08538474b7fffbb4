package dapplestair.placement;

import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Machines that are kept from others until a job that has waited for long fits there, as backfill
 * does with a reservation for the first job that does not fit (docs/known.md). A machine is kept
 * for one job at a time, so room is promised once. Which ones follows from what is on record: a new
 * leader keeps about the same, those with most free room.
 */
final class Reservations {
  // Most of the cluster's CPUs that are kept at once; the first job's machines are, whatever they
  // come to.
  private static final double SHARE = 0.25;

  private final Ledger ledger;
  private final WorkerManager workers;
  private final Map<String, List<Host>> byJob = new LinkedHashMap<>();
  private final Map<Host, String> kept = new LinkedHashMap<>();

  Reservations(Ledger ledger, WorkerManager workers) {
    this.ledger = ledger;
    this.workers = workers;
  }

  /** True when this machine is kept for another job, and this one has to look elsewhere. */
  boolean keptFrom(Job job, Host host) {
    if (kept.isEmpty() || StarvationGuard.critical(job.spec())) {
      return false;
    }
    String owner = kept.get(host);
    return owner != null && !owner.equals(job.spec().ref());
  }

  /** True when machines are kept for this job. */
  boolean holds(Job job) {
    return byJob.containsKey(job.spec().ref());
  }

  /** Gives up what is kept for jobs that need it no more, and machines that are of no use. */
  void begin(StarvationGuard starvationGuard) {
    if (byJob.isEmpty()) {
      return;
    }
    byJob
        .keySet()
        .removeIf(
            ref -> {
              Job job = ledger.job(ref);
              return job == null
                  || starvationGuard.quota(job) == 0
                  || !ledger.teamAllows(job.spec());
            });
    byJob.values().forEach(hosts -> hosts.removeIf(h -> h.closed() || !workers.isResponsive(h)));
    byJob.values().removeIf(List::isEmpty);
    kept.clear();
    byJob.forEach((ref, hosts) -> hosts.forEach(h -> kept.put(h, ref)));
  }

  /** Gives all up: this controller leads no more. */
  void clear() {
    byJob.clear();
    kept.clear();
  }

  /** Keeps machines for {@code tasks} of the job at once, if there are any to be kept. */
  void keep(Job job, int tasks, double clusterCpus) {
    if (holds(job)) {
      return;
    }
    List<Host> hosts = choose(job, tasks);
    double cpus = hosts.stream().mapToDouble(h -> h.type().cpus()).sum();
    double before = kept.keySet().stream().mapToDouble(h -> h.type().cpus()).sum();
    if (hosts.isEmpty() || before > 0 && before + cpus > SHARE * clusterCpus) {
      return;
    }
    byJob.put(job.spec().ref(), new ArrayList<>(hosts));
    hosts.forEach(h -> kept.put(h, job.spec().ref()));
  }

  /** Those that lack least, as many as the tasks take once all but services has left them. */
  private List<Host> choose(Job job, int tasks) {
    Submission submission = job.spec();
    TreeMap<String, List<Host>> zones = new TreeMap<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && workers.isResponsive(host)
          && !kept.containsKey(host)
          && host.allowed(submission)
          && ledger.zoneAllows(job, host.zone())
          && emptied(submission, host) > 0) {
        String zone = submission.together() ? host.zone() : "";
        zones.computeIfAbsent(zone, z -> new ArrayList<>()).add(host);
      }
    }
    List<Host> best = List.of();
    double bestFree = -1;
    for (List<Host> zone : zones.values()) {
      List<Host> enough = enough(job, tasks, zone);
      double free = enough.stream().mapToDouble(Host::cpusFree).sum();
      if (!enough.isEmpty() && free > bestFree) {
        best = enough;
        bestFree = free;
      }
    }
    return best;
  }

  private static List<Host> enough(Job job, int tasks, List<Host> hosts) {
    Submission submission = job.spec();
    hosts.sort(Comparator.comparingDouble((Host host) -> -host.cpusFree()).thenComparing(Host::id));
    Map<String, Integer> perZone = new HashMap<>();
    List<Host> out = new ArrayList<>();
    int found = 0;
    for (Host host : hosts) {
      int left =
          submission.maxTasksPerZone()
              - job.inZone(host.zone())
              - perZone.getOrDefault(host.zone(), 0);
      int here = Math.min(emptied(submission, host), left);
      if (here > 0) {
        out.add(host);
        found += here;
        perZone.merge(host.zone(), here, Integer::sum);
      }
      if (found >= tasks) {
        return out;
      }
    }
    // A gang that fits nowhere even then waits for machines, and keeps none idle meanwhile.
    return submission.isGang() ? List.of() : out;
  }

  /** How many of its tasks a machine holds without all but its services. */
  private static int emptied(Submission submission, Host host) {
    double share = 1 - host.serviceCpus() / host.type().cpus();
    return submission.fittingTasks(
        host.type().cpus() - host.serviceCpus(),
        host.type().memoryGb() * share,
        host.type().gpus());
  }
}
