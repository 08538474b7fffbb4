package dapplestair.disruption;

import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.StopReason;
import dapplestair.ledger.UnavailableTasks;
import dapplestair.ports.Clock;
import dapplestair.settings.DisruptionBudgets;
import dapplestair.settings.DisruptionBudgets.DisruptionBudget;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The gate that every voluntary stop of a task passes. Stops that can wait request permission
 * first. Stops that cannot wait, such as those for a reclaim notice of the cloud or for capacity
 * that a rank or a guarantee claims, are always allowed and debited to the budget. The number of
 * unavailable tasks is not a stored counter: it is derived from the recorded attempts and the
 * workers' reports each time, so that neither a change of leader nor a restart of all controllers
 * refills a budget.
 */
public final class DisruptionGate {
  private static final double STOP_MESSAGE_DELAY_S = 0.5;

  private final Clock clock;
  private final DisruptionBudgets budgets;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final LostWork lostWork;

  // State of each team and job as of the last refresh.
  private final Map<String, TeamTotals> totalsByTeam = new HashMap<>();
  private final Map<Job, Integer> missingReplicas = new LinkedHashMap<>();
  private final Map<Job, DisruptionRefusal> lastRefusals = new LinkedHashMap<>();
  private long refreshedAtMs = Long.MIN_VALUE;
  private long grantedStops;
  private long forcedStops;

  private static final class TeamTotals {
    int wantedReplicas;
    int unavailableReplicas;
    int stoppingReplicas;
    int unavailableArrayTasks;
    int stoppingArrayTasks;
  }

  /** Creates a gate for the attempts in {@code ledger}. */
  public DisruptionGate(
      Clock clock,
      DisruptionBudgets budgets,
      Ledger ledger,
      WorkerManager workers,
      LostWork lostWork) {
    this.clock = clock;
    this.budgets = budgets;
    this.ledger = ledger;
    this.workers = workers;
    this.lostWork = lostWork;
  }

  // ---- stops that cannot wait ----

  /** Stops an attempt regardless of the budget and debits the work that is lost. */
  public void forceStop(Attempt attempt, double windDownS, StopReason reason) {
    if (!attempt.halting()) {
      debit(attempt);
    }
    ledger.halt(attempt, windDownS, reason);
  }

  /**
   * Stops an attempt to free capacity for a rider of a lane. Lanes have an account of their own, so
   * the stop is not debited to the team's budget.
   */
  public void stopForRider(Attempt attempt, double windDownS) {
    ledger.halt(attempt, windDownS, StopReason.LANE);
  }

  /** Debits the attempts on a machine that is given up. */
  public void debitAttemptsOn(Host host) {
    for (Attempt attempt : host.attempts()) {
      if (!attempt.exited() && !attempt.halting() && !attempt.job().isOver()) {
        debit(attempt);
      }
    }
  }

  private void debit(Attempt attempt) {
    forcedStops++;
    lostWork.chargeForced(attempt.spec().team(), maxLossCpuS(attempt));
  }

  // ---- stops that request permission ----

  /**
   * Starts a new round of requests by recomputing which tasks are unavailable. Within a round, the
   * caller makes the requests in the order of their deadlines and then of their age.
   */
  public void refresh() {
    refreshedAtMs = clock.now();
    totalsByTeam.clear();
    missingReplicas.clear();
    lastRefusals.keySet().removeIf(Job::isOver);
    for (Job job : ledger.jobs()) {
      if (!job.isOver()) {
        countUnavailable(job);
      }
    }
  }

  private void countUnavailable(Job job) {
    UnavailableTasks unavailable = ledger.unavailableTasks(job, this::isReachable);
    TeamTotals totals = totalsOf(job.spec().team());
    if (job.spec().isService()) {
      totals.wantedReplicas += job.spec().taskCount();
      totals.unavailableReplicas += unavailable.disrupted();
      totals.stoppingReplicas += unavailable.stopping();
      missingReplicas.put(job, unavailable.missing());
    } else {
      totals.unavailableArrayTasks += unavailable.disrupted();
      totals.stoppingArrayTasks += unavailable.stopping();
    }
  }

  /**
   * Returns whether an attempt's machine is reachable and neither being returned nor gone. The
   * machine must have reported a token of the current term: before that, it may still carry out a
   * stop of the former leader, and its last report may be older than that stop.
   */
  private boolean isReachable(Attempt attempt) {
    Host host = workers.findHost(attempt.host());
    return host != null
        && host.hasAcknowledgedTerm()
        && !host.isUnreachable()
        && !host.isHanging()
        && !host.isReleasing()
        && !host.isGone();
  }

  /** Stops a task if its team's budget allows it now. Returns null, or the reason for refusing. */
  public DisruptionRefusal requestStop(Attempt attempt, double windDownS, StopReason reason) {
    DisruptionRefusal refusal = checkBudget(attempt);
    if (refusal != null) {
      lastRefusals.put(attempt.job(), refusal);
      return refusal;
    }
    lastRefusals.remove(attempt.job());
    grantedStops++;
    lostWork.chargeGranted(attempt.spec().team(), maxLossCpuS(attempt));
    countStop(attempt);
    ledger.halt(attempt, windDownS, reason);
    return null;
  }

  private void countStop(Attempt attempt) {
    TeamTotals totals = totalsOf(attempt.spec().team());
    if (attempt.spec().isService()) {
      totals.unavailableReplicas++;
      totals.stoppingReplicas++;
      missingReplicas.merge(attempt.job(), 1, Integer::sum);
    } else {
      totals.unavailableArrayTasks++;
      totals.stoppingArrayTasks++;
    }
  }

  private TeamTotals totalsOf(String team) {
    return totalsByTeam.computeIfAbsent(team, t -> new TeamTotals());
  }

  private DisruptionRefusal checkBudget(Attempt attempt) {
    String team = attempt.spec().team();
    DisruptionBudget budget = budgets.forTeam(team);
    TeamTotals totals = totalsOf(team);
    if (attempt.spec().isService()) {
      int maxOfTeam = budget.maxTeamReplicasOut(totals.wantedReplicas);
      if (totals.unavailableReplicas >= maxOfTeam) {
        return new DisruptionRefusal(
            team,
            "replicas of the team",
            maxOfTeam,
            totals.unavailableReplicas,
            describeUnavailable(totals.unavailableReplicas, totals.stoppingReplicas));
      }
      int steps = attempt.spec().taskCount();
      int maxOfJob = budget.maxJobReplicasOut(steps);
      int missing = missingReplicas.getOrDefault(attempt.job(), steps);
      return missing < maxOfJob
          ? null
          : new DisruptionRefusal(
              team,
              "replicas of " + attempt.spec().ref(),
              maxOfJob,
              missing,
              "of " + steps + " wanted");
    }
    if (totals.unavailableArrayTasks >= budget.arrayTasks()) {
      return new DisruptionRefusal(
          team,
          "tasks of arrays",
          budget.arrayTasks(),
          totals.unavailableArrayTasks,
          describeUnavailable(totals.unavailableArrayTasks, totals.stoppingArrayTasks));
    }
    return lostWork.checkOrReserve(team, maxLossCpuS(attempt));
  }

  private static String describeUnavailable(int unavailable, int stopping) {
    return unavailable == 0
        ? "zero means never"
        : "%d being stopped, %d stopped, lost or not heard"
            .formatted(stopping, unavailable - stopping);
  }

  /**
   * Returns the maximum work in CPU seconds that is lost when a task is stopped. The report that a
   * task runs may arrive some seconds late, so its run time counts from when it was planned. How
   * long a task ran under an earlier leader is unknown, so such a task counts from when its job was
   * accepted.
   */
  public double maxLossCpuS(Attempt attempt) {
    if (attempt.spec().isService()) {
      return 0;
    }
    double runS = (clock.now() - attempt.plannedAtMs()) / 1000.0;
    if (attempt.adopted()) {
      runS = Math.max(runS, (clock.wall() - attempt.job().acceptedWallMs()) / 1000.0);
    }
    // The task continues to run until the stop message has arrived.
    runS += STOP_MESSAGE_DELAY_S;
    double unsavedS =
        attempt.spec().savesProgress() ? Math.min(runS, attempt.spec().saveIntervalS()) : runS;
    return unsavedS * attempt.spec().cpus();
  }

  // ---- views ----

  /** Returns the reason why the last request to stop a task of a job was refused, or null. */
  public DisruptionRefusal lastRefusal(Job job) {
    return lastRefusals.get(job);
  }

  /** Returns the current budget status of each team. */
  public Map<String, BudgetStatus> statuses() {
    if (refreshedAtMs != clock.now()) {
      refresh();
    }
    Map<String, BudgetStatus> statuses = new TreeMap<>();
    totalsByTeam.forEach(
        (team, totals) -> {
          DisruptionBudget budget = budgets.forTeam(team);
          statuses.put(
              team,
              new BudgetStatus(
                  totals.wantedReplicas,
                  totals.unavailableReplicas,
                  totals.stoppingReplicas,
                  budget.maxTeamReplicasOut(totals.wantedReplicas),
                  totals.unavailableArrayTasks,
                  budget.arrayTasks(),
                  lostWork.usedCpuS(team),
                  budget.lostCpuS()));
        });
    return statuses;
  }

  /** Returns the number of stops granted on request since this process started. */
  public long grantedStops() {
    return grantedStops;
  }

  /** Returns the number of stops that could not wait since this process started. */
  public long forcedStops() {
    return forcedStops;
  }

  /** Starts work as the leader. */
  public void lead() {
    lostWork.lead();
  }

  /** Forgets the state that is valid only while this controller leads. */
  public void clear() {
    totalsByTeam.clear();
    missingReplicas.clear();
    lastRefusals.clear();
    lostWork.clear();
  }
}
