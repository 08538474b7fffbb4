package dapplestair.node;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.admin.Access;
import dapplestair.admin.AdminDesk;
import dapplestair.admin.Duties;
import dapplestair.blame.Blame;
import dapplestair.calendar.Calendars;
import dapplestair.disruption.Disruption;
import dapplestair.disruption.LostWork;
import dapplestair.drain.Drains;
import dapplestair.drain.Emptying;
import dapplestair.events.EventLog;
import dapplestair.events.Events;
import dapplestair.fleet.Fleet;
import dapplestair.lane.Lanes;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.metrics.Exposition;
import dapplestair.metrics.Metrics;
import dapplestair.peers.PeerStatus;
import dapplestair.peers.Peers;
import dapplestair.placement.Departures;
import dapplestair.placement.Estimates;
import dapplestair.placement.Placer;
import dapplestair.planning.DemandView;
import dapplestair.planning.Planning;
import dapplestair.ports.Exchange;
import dapplestair.replacement.Replacements;
import dapplestair.replacement.Room;
import dapplestair.settings.Operator;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.Wishes;
import dapplestair.submissions.SubmissionDesk;
import dapplestair.weights.Weights;
import dapplestair.withdrawals.Withdrawal;
import dapplestair.withdrawals.Withdrawals;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import dapplestair.zones.Zones;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller. All of it runs on one loop. */
public final class Controller implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final Outside outside;
  private final Settings settings;
  private final StateClient state;
  private final MachineTypes types = new MachineTypes();
  private final Metrics metrics = new Metrics();
  private final Estimates estimates = new Estimates();
  private final Peers peers;
  private final Leadership leadership;
  private final Ledger ledger;
  private final Withdrawals withdrawals;
  private final WorkerDesk workers;
  private final Disruption disruption;
  private final LostWork lostWork;
  private final Fleet fleet;
  private final Lanes lanes;
  private final Calendars calendars;
  private final Weights weights;
  private final Placer placer;
  private final Departures departures;
  private final DemandView demand;
  private final Planning planning;
  private final Replica replica;
  private final SubmissionDesk submissions;
  private final EventLog log;
  private final Events events;
  private final Drains drains;
  private final Replacements replacements;
  private final Zones zones;
  private final Blame blame;
  private final AdminDesk admin;
  private final Records records;
  private final HttpRouter router;
  private final Pulse pulse;
  private final SelfReport self;

  /** Wires the duties, without an operators' interface; nothing runs before {@link #start}. */
  public Controller(Settings settings, Operator operator, Outside outside) {
    this(settings, operator, outside, null);
  }

  /** Wires the duties; operators are served by {@link #operators} if {@code access} is given. */
  public Controller(Settings settings, Operator operator, Outside outside, Access access) {
    this.outside = outside;
    this.settings = settings;
    var clock = outside.clock();
    var timers = outside.timers();
    state = new StateClient(clock, timers, outside.http(), settings);
    peers = new Peers(clock, timers, outside.peers(), settings, this::ownStatus, this::peerStatus);
    leadership =
        new Leadership(clock, timers, outside.random(), settings, state, peers, new RoleChanges());
    LedgerHooks hooks = new LedgerHooks(clock, metrics, estimates);
    ledger = new Ledger(clock, timers, settings, state, leadership, outside.launchSheets(), hooks);
    withdrawals =
        new Withdrawals(
            clock,
            timers,
            outside.http(),
            settings,
            peers,
            leadership,
            this::recordsAsOf,
            new WithdrawalsHeard());
    workers =
        new WorkerDesk(
            clock,
            timers,
            outside.http(),
            settings,
            leadership,
            peers,
            state,
            types,
            ledger,
            withdrawals,
            this::hostChanged);
    log = access == null ? null : new EventLog(clock);
    events = access == null ? Events.OFF : log;
    replica =
        new Replica(state, timers, outside.random(), leadership::leading, new ReplicaEvents());
    lostWork = new LostWork(clock, settings, operator.budgets(), state, replica, leadership);
    disruption = new Disruption(clock, operator.budgets(), ledger, workers, lostWork);
    fleet =
        new Fleet(
            clock,
            timers,
            outside.http(),
            settings,
            state,
            leadership,
            types,
            workers,
            disruption,
            events);
    demand = new DemandView(clock, settings, ledger, workers, fleet, types, estimates);
    lanes =
        new Lanes(
            clock,
            timers,
            settings,
            operator.lanes(),
            state,
            replica,
            leadership,
            ledger,
            workers,
            disruption);
    calendars =
        new Calendars(
            clock,
            timers,
            settings,
            operator.calendars(),
            state,
            replica,
            leadership,
            ledger,
            events);
    weights = new Weights(clock, timers, settings, state, leadership, workers);
    placer =
        new Placer(
            clock,
            timers,
            settings,
            ledger,
            workers,
            estimates,
            disruption,
            lanes,
            calendars,
            demand::roomForServices,
            operator.beginWithinMs());
    lanes.wire(placer::nudge, placer::shelters);
    departures = new Departures(clock, disruption, estimates);
    planning =
        new Planning(
            clock,
            timers,
            outside.background(),
            outside.random(),
            operator,
            leadership,
            state,
            replica,
            fleet,
            types,
            demand);
    fleet.weigh(demand::waitingCpus, planning::soon);
    calendars.wire(
        () -> {
          placer.nudge();
          planning.soon();
        },
        () -> types.bootS(null));
    submissions =
        new SubmissionDesk(clock, settings, state, replica, ledger, types, withdrawals, metrics);
    blame =
        new Blame(
            clock,
            timers,
            settings.workers().reportMs(),
            ledger,
            workers,
            new Verdicts(events, planning::soon));
    hooks.wire(workers, demand, placer, submissions, events, blame, calendars);
    self =
        new SelfReport(
            leadership, ledger, workers, submissions, withdrawals, state, replica, types);
    pulse = new Pulse(clock, timers, metrics, 20 * settings.workers().reportMs(), self::line);
    router =
        new HttpRouter(
            workers,
            submissions,
            self::able,
            peers,
            state::unreachableMs,
            settings.workers().reportMs() / 4);
    Wishes wishes = new Wishes(clock, state, replica);
    drains =
        new Drains(
            clock,
            timers,
            settings,
            state,
            replica,
            wishes,
            leadership,
            workers,
            new Emptying(clock, workers, fleet, disruption),
            events);
    demand.drainsLackRoom(drains::lackRoom);
    replacements =
        new Replacements(
            clock,
            timers,
            settings,
            state,
            leadership,
            types,
            workers,
            drains,
            disruption,
            new Room(workers, fleet, types, planning),
            events);
    planning.beyond(replacements::extra);
    zones = new Zones(clock, timers, settings, state, replica, leadership, workers, events);
    fleet.closeZones(z -> drains.zones().containsKey(z) || zones.heldDown(z));
    admin = access == null ? null : admin(operator, access, wishes);
    records =
        new Records(
            leadership,
            ledger,
            fleet,
            drains,
            replacements,
            lostWork,
            zones,
            lanes,
            calendars,
            weights,
            withdrawals,
            placer,
            admin);
  }

  private AdminDesk admin(Operator operator, Access access, Wishes wishes) {
    Duties duties =
        new Duties(
            settings,
            operator,
            outside.clock(),
            outside.timers(),
            leadership,
            ledger,
            workers,
            fleet,
            types,
            placer,
            planning,
            peers,
            replica,
            state,
            drains,
            disruption,
            replacements,
            zones,
            lanes,
            calendars,
            blame,
            wishes,
            withdrawals,
            log);
    Exposition exposition = Figures.of(duties);
    metrics.tell(exposition);
    return new AdminDesk(duties, access, this::handle, exposition::text);
  }

  /** Answers a request of an operator; only with access given. */
  public void operators(Exchange x) {
    admin.handle(x);
  }

  /** True once this controller leads and may launch tasks, so that a lone one serves fully. */
  public boolean serving() {
    return ledger.armed() && types.known();
  }

  /** Gives the lead away and ends; what is recorded stays. */
  public void leave() {
    leadership.resign("this process is ending");
    close();
  }

  /** Begins to take part. */
  public void start() {
    LOG.info("{} in {} starts", settings.member(), settings.zone());
    replica.reload();
    workers.start();
    peers.start();
    withdrawals.start();
    leadership.start(replica);
    pulse.start();
  }

  /** Answers a request of a user, a worker or a health check. */
  public void handle(Exchange x) {
    router.handle(x);
  }

  // ---- between the duties ----

  private PeerStatus ownStatus() {
    return self.toPeers();
  }

  private void peerStatus(PeerStatus status) {
    leadership.termShown(status.term());
    if (leadership.leading()) {
      state.othersUse(peers.puts());
    }
  }

  private void hostChanged(Host host) {
    drains.mark(host);
    if (host.recalled() && !host.gone()) {
      departures.leave(host);
    }
    placer.nudge();
  }

  private final class RoleChanges implements Leadership.Listener {
    @Override
    public void lead(long term) {
      state.leading(true);
      fleet.lead();
      ledger.lead(term);
      disruption.lead();
      workers.lead();
      // Before anything is placed: room that was freed for a rider is its own.
      lanes.lead();
      calendars.lead();
      weights.lead();
      drains.lead();
      replacements.lead();
      zones.lead();
      blame.lead();
      planning.lead();
      if (log != null) {
        log.begin(term);
        log.note(Events.Kind.LEADING, o -> o.put("term", term).put("by", settings.member()));
      }
      peers.tell();
    }

    @Override
    public void follow() {
      state.leading(false);
      planning.clear();
      drains.clear();
      replacements.clear();
      zones.clear();
      lanes.clear();
      calendars.clear();
      weights.clear();
      blame.clear();
      if (admin != null) {
        admin.clear();
      }
      fleet.clear();
      ledger.clear();
      disruption.clear();
      workers.clear();
      // What was in memory may not be what was recorded: read all of it again.
      replica.restart();
      peers.tell();
    }
  }

  private long recordsAsOf() {
    return replica.asOf();
  }

  /** The replica, the ledger and the users' desk hear of what others confirmed. */
  private final class WithdrawalsHeard implements Withdrawals.Listener {
    @Override
    public void withdrawn(String ref) {
      submissions.ended(ref, false);
      ledger.withdrawn(ref);
    }

    @Override
    public List<Withdrawal.Place> places(String ref) {
      return ledger.places(ref);
    }

    @Override
    public boolean proved(String ref) {
      return leadership.leading() && ledger.nothingLeft(ref);
    }
  }

  /** The replica is made before some of those that hear of it. */
  private final class ReplicaEvents implements Replica.Listener {
    @Override
    public void put(String key, JsonNode value, long stamp) {
      records.put(key, value, stamp);
    }

    @Override
    public void removed(String key) {
      records.removed(key);
    }

    @Override
    public void loaded() {
      records.loaded();
    }
  }

  @Override
  public void close() {
    pulse.close();
    drains.close();
    replacements.close();
    zones.close();
    lanes.close();
    calendars.close();
    weights.close();
    blame.close();
    planning.close();
    fleet.close();
    workers.close();
    withdrawals.close();
    leadership.close();
    peers.close();
  }
}
