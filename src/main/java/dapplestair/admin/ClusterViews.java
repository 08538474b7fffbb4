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

/** Builds the views of teams, zones, the plan and the controllers themselves. */
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
  private final StateClient stateClient;
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
    this.stateClient = components.state();
    this.machines = machines;
    this.asOf = asOf;
    this.cancellations = components.cancellations();
    this.relay = components.relay();
  }

  /**
   * Returns the state of the cluster: the leader, the counts of machines by state, the peers, open
   * cancellations and lane claims, calendars, the relay, and the queues to the state service.
   */
  ObjectNode status() {
    ObjectNode object =
        asOf.newObject()
            .put("leader", leadership.currentLeader())
            .put("term", leadership.term())
            .put("jobs", ledger.jobs().size())
            .put("attempts", ledger.attemptCount())
            .put("jobs_suspected", faultAttribution.countSuspectedJobs());
    Map<String, Integer> states = new TreeMap<>();
    workers.hosts().forEach(host -> states.merge(machines.stateOf(host), 1, Integer::sum));
    ObjectNode machineCounts = object.putObject("machines");
    states.forEach(machineCounts::put);
    if (lanes.hasLanes()) {
      ObjectNode claims = object.putObject("lane_claims");
      lanes.openClaimCounts().forEach(claims::put);
    }
    if (!calendars.statuses().isEmpty()) {
      ArrayNode calendarList = object.putArray("calendars");
      calendars
          .statuses()
          .forEach(calendarStatus -> addCalendarFields(calendarStatus, calendarList.addObject()));
    }
    ArrayNode peerList = object.putArray("peers");
    for (Peers.PeerView peer : peers.views()) {
      ObjectNode peerObject =
          peerList.addObject().put("member", peer.member()).put("alive", peer.alive());
      peerObject.put("linked", peer.linked());
      if (peer.status() != null) {
        peerObject
            .put("state_reachable", peer.status().stateReachable())
            .put("ready", peer.status().ready())
            .put("term", peer.status().term())
            .put("reports", peer.status().beats())
            .put("puts", peer.status().puts());
      }
    }
    ObjectNode withdrawals = object.putObject("withdrawals").put("open", cancellations.openCount());
    if (cancellations.openCount() > 0) {
      withdrawals.put("oldest_s", cancellations.oldestOpenMs() / 1000.0);
    }
    if (cancellations.knowledgeAgeMs() < Integer.MAX_VALUE) {
      withdrawals.put("known_to_age_s", cancellations.knowledgeAgeMs() / 1000.0);
    }
    withdrawals.put("keeps_leases", cancellations.mayRenew());
    object.putObject("relay").put("on", relay.isActive()).put("reports", relay.relayedReports());
    ObjectNode stateObject =
        object
            .putObject("state")
            .put("reachable", stateClient.isReachable())
            .put("unreachable_s", stateClient.unreachableMs() / 1000.0)
            .put("puts_allowed", stateClient.maxPutsPerSecond())
            .put("puts_wanted", stateClient.demandPutsPerSecond())
            .put("sheets", ledger.launchBatchCount());
    ObjectNode queuedCounts = stateObject.putObject("queued");
    for (StateClient.Priority priority : StateClient.Priority.values()) {
      queuedCounts.put(priority.name().toLowerCase(Locale.ROOT), stateClient.queuedCount(priority));
    }
    return object;
  }

  private static void addCalendarFields(
      Calendars.CalendarStatus calendarStatus, ObjectNode object) {
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

  /** Returns what each team is guaranteed, uses, borrows, lends and waits for. */
  ObjectNode teams() {
    double borrowedCpus = 0;
    double unusedCpus = 0;
    for (Settings.Team team : settings.teams().values()) {
      double usedCpus = ledger.teamCpus(team.name());
      borrowedCpus += team.hasGuaranteeOrLimit() ? Math.max(0, usedCpus - team.cpus()) : 0;
      unusedCpus += Math.max(0, team.cpus() - usedCpus);
    }
    Map<String, Double> waitingCpusByTeam = new TreeMap<>();
    for (Job job : ledger.jobs()) {
      waitingCpusByTeam.merge(
          job.spec().team(), job.waitingTasks() * job.spec().cpus(), Double::sum);
    }
    // Borrowed CPUs are not tied to a lender: their total is attributed to the teams as lent CPUs
    // in proportion to the part of its guarantee that each team leaves unused.
    double lentShare = unusedCpus <= 0 ? 0 : Math.min(1, borrowedCpus / unusedCpus);
    Map<String, JobStatistics.JobCounts> countsByTeam = ledger.jobStatistics().byTeam();
    Map<String, BudgetStatus> budgetStatuses = disruptionGate.statuses();
    ObjectNode object = asOf.newObject();
    ArrayNode rows = object.putArray("rows");
    for (Settings.Team team : new TreeMap<>(settings.teams()).values()) {
      double usedCpus = ledger.teamCpus(team.name());
      ObjectNode row = rows.addObject();
      row.put("team", team.name())
          .put("guarantee", team.cpus())
          .put("limit", team.cpusMax())
          .put("use", usedCpus)
          .put("borrowed", team.hasGuaranteeOrLimit() ? Math.max(0, usedCpus - team.cpus()) : 0)
          .put("lent", Math.max(0, team.cpus() - usedCpus) * lentShare)
          .put("waiting", waitingCpusByTeam.getOrDefault(team.name(), 0.0))
          .put("gpus_guarantee", team.gpus())
          .put("gpus_limit", team.gpusMax())
          .put("gpus_use", ledger.teamGpus(team.name()));
      JobStatistics.JobCounts counts =
          countsByTeam.getOrDefault(team.name(), JobStatistics.JobCounts.NONE);
      row.putObject("served")
          .put("accepted", counts.accepted())
          .put("started", counts.started())
          .put("due", counts.due())
          .put("done", counts.done());
      if (budgetStatuses.containsKey(team.name())) {
        BudgetStatus budgetStatus = budgetStatuses.get(team.name());
        row.put("out", budgetStatus.unavailableReplicas())
            .set("disruption", budgetJson(budgetStatus));
        if (budgetStatus.maxUnavailableReplicas() < Integer.MAX_VALUE) {
          row.put("out_allowed", budgetStatus.maxUnavailableReplicas());
        }
      }
    }
    return object;
  }

  /**
   * Returns a team's unavailable replicas and tasks and what its disruption budget allows. Limits
   * that are not set are omitted.
   */
  private static ObjectNode budgetJson(BudgetStatus budgetStatus) {
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

  /** Returns the status of each zone with its machines and the tasks on them. */
  ObjectNode zones() {
    ObjectNode object = asOf.newObject();
    ArrayNode rows = object.putArray("rows");
    zones
        .statuses()
        .forEach(
            (zone, status) -> {
              int machineCount = 0;
              int unheardCount = 0;
              int replicaCount = 0;
              int taskCount = 0;
              int unprovedCount = 0;
              for (Host host : workers.hosts()) {
                if (!zone.equals(host.zone())) {
                  continue;
                }
                boolean isUnheard = host.isUnreachable() || host.zoneSilentMs() > 0;
                machineCount++;
                unheardCount += isUnheard ? 1 : 0;
                for (Attempt attempt : host.attempts()) {
                  if (!attempt.exited()) {
                    replicaCount += attempt.spec().isService() ? 1 : 0;
                    taskCount += attempt.spec().isService() ? 0 : 1;
                    unprovedCount += isUnheard ? 1 : 0;
                  }
                }
              }
              rows.addObject()
                  .put("zone", zone)
                  .put("state", status.state().label())
                  .put("since", status.sinceWallMs())
                  .put("cuts", status.cuts())
                  .put("steady_in_s", zones.remainingStabilizationS(zone))
                  .put("silent_s", workers.zoneSilentMs(zone) / 1000.0)
                  .put("machines", machineCount)
                  .put("unheard", unheardCount)
                  .put("replicas", replicaCount)
                  .put("tasks", taskCount)
                  .put("not_proved", unprovedCount)
                  .put("by", status.member());
            });
    return object;
  }

  /** Returns the plan that was applied last; it has no rows before the first plan. */
  ObjectNode plan() {
    ObjectNode object = asOf.newObject();
    Autoscaler.AppliedPlan plan = autoscaler.appliedPlan();
    ArrayNode rows = object.putArray("rows");
    if (plan == null) {
      return object;
    }
    if (!Double.isNaN(plan.makespanS())) {
      ObjectNode costs = object.putObject("costs");
      costs
          .put("makespan_s", plan.makespanS())
          .put("per_hour", plan.costPerHour())
          .put("risk", plan.risk());
    }
    object
        .put("budget_per_hour", plan.budgetPerHour())
        .put("front", plan.frontSize())
        .put("age", (clock.now() - plan.appliedAtMs()) / 1000.0);
    for (Map.Entry<MachineKind, Integer> entry : plan.counts().entrySet()) {
      rows.addObject()
          .put("type", entry.getKey().type())
          .put("spot", entry.getKey().spot())
          .put("wanted", entry.getValue())
          .put("held", autoscaler.heldOrPendingCount(entry.getKey()));
    }
    return object;
  }
}
