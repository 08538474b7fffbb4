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
 * Stops work to make room: of a lower rank, or, for a team within its guarantee, of any rank that
 * another team runs beyond its own. What loses least goes first, and room already on its way is
 * counted before more is stopped.
 */
final class Evictions {
  // Each scan looks at all machines; who is left out has its turn a moment later.
  private static final int MAX_SCANS = 4;

  /** One task's room on one machine, and what it costs. */
  private record EvictionCandidate(Host host, List<Attempt> victims, double lossScore) {}

  private final Clock clock;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final StarvationGuard starvationGuard;
  private final PlacementFilter filter;

  // Of this turn: teams' use beyond their guarantees, machines whose coming room is spoken for.
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

  /** A new turn of placing. */
  void beginTurn() {
    attemptsScanned = false;
    scans = 0;
    selectedHosts.clear();
  }

  /** One look over all attempts a turn: who borrows, and the lowest rank that runs. */
  private void scanAttempts() {
    attemptsScanned = true;
    lowestRank = Rank.values()[0];
    borrowedCpusByTeam.clear();
    for (Settings.Team team : settings.teams().values()) {
      if (team.bounded()) {
        borrowedCpusByTeam.put(team.name(), ledger.teamCpus(team.name()) - team.cpus());
      }
    }
    for (Host host : workers.hosts()) {
      for (Attempt attempt : host.attempts()) {
        if (!attempt.exited()) {
          if (lowestRank.above(attempt.spec().rank())) {
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
   * Stops what is in the way of a job's waiting tasks, one task's worth a machine. Returns for how
   * many room is on its way.
   */
  int makeRoom(Job job, boolean guaranteed) {
    if (!attemptsScanned) {
      scanAttempts();
    }
    Submission submission = job.spec();
    boolean mayEvictBorrowers =
        guaranteed
            && borrowedCpusByTeam.object2DoubleEntrySet().stream()
                .anyMatch(e -> e.getDoubleValue() > 0 && !e.getKey().equals(submission.team()));
    boolean mayEvictByRank = submission.rank().above(lowestRank);
    if (scans >= MAX_SCANS || !mayEvictByRank && !mayEvictBorrowers) {
      return 0;
    }
    scans++;
    int wantedTasks =
        Math.max(0, Math.min(job.waiting(), ledger.teamRoom(submission, !mayEvictByRank)));
    return evictCheapest(findCandidates(job, mayEvictBorrowers, h -> true), wantedTasks);
  }

  /**
   * Makes room for replicas where their image is, when all room there is means a fetch. Only for
   * what is gone at once: work that has to be saved first is not worth a fetch. Returns for how
   * many room is on its way.
   */
  int makeRoomAtImage(Job job) {
    if (!attemptsScanned) {
      scanAttempts();
    }
    Submission submission = job.spec();
    if (scans >= MAX_SCANS || !submission.rank().above(lowestRank)) {
      return 0;
    }
    scans++;
    long now = clock.now();
    List<EvictionCandidate> candidates =
        findCandidates(job, false, h -> h.imageWaitS(submission, now) == 0);
    candidates.removeIf(o -> o.victims().stream().anyMatch(a -> a.spec().saves()));
    return evictCheapest(candidates, job.waiting());
  }

  /** Takes up the cheapest offers; returns how many. */
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
          && host.allowed(submission)
          && hostFilter.test(host)
          && workers.fresh(host)
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
    // Rank and guarantee cannot wait (PROTOCOL, Preemption): debited, never refused.
    disruptionGate.must(
        attempt, attempt.spec().saves() ? 2 * attempt.spec().saveS() : 0, StopReason.ROOM_NEEDED);
  }

  private EvictionCandidate findCandidate(
      Submission submission, Host host, boolean mayEvictBorrowers) {
    double cpus = submission.cpus() - host.cpusFree();
    double memory = submission.memoryGb() - host.memoryFree();
    double gpus = submission.gpus() - host.gpusFree();
    List<Attempt> evictable = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.halting()) {
        // Room is on its way there already; do not stop more for the same need.
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
      // It has waited for long: stopped at once, it would not have begun at all.
      return false;
    }
    if (submission.rank().above(victim.rank())) {
      return true;
    }
    // Borrowed room goes back to its owner, whatever the rank; replicas of services last of all.
    return mayEvictBorrowers
        && !victim.team().equals(submission.team())
        && (!victim.service() || submission.service())
        && borrowedCpusByTeam.getDouble(victim.team()) >= victim.cpus() - 1e-9;
  }

  /** Work that stopping an attempt would throw away, in CPU seconds; low ranks lose first. */
  private double lossScore(Attempt attempt) {
    double ranS = attempt.ranS(clock.now());
    double lostS =
        attempt.spec().saves()
            ? Math.min(ranS - attempt.keptS(ranS), attempt.spec().saveS())
            : ranS;
    double rankWeight = (Rank.values().length - attempt.spec().rank().ordinal()) * 1e6;
    // With one member a gang loses all of them.
    int tasks = attempt.spec().gang() ? attempt.job().held() : 1;
    return rankWeight + lostS * attempt.spec().cpus() * tasks;
  }
}
