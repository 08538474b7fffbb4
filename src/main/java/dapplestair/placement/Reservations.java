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
 * Machines that are reserved for a job that has waited for long until it fits there, as backfill
 * scheduling reserves for the first job that does not fit (docs/known.md). A machine is reserved
 * for one job at a time, so its capacity is promised only once. The choice follows from recorded
 * state (the machines with the most free capacity), so a new leader reserves about the same
 * machines.
 */
final class Reservations {
  // Maximum share of the cluster's CPUs that is reserved at once. The first job's machines are
  // reserved even if they exceed it.
  private static final double MAX_RESERVED_CPU_SHARE = 0.25;

  private final Ledger ledger;
  private final WorkerManager workers;
  private final Map<String, List<Host>> hostsByJob = new LinkedHashMap<>();
  private final Map<Host, String> ownerByHost = new LinkedHashMap<>();

  Reservations(Ledger ledger, WorkerManager workers) {
    this.ledger = ledger;
    this.workers = workers;
  }

  /** Returns whether this machine is reserved for another job, so that this job may not use it. */
  boolean isReservedForOther(Job job, Host host) {
    if (ownerByHost.isEmpty() || StarvationGuard.isCritical(job.spec())) {
      return false;
    }
    String owner = ownerByHost.get(host);
    return owner != null && !owner.equals(job.spec().ref());
  }

  /** Returns whether machines are reserved for this job. */
  boolean hasReservation(Job job) {
    return hostsByJob.containsKey(job.spec().ref());
  }

  /**
   * Drops the reservations of jobs that no longer need them, and machines that can no longer be
   * used.
   */
  void beginTurn(StarvationGuard starvationGuard) {
    if (hostsByJob.isEmpty()) {
      return;
    }
    hostsByJob
        .keySet()
        .removeIf(
            ref -> {
              Job job = ledger.job(ref);
              return job == null
                  || starvationGuard.quota(job) == 0
                  || !ledger.teamAllows(job.spec());
            });
    hostsByJob
        .values()
        .forEach(hosts -> hosts.removeIf(h -> h.closed() || !workers.isResponsive(h)));
    hostsByJob.values().removeIf(List::isEmpty);
    ownerByHost.clear();
    hostsByJob.forEach((ref, hosts) -> hosts.forEach(h -> ownerByHost.put(h, ref)));
  }

  /** Drops all reservations, because this controller no longer leads. */
  void clear() {
    hostsByJob.clear();
    ownerByHost.clear();
  }

  /** Reserves machines for {@code tasks} tasks of the job at once, if suitable ones exist. */
  void reserve(Job job, int tasks, double clusterCpus) {
    if (hasReservation(job)) {
      return;
    }
    List<Host> hosts = chooseHosts(job, tasks);
    double addedCpus = hosts.stream().mapToDouble(h -> h.type().cpus()).sum();
    double reservedCpus = ownerByHost.keySet().stream().mapToDouble(h -> h.type().cpus()).sum();
    if (hosts.isEmpty()
        || reservedCpus > 0 && reservedCpus + addedCpus > MAX_RESERVED_CPU_SHARE * clusterCpus) {
      return;
    }
    hostsByJob.put(job.spec().ref(), new ArrayList<>(hosts));
    hosts.forEach(h -> ownerByHost.put(h, job.spec().ref()));
  }

  /**
   * Chooses the machines with the most free capacity, as many as the tasks need once everything but
   * services has left these machines.
   */
  private List<Host> chooseHosts(Job job, int tasks) {
    Submission submission = job.spec();
    TreeMap<String, List<Host>> hostsByZone = new TreeMap<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && workers.isResponsive(host)
          && !ownerByHost.containsKey(host)
          && host.isAllowedBy(submission)
          && ledger.zoneAllows(job, host.zone())
          && countFittingWhenEmptied(submission, host) > 0) {
        String zone = submission.together() ? host.zone() : "";
        hostsByZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(host);
      }
    }
    List<Host> bestHosts = List.of();
    double bestFreeCpus = -1;
    for (List<Host> zone : hostsByZone.values()) {
      List<Host> selected = selectEnough(job, tasks, zone);
      double freeCpus = selected.stream().mapToDouble(Host::cpusFree).sum();
      if (!selected.isEmpty() && freeCpus > bestFreeCpus) {
        bestHosts = selected;
        bestFreeCpus = freeCpus;
      }
    }
    return bestHosts;
  }

  private static List<Host> selectEnough(Job job, int tasks, List<Host> hosts) {
    Submission submission = job.spec();
    hosts.sort(Comparator.comparingDouble((Host host) -> -host.cpusFree()).thenComparing(Host::id));
    Map<String, Integer> selectedByZone = new HashMap<>();
    List<Host> selected = new ArrayList<>();
    int foundTasks = 0;
    for (Host host : hosts) {
      int allowedInZone =
          submission.maxTasksPerZone()
              - job.attemptsInZone(host.zone())
              - selectedByZone.getOrDefault(host.zone(), 0);
      int tasksHere = Math.min(countFittingWhenEmptied(submission, host), allowedInZone);
      if (tasksHere > 0) {
        selected.add(host);
        foundTasks += tasksHere;
        selectedByZone.merge(host.zone(), tasksHere, Integer::sum);
      }
      if (foundTasks >= tasks) {
        return selected;
      }
    }
    // A gang that does not fit even then waits for new machines, and leaves none idle meanwhile.
    return submission.isGang() ? List.of() : selected;
  }

  /** Returns how many of the job's tasks the machine holds when only its services keep running. */
  private static int countFittingWhenEmptied(Submission submission, Host host) {
    double memoryShare = 1 - host.serviceCpus() / host.type().cpus();
    return submission.fittingTasks(
        host.type().cpus() - host.serviceCpus(),
        host.type().memoryGb() * memoryShare,
        host.type().gpus());
  }
}
