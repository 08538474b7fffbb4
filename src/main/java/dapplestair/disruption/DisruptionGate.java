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
 * The one gate for stops that are our own choice. What can wait asks first; what cannot, such as a
 * notice of the cloud or room that a rank or a guarantee claims, is let through and debited. What
 * is out is no counter: it is derived anew from the attempts on record and from what is heard of
 * them, so that neither a change of leader nor a restart of all fills a budget up again.
 */
public final class DisruptionGate {
  private static final double MESSAGE_S = 0.5;

  private final Clock clock;
  private final DisruptionBudgets budgets;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final LostWork lost;

  // Of this look: how each team and job stands.
  private final Map<String, Sum> teams = new HashMap<>();
  private final Map<Job, Integer> missing = new LinkedHashMap<>();
  private final Map<Job, DisruptionRefusal> refusals = new LinkedHashMap<>();
  private long lookedAt = Long.MIN_VALUE;
  private long granted;
  private long forced;

  private static final class Sum {
    int wanted;
    int out;
    int stopping;
    int arraysOut;
    int arraysStopping;
  }

  /** Guards what {@code ledger} runs. */
  public DisruptionGate(
      Clock clock, DisruptionBudgets budgets, Ledger ledger, WorkerManager workers, LostWork lost) {
    this.clock = clock;
    this.budgets = budgets;
    this.ledger = ledger;
    this.workers = workers;
    this.lost = lost;
  }

  // ---- what cannot wait ----

  /** Stops what must be stopped, whatever the budget says, and debits it. */
  public void must(Attempt attempt, double windDownS, StopReason why) {
    if (!attempt.halting()) {
      debit(attempt);
    }
    ledger.halt(attempt, windDownS, why);
  }

  /** Makes room for a rider of a lane: by an account of its own, so that no budget is used up. */
  public void ride(Attempt attempt, double windDownS) {
    ledger.halt(attempt, windDownS, StopReason.LANE);
  }

  /** A machine is given up with all that is on it. */
  public void givenUp(Host host) {
    for (Attempt attempt : host.attempts()) {
      if (!attempt.exited() && !attempt.halting() && !attempt.job().isOver()) {
        debit(attempt);
      }
    }
  }

  private void debit(Attempt attempt) {
    forced++;
    lost.debit(attempt.spec().team(), lossCpuS(attempt));
  }

  // ---- what asks first ----

  /**
   * A new round of asking: what is out is derived anew. All who ask in it are asked for in the
   * order of their deadlines, then of their age, by whoever calls.
   */
  public void look() {
    lookedAt = clock.now();
    teams.clear();
    missing.clear();
    refusals.keySet().removeIf(Job::isOver);
    for (Job job : ledger.jobs()) {
      if (!job.isOver()) {
        count(job);
      }
    }
  }

  private void count(Job job) {
    UnavailableTasks unavailable = ledger.unavailableTasks(job, this::reached);
    Sum sum = sum(job.spec().team());
    if (job.spec().service()) {
      sum.wanted += job.spec().steps();
      sum.out += unavailable.disrupted();
      sum.stopping += unavailable.stopping();
      missing.put(job, unavailable.missing());
    } else {
      sum.arraysOut += unavailable.disrupted();
      sum.arraysStopping += unavailable.stopping();
    }
  }

  /**
   * Only a machine that has shown a token of this term: before, a stop of the former leader may
   * still be carried out on it, and what it said may be older than that.
   */
  private boolean reached(Attempt attempt) {
    Host host = workers.known(attempt.host());
    return host != null
        && host.acknowledged()
        && !host.outOfReach()
        && !host.hanging()
        && !host.releasing()
        && !host.gone();
  }

  /** Stops a task if its team's budget allows that now; null, or what stands against it. */
  public DisruptionRefusal ask(Attempt attempt, double windDownS, StopReason why) {
    DisruptionRefusal refusal = refusal(attempt);
    if (refusal != null) {
      refusals.put(attempt.job(), refusal);
      return refusal;
    }
    refusals.remove(attempt.job());
    granted++;
    lost.spend(attempt.spec().team(), lossCpuS(attempt));
    take(attempt);
    ledger.halt(attempt, windDownS, why);
    return null;
  }

  private void take(Attempt attempt) {
    Sum sum = sum(attempt.spec().team());
    if (attempt.spec().service()) {
      sum.out++;
      sum.stopping++;
      missing.merge(attempt.job(), 1, Integer::sum);
    } else {
      sum.arraysOut++;
      sum.arraysStopping++;
    }
  }

  private Sum sum(String team) {
    return teams.computeIfAbsent(team, t -> new Sum());
  }

  private DisruptionRefusal refusal(Attempt attempt) {
    String team = attempt.spec().team();
    DisruptionBudget budget = budgets.forTeam(team);
    Sum sum = sum(team);
    if (attempt.spec().service()) {
      int ofTeam = budget.maxTeamReplicasOut(sum.wanted);
      if (sum.out >= ofTeam) {
        return new DisruptionRefusal(
            team, "replicas of the team", ofTeam, sum.out, because(sum.out, sum.stopping));
      }
      int steps = attempt.spec().steps();
      int ofJob = budget.maxJobReplicasOut(steps);
      int gone = missing.getOrDefault(attempt.job(), steps);
      return gone < ofJob
          ? null
          : new DisruptionRefusal(
              team, "replicas of " + attempt.spec().ref(), ofJob, gone, "of " + steps + " wanted");
    }
    if (sum.arraysOut >= budget.arrayTasks()) {
      return new DisruptionRefusal(
          team,
          "tasks of arrays",
          budget.arrayTasks(),
          sum.arraysOut,
          because(sum.arraysOut, sum.arraysStopping));
    }
    return lost.refusal(team, lossCpuS(attempt));
  }

  private static String because(int out, int stopping) {
    return out == 0
        ? "zero means never"
        : "%d being stopped, %d stopped, lost or not heard".formatted(stopping, out - stopping);
  }

  /**
   * Most work that stopping a task can throw away, CPU seconds. That it runs may be heard some
   * seconds late, so it counts from when it was planned. How long one ran under an earlier leader
   * is not known: then at most since its job was accepted.
   */
  public double lossCpuS(Attempt attempt) {
    if (attempt.spec().service()) {
      return 0;
    }
    double ran = (clock.now() - attempt.plannedAtMs()) / 1000.0;
    if (attempt.adopted()) {
      ran = Math.max(ran, (clock.wall() - attempt.job().acceptedWallMs()) / 1000.0);
    }
    // It runs on until the stop has arrived.
    ran += MESSAGE_S;
    double unsaved = attempt.spec().saves() ? Math.min(ran, attempt.spec().saveEveryS()) : ran;
    return unsaved * attempt.spec().cpus();
  }

  // ---- views ----

  /** What last stood against moving a task of a job, or null. */
  public DisruptionRefusal refused(Job job) {
    return refusals.get(job);
  }

  /** How each team stands now. */
  public Map<String, BudgetStatus> statuses() {
    if (lookedAt != clock.now()) {
      look();
    }
    Map<String, BudgetStatus> out = new TreeMap<>();
    teams.forEach(
        (team, s) -> {
          DisruptionBudget budget = budgets.forTeam(team);
          out.put(
              team,
              new BudgetStatus(
                  s.wanted,
                  s.out,
                  s.stopping,
                  budget.maxTeamReplicasOut(s.wanted),
                  s.arraysOut,
                  budget.arrayTasks(),
                  lost.spent(team),
                  budget.lostCpuS()));
        });
    return out;
  }

  /** Stops that asked and were granted, since this process began. */
  public long granted() {
    return granted;
  }

  /** Stops that could not wait, since this process began. */
  public long forced() {
    return forced;
  }

  /** Takes the lead. */
  public void lead() {
    lost.lead();
  }

  /** Forgets what only this leader knew. */
  public void clear() {
    teams.clear();
    missing.clear();
    refusals.clear();
    lost.clear();
  }
}
