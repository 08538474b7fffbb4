package dapplestair.node;

import com.google.common.collect.Maps;
import dapplestair.admin.ControllerComponents;
import dapplestair.disruption.BudgetStatus;
import dapplestair.ledger.JobStatistics;
import dapplestair.metrics.Exposition;
import dapplestair.planning.Autoscaler;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Metrics of a controller whose values are read at each scrape. */
final class ControllerMetrics {
  private static final String VERSION = "0.2.0";

  private ControllerMetrics() {}

  static Exposition createExposition(ControllerComponents components) {
    Exposition exposition = new Exposition(VERSION);
    addCluster(exposition, components);
    addPeers(exposition, components);
    addPauses(exposition, components);
    addState(exposition, components);
    addTeams(exposition, components);
    addClasses(exposition, components);
    addDisruptions(exposition, components);
    addPlan(exposition, components);
    return exposition;
  }

  /** Adds metrics on leadership and on the jobs, attempts and machines of the cluster. */
  private static void addCluster(Exposition exposition, ControllerComponents components) {
    exposition
        .gauge(
            "leading",
            "1 while this controller leads.",
            () -> components.leadership().isLeading() ? 1 : 0)
        .gauge("term", "The highest term known.", () -> components.leadership().highestTermSeen())
        .gauge(
            "epoch",
            "Up to which change the replica is complete.",
            () -> components.replica().appliedEpoch())
        .gauge("jobs", "Jobs that are not over.", () -> components.ledger().jobs().size())
        .gauge(
            "attempts",
            "Attempts whose absence is not proved.",
            () -> components.ledger().attemptCount())
        .gauge(
            "machines",
            "Machines not proved to be gone.",
            () -> components.workers().hosts().size())
        .gauge(
            "jobs_suspected",
            "Jobs that fail wherever they run, tried by one task at a time.",
            () -> components.faultAttribution().countSuspectedJobs())
        .gauge(
            "withdrawals_known_to_age_seconds",
            "Age of the knowledge of all confirmed cancellations; leases are kept only while it is small.",
            () -> components.cancellations().knowledgeAgeMs() / 1000.0)
        .gauge(
            "withdrawals_open",
            "Cancellations told to users here that are not proved to be carried out.",
            () -> components.cancellations().openCount())
        .gauge(
            "withdrawals_open_oldest_seconds",
            "For how long the oldest of them has been so.",
            () -> components.cancellations().oldestOpenMs() / 1000.0)
        .gauge(
            "relay_on",
            "1 while the connections of workers are spread over all controllers.",
            () -> components.relay().isActive() ? 1 : 0)
        .gauge(
            "relayed_reports",
            "Reports of workers that this controller has passed on to a leader.",
            () -> components.relay().relayedReports())
        .gauges(
            "starts_refused",
            "Starts that machines have refused, by cause; full: they were emptier in the records.",
            "cause",
            () -> components.ledger().refusedStarts())
        .gauge(
            "tasks_unaccounted_for",
            "How often a task was reported that no record explains.",
            () -> components.workers().unaccountedTasks())
        .gauge("machines_drained", "Machines drained by operators.", () -> numDrained(components));
  }

  /** Adds metrics on the messages between controllers. */
  private static void addPeers(Exposition exposition, ControllerComponents components) {
    exposition
        .gauge(
            "peer_messages_refused",
            "Messages of peers that were garbled, too large or of an unknown form.",
            () -> components.peers().requests().refusedMessages())
        .gauge(
            "peer_answers_late",
            "Answers of peers that came after the timeout of their request.",
            () -> components.peers().requests().lateAnswers())
        .gauge(
            "peer_answers_foreign",
            "Answers of peers refused since an earlier process of this controller had asked.",
            () -> components.peers().requests().foreignAnswers());
  }

  /** Adds metrics on pauses of this process, after which it must learn the present anew. */
  private static void addPauses(Exposition exposition, ControllerComponents components) {
    exposition
        .gauge(
            "pauses",
            "How often this process did not run for so long that another one may have led.",
            () -> components.pauses().pauseCount())
        .gauge(
            "returns_held_back",
            "Returns of machines that were not made because of a pause.",
            () -> components.pauses().heldBackCount());
  }

  /** Adds metrics on the state service and on the transactions that wait for it. */
  private static void addState(Exposition exposition, ControllerComponents components) {
    exposition
        .gauge(
            "state_reachable",
            "1 while the state service answers.",
            () -> stateReachable(components))
        .gauge(
            "puts_allowed",
            "Puts a second that may be made.",
            () -> components.state().maxPutsPerSecond())
        .gauge(
            "puts_wanted",
            "Puts a second made or waiting.",
            () -> components.state().demandPutsPerSecond())
        .gauges(
            "transactions_queued",
            "Transactions that wait.",
            "priority",
            () -> queuedTransactions(components));
  }

  /** Adds metrics on what each team uses, its guarantees and its limits. */
  private static void addTeams(Exposition exposition, ControllerComponents components) {
    exposition
        .gauges(
            "team_cpus_used",
            "CPUs that a team's attempts use.",
            "team",
            () -> usedCpusByTeam(components))
        .gauges(
            "team_cpus_guaranteed",
            "CPUs guaranteed to a team.",
            "team",
            () -> valuesByTeam(components, Settings.Team::cpus))
        .gauges(
            "team_cpus_limit",
            "Most CPUs of a team, 0 for no limit.",
            "team",
            () -> valuesByTeam(components, Settings.Team::cpusMax))
        .gauges(
            "team_jobs_started_share",
            "Share of a team's accepted jobs that started, since this controller leads.",
            "team",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().byTeam(),
                    JobStatistics.JobCounts::startedShare))
        .gauges(
            "team_jobs_done_share",
            "Share of a team's arrays, less those cancelled, that are done since then.",
            "team",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().byTeam(),
                    JobStatistics.JobCounts::doneShare));
  }

  /** Adds metrics on how the jobs of each class are served. */
  private static void addClasses(Exposition exposition, ControllerComponents components) {
    exposition
        .gauges(
            "class_jobs_started_share",
            "Share of a class's accepted jobs that started, since this controller leads.",
            "class",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().byClass(),
                    JobStatistics.JobCounts::startedShare))
        .gauges(
            "class_jobs_done_share",
            "Share of a class's arrays, less those cancelled, that are done since then.",
            "class",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().byClass(),
                    JobStatistics.JobCounts::doneShare))
        .gauges(
            "class_largest_begun_share",
            "Share of a class's largest jobs (the largest tenth, three at least) that began.",
            "class",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().largestJobs(),
                    JobStatistics.LargestJobStatistics::begunShare))
        .gauges(
            "class_largest_wait_seconds",
            "The longest wait of one of a class's largest jobs for its first task.",
            "class",
            () ->
                Maps.transformValues(
                    components.ledger().jobStatistics().largestJobs(),
                    JobStatistics.LargestJobStatistics::longestWaitS));
  }

  /** Adds metrics on unavailable replicas, lanes, and tasks stopped by the scheduler's choice. */
  private static void addDisruptions(Exposition exposition, ControllerComponents components) {
    exposition
        .gauges(
            "team_replicas_out",
            "Replicas of a team that are out, for whatever reason.",
            "team",
            () ->
                Maps.transformValues(
                    components.disruptionGate().statuses(), BudgetStatus::unavailableReplicas))
        .gauges(
            "team_replicas_out_allowed",
            "Replicas of a team that may be out before nothing more is stopped by choice.",
            "team",
            () ->
                Maps.transformValues(
                    components.disruptionGate().statuses(), BudgetStatus::maxUnavailableReplicas))
        .gauges(
            "lane_claims",
            "Open claims of a lane's riders.",
            "lane",
            () -> components.lanes().openClaimCounts())
        .gauge(
            "lane_stops",
            "Tasks stopped for riders of lanes.",
            () -> components.lanes().stopCount())
        .gauge(
            "stops_granted",
            "Stops that asked for a budget and were granted.",
            () -> components.disruptionGate().grantedStops())
        .gauge(
            "stops_forced",
            "Stops that could not wait for a budget.",
            () -> components.disruptionGate().forcedStops());
  }

  /** Adds metrics on the applied plan. */
  private static void addPlan(Exposition exposition, ControllerComponents components) {
    exposition
        .gauge(
            "plan_makespan_seconds",
            "Mean makespan of the plan applied.",
            () -> planMetric(components, Autoscaler.AppliedPlan::makespanS))
        .gauge(
            "plan_spend_per_hour",
            "What the plan applied costs an hour.",
            () -> planMetric(components, Autoscaler.AppliedPlan::costPerHour))
        .gauge(
            "plan_risk",
            "Spot CPUs of the plan applied, times their risk.",
            () -> planMetric(components, Autoscaler.AppliedPlan::risk));
  }

  private static double numDrained(ControllerComponents components) {
    return components.workers().hosts().stream().filter(h -> h.isDrainedByOperator()).count();
  }

  private static double stateReachable(ControllerComponents components) {
    return components.state().isReachable() ? 1 : 0;
  }

  private static Map<String, Integer> queuedTransactions(ControllerComponents components) {
    Map<String, Integer> values = new TreeMap<>();
    for (StateClient.Priority priority : StateClient.Priority.values()) {
      values.put(
          priority.name().toLowerCase(Locale.ROOT), components.state().queuedCount(priority));
    }
    return values;
  }

  private static Map<String, Double> usedCpusByTeam(ControllerComponents components) {
    return valuesByTeam(components, t -> components.ledger().teamCpus(t.name()));
  }

  private static Map<String, Double> valuesByTeam(
      ControllerComponents components, Function<Settings.Team, Double> metric) {
    Map<String, Double> values = new TreeMap<>();
    components.settings().teams().values().forEach(t -> values.put(t.name(), metric.apply(t)));
    return values;
  }

  private static double planMetric(
      ControllerComponents components, ToDoubleFunction<Autoscaler.AppliedPlan> metric) {
    Autoscaler.AppliedPlan applied = components.autoscaler().appliedPlan();
    return applied == null ? Double.NaN : metric.applyAsDouble(applied);
  }
}
