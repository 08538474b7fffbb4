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
  private static final int MOST_SCANS = 4;

  /** One task's room on one machine, and what it costs. */
  private record EvictionCandidate(Host host, List<Attempt> victims, double loss) {}

  private final Clock clock;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final StarvationGuard starvationGuard;
  private final PlacementFilter filter;

  // Of this turn: teams' use beyond their guarantees, machines whose coming room is spoken for.
  private final Object2DoubleOpenHashMap<String> excess = new Object2DoubleOpenHashMap<>();
  private final Set<Host> spokenFor = new LinkedHashSet<>();
  private int scans;
  private boolean looked;
  private Rank lowest;

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
  void begin() {
    looked = false;
    scans = 0;
    spokenFor.clear();
  }

  /** One look over all attempts a turn: who borrows, and the lowest rank that runs. */
  private void look() {
    looked = true;
    lowest = Rank.values()[0];
    excess.clear();
    for (Settings.Team team : settings.teams().values()) {
      if (team.bounded()) {
        excess.put(team.name(), ledger.teamCpus(team.name()) - team.cpus());
      }
    }
    for (Host host : workers.hosts()) {
      for (Attempt attempt : host.attempts()) {
        if (!attempt.exited()) {
          if (lowest.above(attempt.spec().rank())) {
            lowest = attempt.spec().rank();
          }
          if (attempt.halting() && excess.containsKey(attempt.spec().team())) {
            excess.addTo(attempt.spec().team(), -attempt.spec().cpus());
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
    if (!looked) {
      look();
    }
    Submission submission = job.spec();
    boolean fromBorrowers =
        guaranteed
            && excess.object2DoubleEntrySet().stream()
                .anyMatch(e -> e.getDoubleValue() > 0 && !e.getKey().equals(submission.team()));
    boolean byRank = submission.rank().above(lowest);
    if (scans >= MOST_SCANS || !byRank && !fromBorrowers) {
      return 0;
    }
    scans++;
    int wanted = Math.max(0, Math.min(job.waiting(), ledger.teamRoom(submission, !byRank)));
    return take(offers(job, fromBorrowers, h -> true), wanted);
  }

  /**
   * Makes room for replicas where their image is, when all room there is means a fetch. Only for
   * what is gone at once: work that has to be saved first is not worth a fetch. Returns for how
   * many room is on its way.
   */
  int makeRoomAtImage(Job job) {
    if (!looked) {
      look();
    }
    Submission submission = job.spec();
    if (scans >= MOST_SCANS || !submission.rank().above(lowest)) {
      return 0;
    }
    scans++;
    long now = clock.now();
    List<EvictionCandidate> offers = offers(job, false, h -> h.imageWaitS(submission, now) == 0);
    offers.removeIf(o -> o.victims().stream().anyMatch(a -> a.spec().saves()));
    return take(offers, job.waiting());
  }

  /** Takes up the cheapest offers; returns how many. */
  private int take(List<EvictionCandidate> offers, int wanted) {
    offers.sort(
        Comparator.comparingDouble(EvictionCandidate::loss).thenComparing(o -> o.host().id()));
    List<EvictionCandidate> taken = offers.subList(0, Math.min(wanted, offers.size()));
    for (EvictionCandidate o : taken) {
      spokenFor.add(o.host());
      o.victims().forEach(this::stop);
    }
    return taken.size();
  }

  private List<EvictionCandidate> offers(Job job, boolean fromBorrowers, Predicate<Host> where) {
    Submission submission = job.spec();
    List<EvictionCandidate> offers = new ArrayList<>();
    for (Host host : workers.hosts()) {
      if (!host.closed()
          && !spokenFor.contains(host)
          && !filter.keptFrom(job, host)
          && host.allowed(submission)
          && where.test(host)
          && workers.fresh(host)
          && ledger.zoneAllows(job, host.zone())) {
        EvictionCandidate candidate = offer(submission, host, fromBorrowers);
        if (candidate != null) {
          offers.add(candidate);
        }
      }
    }
    return offers;
  }

  private void stop(Attempt attempt) {
    if (excess.containsKey(attempt.spec().team())) {
      excess.addTo(attempt.spec().team(), -attempt.spec().cpus());
    }
    // Rank and guarantee cannot wait (PROTOCOL, Preemption): debited, never refused.
    disruptionGate.forceStop(
        attempt, attempt.spec().saves() ? 2 * attempt.spec().saveS() : 0, StopReason.ROOM_NEEDED);
  }

  private EvictionCandidate offer(Submission submission, Host host, boolean fromBorrowers) {
    double cpus = submission.cpus() - host.cpusFree();
    double memory = submission.memoryGb() - host.memoryFree();
    double gpus = submission.gpus() - host.gpusFree();
    List<Attempt> may = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.halting()) {
        // Room is on its way there already; do not stop more for the same need.
        cpus -= attempt.spec().cpus();
        memory -= attempt.spec().memoryGb();
        gpus -= attempt.spec().gpus();
      } else if (mayStop(submission, attempt, fromBorrowers)) {
        may.add(attempt);
      }
    }
    may.sort(Comparator.comparingDouble(this::loss));
    List<Attempt> victims = new ArrayList<>();
    double loss = 0;
    for (Attempt attempt : may) {
      if (cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9) {
        break;
      }
      victims.add(attempt);
      loss += loss(attempt);
      cpus -= attempt.spec().cpus();
      memory -= attempt.spec().memoryGb();
      gpus -= attempt.spec().gpus();
    }
    boolean enough = cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9;
    return enough ? new EvictionCandidate(host, victims, loss) : null;
  }

  private boolean mayStop(Submission submission, Attempt attempt, boolean fromBorrowers) {
    Submission other = attempt.spec();
    if (!StarvationGuard.critical(submission) && starvationGuard.shelters(attempt)) {
      // It has waited for long: stopped at once, it would not have begun at all.
      return false;
    }
    if (submission.rank().above(other.rank())) {
      return true;
    }
    // Borrowed room goes back to its owner, whatever the rank; replicas of services last of all.
    return fromBorrowers
        && !other.team().equals(submission.team())
        && (!other.service() || submission.service())
        && excess.getDouble(other.team()) >= other.cpus() - 1e-9;
  }

  /** Work that stopping an attempt would throw away, in CPU seconds; low ranks lose first. */
  private double loss(Attempt attempt) {
    double ran = attempt.ranS(clock.now());
    double lost =
        attempt.spec().saves() ? Math.min(ran - attempt.keptS(ran), attempt.spec().saveS()) : ran;
    double rank = (Rank.values().length - attempt.spec().rank().ordinal()) * 1e6;
    // With one member a gang loses all of them.
    int tasks = attempt.spec().gang() ? attempt.job().held() : 1;
    return rank + lost * attempt.spec().cpus() * tasks;
  }
}
