package dapplestair.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.blame.FaultAttribution;
import dapplestair.calendar.Calendars;
import dapplestair.cancellations.Cancellations;
import dapplestair.disruption.BudgetStatus;
import dapplestair.disruption.DisruptionGate;
import dapplestair.fleet.MachineKind;
import dapplestair.json.Json;
import dapplestair.lane.Lanes;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.JobStatistics;
import dapplestair.ledger.Ledger;
import dapplestair.peers.Peers;
import dapplestair.planning.Autoscaler;
import dapplestair.ports.Clock;
import dapplestair.relay.Relay;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import dapplestair.zones.Zones;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Teams, plan and the controllers themselves. */
final class ClusterViews {
  private final Clock clock;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final DisruptionGate disruptionGate;
  private final Autoscaler autoscaler;
  private final Zones zones;
  private final Lanes lanes;
  private final Calendars calendars;
  private final FaultAttribution faultAttribution;
  private final Leadership leadership;
  private final Peers peers;
  private final StateClient state;
  private final MachineViews machines;
  private final AsOfStamp asOf;
  private final Cancellations cancellations;
  private final Relay relay;

  ClusterViews(ControllerComponents components, MachineViews machines, AsOfStamp asOf) {
    this.clock = components.clock();
    this.settings = components.settings();
    this.ledger = components.ledger();
    this.workers = components.workers();
    this.disruptionGate = components.disruptionGate();
    this.autoscaler = components.autoscaler();
    this.zones = components.zones();
    this.lanes = components.lanes();
    this.calendars = components.calendars();
    this.faultAttribution = components.faultAttribution();
    this.leadership = components.leadership();
    this.peers = components.peers();
    this.state = components.state();
    this.machines = machines;
    this.asOf = asOf;
    this.cancellations = components.cancellations();
    this.relay = components.relay();
  }

  /** Who leads, who lives, what waits where. */
  ObjectNode status() {
    ObjectNode object =
        asOf.object()
            .put("leader", leadership.currentLeader())
            .put("term", leadership.term())
            .put("jobs", ledger.jobs().size())
            .put("attempts", ledger.attemptCount())
            .put("jobs_suspected", faultAttribution.countSuspectedJobs());
    Map<String, Integer> states = new TreeMap<>();
    workers.hosts().forEach(h -> states.merge(machines.state(h), 1, Integer::sum));
    ObjectNode m = object.putObject("machines");
    states.forEach(m::put);
    if (lanes.hasLanes()) {
      ObjectNode claims = object.putObject("lane_claims");
      lanes.openClaimCounts().forEach(claims::put);
    }
    if (!calendars.statuses().isEmpty()) {
      ArrayNode list = object.putArray("calendars");
      calendars.statuses().forEach(s -> show(s, list.addObject()));
    }
    ArrayNode list = object.putArray("peers");
    for (Peers.PeerView p : peers.views()) {
      ObjectNode n = list.addObject().put("member", p.member()).put("alive", p.alive());
      n.put("linked", p.linked());
      if (p.status() != null) {
        n.put("state_reachable", p.status().stateReachable())
            .put("ready", p.status().ready())
            .put("term", p.status().term())
            .put("reports", p.status().beats())
            .put("puts", p.status().puts());
      }
    }
    ObjectNode w = object.putObject("withdrawals").put("open", cancellations.openCount());
    if (cancellations.openCount() > 0) {
      w.put("oldest_s", cancellations.oldestOpenMs() / 1000.0);
    }
    if (cancellations.knowledgeAgeMs() < Integer.MAX_VALUE) {
      w.put("known_to_age_s", cancellations.knowledgeAgeMs() / 1000.0);
    }
    w.put("keeps_leases", cancellations.mayRenew());
    object.putObject("relay").put("on", relay.isActive()).put("reports", relay.relayedReports());
    ObjectNode s =
        object
            .putObject("state")
            .put("reachable", state.isReachable())
            .put("unreachable_s", state.unreachableMs() / 1000.0)
            .put("puts_allowed", state.maxPutsPerSecond())
            .put("puts_wanted", state.demandPutsPerSecond())
            .put("sheets", ledger.launchBatchCount());
    ObjectNode q = s.putObject("queued");
    for (StateClient.Priority p : StateClient.Priority.values()) {
      q.put(p.name().toLowerCase(Locale.ROOT), state.queuedCount(p));
    }
    return object;
  }

  private static void show(Calendars.CalendarStatus calendarStatus, ObjectNode object) {
    object
        .put("name", calendarStatus.name())
        .put("state", calendarStatus.state())
        .put("cycle", Instant.ofEpochMilli(calendarStatus.currentStartMs()).toString())
        .put("delivered", calendarStatus.deliveredCount())
        .put("complete", calendarStatus.requiredDeliveries())
        .put("jobs_held", calendarStatus.heldRuns())
        .put("next_in_s", calendarStatus.msUntilNext() / 1000.0)
        .put("last_released_by", calendarStatus.lastCause())
        .put("last_lag_s", calendarStatus.lastLagS());
  }

  /** What each team is guaranteed, uses, borrows and lends. */
  ObjectNode teams() {
    double borrowed = 0;
    double unused = 0;
    for (Settings.Team team : settings.teams().values()) {
      double use = ledger.teamCpus(team.name());
      borrowed += team.hasGuaranteeOrLimit() ? Math.max(0, use - team.cpus()) : 0;
      unused += Math.max(0, team.cpus() - use);
    }
    Map<String, Double> waiting = new TreeMap<>();
    for (Job job : ledger.jobs()) {
      waiting.merge(job.spec().team(), job.waitingTasks() * job.spec().cpus(), Double::sum);
    }
    // Who borrows does not say from whom: what is lent is parted by what each leaves unused.
    double lentShare = unused <= 0 ? 0 : Math.min(1, borrowed / unused);
    Map<String, JobStatistics.JobCounts> served = ledger.jobStatistics().byTeam();
    Map<String, BudgetStatus> statuses = disruptionGate.statuses();
    ObjectNode object = asOf.object();
    ArrayNode rows = object.putArray("rows");
    for (Settings.Team team : new TreeMap<>(settings.teams()).values()) {
      double use = ledger.teamCpus(team.name());
      ObjectNode row = rows.addObject();
      row.put("team", team.name())
          .put("guarantee", team.cpus())
          .put("limit", team.cpusMax())
          .put("use", use)
          .put("borrowed", team.hasGuaranteeOrLimit() ? Math.max(0, use - team.cpus()) : 0)
          .put("lent", Math.max(0, team.cpus() - use) * lentShare)
          .put("waiting", waiting.getOrDefault(team.name(), 0.0))
          .put("gpus_guarantee", team.gpus())
          .put("gpus_limit", team.gpusMax())
          .put("gpus_use", ledger.teamGpus(team.name()));
      JobStatistics.JobCounts count =
          served.getOrDefault(team.name(), JobStatistics.JobCounts.NONE);
      row.putObject("served")
          .put("accepted", count.accepted())
          .put("started", count.started())
          .put("due", count.due())
          .put("done", count.done());
      if (statuses.containsKey(team.name())) {
        BudgetStatus budgetStatus = statuses.get(team.name());
        row.put("out", budgetStatus.unavailableReplicas()).set("disruption", budget(budgetStatus));
        if (budgetStatus.maxUnavailableReplicas() < Integer.MAX_VALUE) {
          row.put("out_allowed", budgetStatus.maxUnavailableReplicas());
        }
      }
    }
    return object;
  }

  /** What of a team is out, and what its budget allows; what is not bounded is left out. */
  private static ObjectNode budget(BudgetStatus budgetStatus) {
    ObjectNode object =
        Json.object()
            .put("replicas_wanted", budgetStatus.wantedReplicas())
            .put("replicas_out", budgetStatus.unavailableReplicas())
            .put("replicas_stopping", budgetStatus.stoppingReplicas())
            .put("array_tasks_out", budgetStatus.unavailableArrayTasks())
            .put("lost_cpu_s", budgetStatus.lostCpuS());
    if (budgetStatus.maxUnavailableReplicas() < Integer.MAX_VALUE) {
      object.put("replicas_allowed", budgetStatus.maxUnavailableReplicas());
    }
    if (budgetStatus.maxUnavailableArrayTasks() < Integer.MAX_VALUE) {
      object.put("array_tasks_allowed", budgetStatus.maxUnavailableArrayTasks());
    }
    if (!Double.isInfinite(budgetStatus.maxLostCpuS())) {
      object.put("lost_cpu_s_allowed", budgetStatus.maxLostCpuS());
    }
    return object;
  }

  /** Zones: where each stands, and what is there. */
  ObjectNode zones() {
    ObjectNode object = asOf.object();
    ArrayNode rows = object.putArray("rows");
    zones
        .statuses()
        .forEach(
            (zone, life) -> {
              int there = 0;
              int unheard = 0;
              int replicas = 0;
              int tasks = 0;
              int unproved = 0;
              for (Host host : workers.hosts()) {
                if (!zone.equals(host.zone())) {
                  continue;
                }
                boolean lost = host.isUnreachable() || host.zoneSilentMs() > 0;
                there++;
                unheard += lost ? 1 : 0;
                for (Attempt attempt : host.attempts()) {
                  if (!attempt.exited()) {
                    replicas += attempt.spec().isService() ? 1 : 0;
                    tasks += attempt.spec().isService() ? 0 : 1;
                    unproved += lost ? 1 : 0;
                  }
                }
              }
              rows.addObject()
                  .put("zone", zone)
                  .put("state", life.state().label())
                  .put("since", life.sinceWallMs())
                  .put("cuts", life.cuts())
                  .put("steady_in_s", zones.remainingStabilizationS(zone))
                  .put("silent_s", workers.zoneSilentMs(zone) / 1000.0)
                  .put("machines", there)
                  .put("unheard", unheard)
                  .put("replicas", replicas)
                  .put("tasks", tasks)
                  .put("not_proved", unproved)
                  .put("by", life.member());
            });
    return object;
  }

  /** The plan applied last. */
  ObjectNode plan() {
    ObjectNode object = asOf.object();
    Autoscaler.AppliedPlan applied = autoscaler.appliedPlan();
    ArrayNode rows = object.putArray("rows");
    if (applied == null) {
      return object;
    }
    if (!Double.isNaN(applied.makespanS())) {
      ObjectNode costs = object.putObject("costs");
      costs
          .put("makespan_s", applied.makespanS())
          .put("per_hour", applied.costPerHour())
          .put("risk", applied.risk());
    }
    object
        .put("budget_per_hour", applied.budgetPerHour())
        .put("front", applied.frontSize())
        .put("age", (clock.now() - applied.appliedAtMs()) / 1000.0);
    for (Map.Entry<MachineKind, Integer> entry : applied.counts().entrySet()) {
      rows.addObject()
          .put("type", entry.getKey().type())
          .put("spot", entry.getKey().spot())
          .put("wanted", entry.getValue())
          .put("held", autoscaler.heldOrPendingCount(entry.getKey()));
    }
    return object;
  }
}
