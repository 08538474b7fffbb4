package dapplestair.node;

import com.google.common.collect.Maps;
import dapplestair.admin.Duties;
import dapplestair.disruption.Standing;
import dapplestair.ledger.Served;
import dapplestair.metrics.Exposition;
import dapplestair.planning.Planning;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** The figures of a controller that are looked up when somebody asks for them. */
final class Figures {
  private static final String VERSION = "0.2.0";

  private Figures() {}

  static Exposition of(Duties d) {
    Exposition exposition = new Exposition(VERSION);
    addCluster(exposition, d);
    addState(exposition, d);
    addTeams(exposition, d);
    addClasses(exposition, d);
    addStops(exposition, d);
    addPlan(exposition, d);
    return exposition;
  }

  /** Who leads, and what there is in the cluster. */
  private static void addCluster(Exposition exposition, Duties d) {
    exposition
        .gauge("leading", "1 while this controller leads.", () -> d.leadership().leading() ? 1 : 0)
        .gauge("term", "The highest term known.", () -> d.leadership().termSeen())
        .gauge("epoch", "Up to which change the replica is complete.", () -> d.replica().position())
        .gauge("jobs", "Jobs that are not over.", () -> d.ledger().jobs().size())
        .gauge("attempts", "Attempts whose absence is not proved.", () -> d.ledger().attemptCount())
        .gauge("machines", "Machines not proved to be gone.", () -> d.workers().hosts().size())
        .gauge(
            "jobs_suspected",
            "Jobs that fail wherever they run, tried by one task at a time.",
            () -> d.blame().suspects())
        .gauge(
            "withdrawals_known_to_age_seconds",
            "Age of the knowledge of all confirmed withdrawals; leases are kept only while it is small.",
            () -> d.withdrawals().ageMs() / 1000.0)
        .gauge(
            "withdrawals_open",
            "Withdrawals told to users here that are not proved to be carried out.",
            () -> d.withdrawals().open())
        .gauge(
            "withdrawals_open_oldest_seconds",
            "For how long the oldest of them has been so.",
            () -> d.withdrawals().openMs() / 1000.0)
        .gauge(
            "peer_messages_refused",
            "Messages of peers that were garbled, too large or of an unknown form.",
            () -> d.peers().questions().refusedSoFar())
        .gauge(
            "relay_on",
            "1 while the connections of workers are spread over all controllers.",
            () -> d.relay().on() ? 1 : 0)
        .gauge(
            "relayed_reports",
            "Reports of workers that this controller has passed on to a leader.",
            () -> d.relay().relayed())
        .gauge("machines_drained", "Machines drained by operators.", () -> drained(d));
  }

  /** The state service, and what waits for it. */
  private static void addState(Exposition exposition, Duties d) {
    exposition
        .gauge("state_reachable", "1 while the state service answers.", () -> reachable(d))
        .gauge("puts_allowed", "Puts a second that may be made.", () -> d.state().putsAllowed())
        .gauge("puts_wanted", "Puts a second made or waiting.", () -> d.state().wanted())
        .gauges("transactions_queued", "Transactions that wait.", "priority", () -> queued(d));
  }

  /** What teams use, and what they were promised. */
  private static void addTeams(Exposition exposition, Duties d) {
    exposition
        .gauges("team_cpus_used", "CPUs that a team's attempts use.", "team", () -> used(d))
        .gauges(
            "team_cpus_guaranteed",
            "CPUs guaranteed to a team.",
            "team",
            () -> teams(d, Settings.Team::cpus))
        .gauges(
            "team_cpus_limit",
            "Most CPUs of a team, 0 for no limit.",
            "team",
            () -> teams(d, Settings.Team::cpusMax))
        .gauges(
            "team_jobs_started_share",
            "Share of a team's accepted jobs that started, since this controller leads.",
            "team",
            () -> Maps.transformValues(d.ledger().served().byTeam(), Served.Count::startedShare))
        .gauges(
            "team_jobs_done_share",
            "Share of a team's arrays, less those withdrawn, that are done since then.",
            "team",
            () -> Maps.transformValues(d.ledger().served().byTeam(), Served.Count::doneShare));
  }

  /** How classes of jobs are served. */
  private static void addClasses(Exposition exposition, Duties d) {
    exposition
        .gauges(
            "class_jobs_started_share",
            "Share of a class's accepted jobs that started, since this controller leads.",
            "class",
            () -> Maps.transformValues(d.ledger().served().byClass(), Served.Count::startedShare))
        .gauges(
            "class_jobs_done_share",
            "Share of a class's arrays, less those withdrawn, that are done since then.",
            "class",
            () -> Maps.transformValues(d.ledger().served().byClass(), Served.Count::doneShare))
        .gauges(
            "class_largest_begun_share",
            "Share of a class's largest jobs (the largest tenth, three at least) that began.",
            "class",
            () -> Maps.transformValues(d.ledger().served().largest(), Served.Largest::share))
        .gauges(
            "class_largest_wait_seconds",
            "The longest wait of one of a class's largest jobs for its first task.",
            "class",
            () -> Maps.transformValues(d.ledger().served().largest(), Served.Largest::longestS));
  }

  /** What is stopped by choice. */
  private static void addStops(Exposition exposition, Duties d) {
    exposition
        .gauges(
            "team_replicas_out",
            "Replicas of a team that are out, for whatever reason.",
            "team",
            () -> Maps.transformValues(d.disruption().standings(), Standing::out))
        .gauges(
            "team_replicas_out_allowed",
            "Replicas of a team that may be out before nothing more is stopped by choice.",
            "team",
            () -> Maps.transformValues(d.disruption().standings(), Standing::allowed))
        .gauges("lane_claims", "Open claims of a lane's riders.", "lane", () -> d.lanes().claims())
        .gauge("lane_stops", "Tasks stopped for riders of lanes.", () -> d.lanes().stops())
        .gauge(
            "stops_granted",
            "Stops that asked for a budget and were granted.",
            () -> d.disruption().granted())
        .gauge(
            "stops_forced",
            "Stops that could not wait for a budget.",
            () -> d.disruption().forced());
  }

  /** The plan applied. */
  private static void addPlan(Exposition exposition, Duties d) {
    exposition
        .gauge(
            "plan_makespan_seconds",
            "Mean makespan of the plan applied.",
            () -> plan(d, Planning.Applied::makespanS))
        .gauge(
            "plan_spend_per_hour",
            "What the plan applied costs an hour.",
            () -> plan(d, Planning.Applied::perHour))
        .gauge(
            "plan_risk",
            "Spot CPUs of the plan applied, times their risk.",
            () -> plan(d, Planning.Applied::risk));
  }

  private static double drained(Duties d) {
    return d.workers().hosts().stream().filter(h -> h.drained()).count();
  }

  private static double reachable(Duties d) {
    return d.state().reachable() ? 1 : 0;
  }

  private static Map<String, Integer> queued(Duties d) {
    Map<String, Integer> out = new TreeMap<>();
    for (StateClient.Priority p : StateClient.Priority.values()) {
      out.put(p.name().toLowerCase(Locale.ROOT), d.state().queued(p));
    }
    return out;
  }

  private static Map<String, Double> used(Duties d) {
    return teams(d, t -> d.ledger().teamCpus(t.name()));
  }

  private static Map<String, Double> teams(Duties d, Function<Settings.Team, Double> figure) {
    Map<String, Double> out = new TreeMap<>();
    d.settings().teams().values().forEach(t -> out.put(t.name(), figure.apply(t)));
    return out;
  }

  private static double plan(Duties d, ToDoubleFunction<Planning.Applied> figure) {
    Planning.Applied p = d.planning().applied();
    return p == null ? Double.NaN : figure.applyAsDouble(p);
  }
}
