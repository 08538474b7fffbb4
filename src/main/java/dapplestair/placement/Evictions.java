package dapplestair.placement;

import dapplestair.disruption.DisruptionGate;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.StopReason;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.work.Rank;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Evicts running work to make room for waiting jobs. A job may evict work of a lower rank; a job of
 * a team within its guarantee may also evict work of any rank that another team runs beyond its own
 * guarantee. The work whose eviction loses least goes first, and capacity that is already becoming
 * free is counted before more is evicted.
 */
final class Evictions {
  // Each scan goes over all machines; jobs that this limit leaves out have their turn a moment
  // later.
  private static final int MAX_SCANS = 4;

  /**
   * Capacity for one task on one machine, with the attempts to evict for it and what that loses.
   */
  private record EvictionCandidate(Host host, List<Attempt> victims, double lossScore) {}

  private final Clock clock;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final StarvationGuard starvationGuard;
  private final PlacementFilter filter;

  // Per turn: each team's CPUs beyond its guarantee, and the machines on which capacity is already
  // being made free for a job.
  private final Object2DoubleOpenHashMap<String> borrowedCpusByTeam =
      new Object2DoubleOpenHashMap<>();
  private final Set<Host> selectedHosts = new LinkedHashSet<>();
  private int scans;
  private boolean attemptsScanned;
  private Rank lowestRank;

  Evictions(
      Clock clock,
      Settings settings,
      Ledger ledger,
      WorkerManager workers,
      DisruptionGate disruptionGate,
      StarvationGuard starvationGuard,
      PlacementFilter filter) {
    this.clock = clock;
    this.settings = settings;
    this.ledger = ledger;
    this.workers = workers;
    this.disruptionGate = disruptionGate;
    this.starvationGuard = starvationGuard;
    this.filter = filter;
  }

  /** Resets the state of the previous turn. */
  void beginTurn() {
    attemptsScanned = false;
    scans = 0;
    selectedHosts.clear();
  }

  /**
   * Goes over all attempts, once a turn: finds the teams that run more than their guarantee, and
   * the lowest rank that runs.
   */
  private void scanAttempts() {
    attemptsScanned = true;
    lowestRank = Rank.values()[0];
    borrowedCpusByTeam.clear();
    for (Settings.Team team : settings.teams().values()) {
      if (team.hasGuaranteeOrLimit()) {
        borrowedCpusByTeam.put(team.name(), ledger.teamCpus(team.name()) - team.cpus());
      }
    }
    for (Host host : workers.hosts()) {
      for (Attempt attempt : host.attempts()) {
        if (!attempt.exited()) {
          if (lowestRank.outranks(attempt.spec().rank())) {
            lowestRank = attempt.spec().rank();
          }
          if (attempt.halting() && borrowedCpusByTeam.containsKey(attempt.spec().team())) {
            borrowedCpusByTeam.addTo(attempt.spec().team(), -attempt.spec().cpus());
          }
        }
      }
    }
  }

  /**
   * Evicts work to make room for a job's waiting tasks, at most one task's worth on each machine.
   * Returns the number of tasks for which capacity is becoming free.
   */
  int makeRoom(Job job, boolean withinGuarantee) {
    if (!attemptsScanned) {
      scanAttempts();
    }
    Submission submission = job.spec();
    boolean mayEvictBorrowers =
        withinGuarantee
            && borrowedCpusByTeam.object2DoubleEntrySet().stream()
                .anyMatch(e -> e.getDoubleValue() > 0 && !e.getKey().equals(submission.team()));
    boolean mayEvictByRank = submission.rank().outranks(lowestRank);
    if (scans >= MAX_SCANS || !mayEvictByRank && !mayEvictBorrowers) {
      return 0;
    }
    scans++;
    int wantedTasks =
        Math.max(
            0,
            Math.min(
                job.waitingTasks(), ledger.maxAdditionalTeamTasks(submission, !mayEvictByRank)));
    return evictCheapest(findCandidates(job, mayEvictBorrowers, h -> true), wantedTasks);
  }

  /**
   * Evicts work for replicas on machines that have their image, when all free capacity would
   * require a fetch. Evicts only work that stops at once: waiting until work has been saved is not
   * worth an avoided fetch. Returns the number of tasks for which capacity is becoming free.
   */
  int makeRoomAtImage(Job job) {
    if (!attemptsScanned) {
      scanAttempts();
    }
    Submission submission = job.spec();
    if (scans >= MAX_SCANS || !submission.rank().outranks(lowestRank)) {
      return 0;
    }
    scans++;
    long now = clock.now();
    List<EvictionCandidate> candidates =
        findCandidates(job, false, h -> h.imageWaitS(submission, now) == 0);
    candidates.removeIf(o -> o.victims().stream().anyMatch(a -> a.spec().savesProgress()));
    return evictCheapest(candidates, job.waitingTasks());
  }

  /** Evicts the victims of the cheapest candidates; returns the number of these candidates. */
  private int evictCheapest(List<EvictionCandidate> candidates, int maxCount) {
    candidates.sort(
        Comparator.comparingDouble(EvictionCandidate::lossScore).thenComparing(o -> o.host().id()));
    List<EvictionCandidate> selected = candidates.subList(0, Math.min(maxCount, candidates.size()));
    for (EvictionCandidate candidate : selected) {
      selectedHosts.add(candidate.host());
      candidate.victims().forEach(this::evict);
    }
    return selected.size();
  }

  private List<EvictionCandidate> findCandidates(
      Job job, boolean mayEvictBorrowers, Predicate<Host> hostFilter) {
    Submission submission = job.spec();
    List<EvictionCandidate> candidates = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && !selectedHosts.contains(host)
          && !filter.isKeptForOthers(job, host)
          && host.isAllowedBy(submission)
          && hostFilter.test(host)
          && workers.isResponsive(host)
          && ledger.zoneAllows(job, host.zone())) {
        EvictionCandidate candidate = findCandidate(submission, host, mayEvictBorrowers);
        if (candidate != null) {
          candidates.add(candidate);
        }
      }
    }
    return candidates;
  }

  private void evict(Attempt attempt) {
    if (borrowedCpusByTeam.containsKey(attempt.spec().team())) {
      borrowedCpusByTeam.addTo(attempt.spec().team(), -attempt.spec().cpus());
    }
    // Evictions for rank and guarantee cannot wait (PROTOCOL, Preemption): they are debited, never
    // refused.
    disruptionGate.forceStop(
        attempt,
        attempt.spec().savesProgress() ? 2 * attempt.spec().saveDurationS() : 0,
        StopReason.ROOM_NEEDED);
  }

  private EvictionCandidate findCandidate(
      Submission submission, Host host, boolean mayEvictBorrowers) {
    double cpus = submission.cpus() - host.cpusFree();
    double memory = submission.memoryGb() - host.memoryFreeGb();
    double gpus = submission.gpus() - host.gpusFree();
    List<Attempt> evictable = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.halting()) {
        // Capacity is already becoming free here; do not evict more for the same need.
        cpus -= attempt.spec().cpus();
        memory -= attempt.spec().memoryGb();
        gpus -= attempt.spec().gpus();
      } else if (mayEvict(submission, attempt, mayEvictBorrowers)) {
        evictable.add(attempt);
      }
    }
    evictable.sort(Comparator.comparingDouble(this::lossScore));
    List<Attempt> victims = new ArrayList<>();
    double lossScore = 0;
    for (Attempt attempt : evictable) {
      if (cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9) {
        break;
      }
      victims.add(attempt);
      lossScore += lossScore(attempt);
      cpus -= attempt.spec().cpus();
      memory -= attempt.spec().memoryGb();
      gpus -= attempt.spec().gpus();
    }
    boolean hasRoom = cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9;
    return hasRoom ? new EvictionCandidate(host, victims, lossScore) : null;
  }

  private boolean mayEvict(Submission submission, Attempt attempt, boolean mayEvictBorrowers) {
    Submission victim = attempt.spec();
    if (!StarvationGuard.isCritical(submission)
        && starvationGuard.isProtectedFromEviction(attempt)) {
      // This attempt's job has waited for long; if the attempt were evicted right away, the job
      // would in effect never have begun.
      return false;
    }
    if (submission.rank().outranks(victim.rank())) {
      return true;
    }
    // Borrowed capacity returns to the team that owns it, whatever the rank; replicas that borrow
    // are evicted only for other services.
    return mayEvictBorrowers
        && !victim.team().equals(submission.team())
        && (!victim.isService() || submission.isService())
        && borrowedCpusByTeam.getDouble(victim.team()) >= victim.cpus() - 1e-9;
  }

  /**
   * Returns the work, in CPU seconds, that evicting an attempt would throw away, plus a weight by
   * rank: low ranks are evicted first.
   */
  private double lossScore(Attempt attempt) {
    double ranS = attempt.runTimeS(clock.now());
    double lostS =
        attempt.spec().savesProgress()
            ? Math.min(ranS - attempt.checkpointedS(ranS), attempt.spec().saveDurationS())
            : ranS;
    double rankWeight = (Rank.values().length - attempt.spec().rank().ordinal()) * 1e6;
    // Evicting one member of a gang loses the work of all its members.
    int tasks = attempt.spec().isGang() ? attempt.job().heldAttempts() : 1;
    return rankWeight + lostS * attempt.spec().cpus() * tasks;
  }
}
