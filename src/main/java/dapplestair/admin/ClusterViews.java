package dapplestair.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.blame.Blame;
import dapplestair.calendar.Calendars;
import dapplestair.disruption.Disruption;
import dapplestair.disruption.Standing;
import dapplestair.fleet.Slot;
import dapplestair.json.Json;
import dapplestair.lane.Lanes;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.Served;
import dapplestair.peers.Peers;
import dapplestair.planning.Planning;
import dapplestair.ports.Clock;
import dapplestair.relay.Relay;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.withdrawals.Withdrawals;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
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
  private final WorkerDesk desk;
  private final Disruption disruption;
  private final Planning planning;
  private final Zones zones;
  private final Lanes lanes;
  private final Calendars calendars;
  private final Blame blame;
  private final Leadership leadership;
  private final Peers peers;
  private final StateClient state;
  private final MachineViews machines;
  private final Moment moment;
  private final Withdrawals withdrawals;
  private final Relay relay;

  ClusterViews(Duties d, MachineViews machines, Moment moment) {
    this.clock = d.clock();
    this.settings = d.settings();
    this.ledger = d.ledger();
    this.desk = d.workers();
    this.disruption = d.disruption();
    this.planning = d.planning();
    this.zones = d.zones();
    this.lanes = d.lanes();
    this.calendars = d.calendars();
    this.blame = d.blame();
    this.leadership = d.leadership();
    this.peers = d.peers();
    this.state = d.state();
    this.machines = machines;
    this.moment = moment;
    this.withdrawals = d.withdrawals();
    this.relay = d.relay();
  }

  /** Who leads, who lives, what waits where. */
  ObjectNode status() {
    ObjectNode o =
        moment
            .object()
            .put("leader", leadership.leader())
            .put("term", leadership.term())
            .put("jobs", ledger.jobs().size())
            .put("attempts", ledger.attemptCount())
            .put("jobs_suspected", blame.suspects());
    Map<String, Integer> states = new TreeMap<>();
    desk.hosts().forEach(h -> states.merge(machines.state(h), 1, Integer::sum));
    ObjectNode m = o.putObject("machines");
    states.forEach(m::put);
    if (lanes.any()) {
      ObjectNode claims = o.putObject("lane_claims");
      lanes.claims().forEach(claims::put);
    }
    if (!calendars.standings().isEmpty()) {
      ArrayNode list = o.putArray("calendars");
      calendars.standings().forEach(s -> show(s, list.addObject()));
    }
    ArrayNode list = o.putArray("peers");
    for (Peers.View p : peers.views()) {
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
    ObjectNode w = o.putObject("withdrawals").put("open", withdrawals.open());
    if (withdrawals.open() > 0) {
      w.put("oldest_s", withdrawals.openMs() / 1000.0);
    }
    if (withdrawals.ageMs() < Integer.MAX_VALUE) {
      w.put("known_to_age_s", withdrawals.ageMs() / 1000.0);
    }
    w.put("keeps_leases", withdrawals.mayRenew());
    o.putObject("relay").put("on", relay.on()).put("reports", relay.relayed());
    ObjectNode s =
        o.putObject("state")
            .put("reachable", state.reachable())
            .put("unreachable_s", state.unreachableMs() / 1000.0)
            .put("puts_allowed", state.putsAllowed())
            .put("puts_wanted", state.wanted())
            .put("sheets", ledger.sheetCount());
    ObjectNode q = s.putObject("queued");
    for (StateClient.Priority p : StateClient.Priority.values()) {
      q.put(p.name().toLowerCase(Locale.ROOT), state.queued(p));
    }
    return o;
  }

  private static void show(Calendars.Standing s, ObjectNode o) {
    o.put("name", s.name())
        .put("state", s.state())
        .put("cycle", Instant.ofEpochMilli(s.cycle()).toString())
        .put("delivered", s.delivered())
        .put("complete", s.complete())
        .put("jobs_held", s.held())
        .put("next_in_s", s.nextMs() / 1000.0)
        .put("last_released_by", s.lastBy())
        .put("last_lag_s", s.lastLagS());
  }

  /** What each team is guaranteed, uses, borrows and lends. */
  ObjectNode teams() {
    double borrowed = 0;
    double unused = 0;
    for (Settings.Team t : settings.teams().values()) {
      double use = ledger.teamCpus(t.name());
      borrowed += t.bounded() ? Math.max(0, use - t.cpus()) : 0;
      unused += Math.max(0, t.cpus() - use);
    }
    Map<String, Double> waiting = new TreeMap<>();
    for (Job j : ledger.jobs()) {
      waiting.merge(j.spec().team(), j.waiting() * j.spec().cpus(), Double::sum);
    }
    // Who borrows does not say from whom: what is lent is parted by what each leaves unused.
    double lentShare = unused <= 0 ? 0 : Math.min(1, borrowed / unused);
    Map<String, Served.Count> served = ledger.served().byTeam();
    Map<String, Standing> standings = disruption.standings();
    ObjectNode o = moment.object();
    ArrayNode rows = o.putArray("rows");
    for (Settings.Team t : new TreeMap<>(settings.teams()).values()) {
      double use = ledger.teamCpus(t.name());
      ObjectNode row = rows.addObject();
      row.put("team", t.name())
          .put("guarantee", t.cpus())
          .put("limit", t.cpusMax())
          .put("use", use)
          .put("borrowed", t.bounded() ? Math.max(0, use - t.cpus()) : 0)
          .put("lent", Math.max(0, t.cpus() - use) * lentShare)
          .put("waiting", waiting.getOrDefault(t.name(), 0.0))
          .put("gpus_guarantee", t.gpus())
          .put("gpus_limit", t.gpusMax())
          .put("gpus_use", ledger.teamGpus(t.name()));
      Served.Count c = served.getOrDefault(t.name(), Served.Count.NONE);
      row.putObject("served")
          .put("accepted", c.accepted())
          .put("started", c.started())
          .put("due", c.due())
          .put("done", c.done());
      if (standings.containsKey(t.name())) {
        Standing s = standings.get(t.name());
        row.put("out", s.out()).set("disruption", budget(s));
        if (s.allowed() < Integer.MAX_VALUE) {
          row.put("out_allowed", s.allowed());
        }
      }
    }
    return o;
  }

  /** What of a team is out, and what its budget allows; what is not bounded is left out. */
  private static ObjectNode budget(Standing s) {
    ObjectNode o =
        Json.object()
            .put("replicas_wanted", s.wanted())
            .put("replicas_out", s.out())
            .put("replicas_stopping", s.stopping())
            .put("array_tasks_out", s.arraysOut())
            .put("lost_cpu_s", s.lostCpuS());
    if (s.allowed() < Integer.MAX_VALUE) {
      o.put("replicas_allowed", s.allowed());
    }
    if (s.arraysAllowed() < Integer.MAX_VALUE) {
      o.put("array_tasks_allowed", s.arraysAllowed());
    }
    if (!Double.isInfinite(s.lostAllowed())) {
      o.put("lost_cpu_s_allowed", s.lostAllowed());
    }
    return o;
  }

  /** Zones: where each stands, and what is there. */
  ObjectNode zones() {
    ObjectNode o = moment.object();
    ArrayNode rows = o.putArray("rows");
    zones
        .lives()
        .forEach(
            (zone, life) -> {
              int there = 0;
              int unheard = 0;
              int replicas = 0;
              int tasks = 0;
              int unproved = 0;
              for (Host h : desk.hosts()) {
                if (!zone.equals(h.zone())) {
                  continue;
                }
                boolean lost = h.outOfReach() || h.zoneSilentMs() > 0;
                there++;
                unheard += lost ? 1 : 0;
                for (Attempt a : h.attempts()) {
                  if (!a.exited()) {
                    replicas += a.spec().service() ? 1 : 0;
                    tasks += a.spec().service() ? 0 : 1;
                    unproved += lost ? 1 : 0;
                  }
                }
              }
              rows.addObject()
                  .put("zone", zone)
                  .put("state", life.state().shown())
                  .put("since", life.sinceWall())
                  .put("cuts", life.cuts())
                  .put("steady_in_s", zones.heldS(zone))
                  .put("silent_s", desk.zoneSilentMs(zone) / 1000.0)
                  .put("machines", there)
                  .put("unheard", unheard)
                  .put("replicas", replicas)
                  .put("tasks", tasks)
                  .put("not_proved", unproved)
                  .put("by", life.by());
            });
    return o;
  }

  /** The plan applied last. */
  ObjectNode plan() {
    ObjectNode o = moment.object();
    Planning.Applied p = planning.applied();
    ArrayNode rows = o.putArray("rows");
    if (p == null) {
      return o;
    }
    if (!Double.isNaN(p.makespanS())) {
      ObjectNode costs = o.putObject("costs");
      costs.put("makespan_s", p.makespanS()).put("per_hour", p.perHour()).put("risk", p.risk());
    }
    o.put("budget_per_hour", p.budgetPerHour())
        .put("front", p.front())
        .put("age", (clock.now() - p.at()) / 1000.0);
    for (Map.Entry<Slot, Integer> e : p.counts().entrySet()) {
      rows.addObject()
          .put("type", e.getKey().type())
          .put("spot", e.getKey().spot())
          .put("wanted", e.getValue())
          .put("held", planning.holding(e.getKey()));
    }
    return o;
  }
}
