package dapplestair.node;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.admin.Access;
import dapplestair.admin.AdminDesk;
import dapplestair.admin.Duties;
import dapplestair.disruption.Disruption;
import dapplestair.disruption.LostWork;
import dapplestair.drain.Drains;
import dapplestair.drain.Emptying;
import dapplestair.events.EventLog;
import dapplestair.events.Events;
import dapplestair.fleet.Fleet;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.Machine;
import dapplestair.ledger.StopReason;
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
import dapplestair.settings.Operator;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.submissions.SubmissionDesk;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
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
  private final WorkerDesk workers;
  private final Disruption disruption;
  private final LostWork lostWork;
  private final Fleet fleet;
  private final Placer placer;
  private final Departures departures;
  private final DemandView demand;
  private final Planning planning;
  private final Replica replica;
  private final SubmissionDesk submissions;
  private final EventLog log;
  private final Events events;
  private final Drains drains;
  private final AdminDesk admin;
  private final Records records;
  private final Doors doors;
  private final Pulse pulse;

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
    ledger =
        new Ledger(
            clock, timers, settings, state, leadership, outside.launchSheets(), new LedgerHooks());
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
    placer =
        new Placer(
            clock,
            timers,
            settings,
            ledger,
            workers,
            estimates,
            disruption,
            demand::roomForServices);
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
    submissions = new SubmissionDesk(clock, settings, state, replica, ledger, types, metrics);
    pulse = new Pulse(clock, timers, metrics, 20 * settings.workers().reportMs(), this::standing);
    doors = new Doors(workers, submissions, this::able, peers);
    drains =
        new Drains(
            clock,
            timers,
            settings,
            state,
            replica,
            leadership,
            workers,
            new Emptying(clock, workers, fleet, disruption),
            events);
    fleet.closeZones(z -> drains.zones().containsKey(z));
    admin = access == null ? null : admin(operator, access);
    records = new Records(leadership, ledger, fleet, drains, lostWork, placer, admin);
  }

  private AdminDesk admin(Operator operator, Access access) {
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
            placer,
            planning,
            peers,
            replica,
            state,
            drains,
            disruption,
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
    leadership.start(replica);
    pulse.start();
  }

  private String standing() {
    return "%s, %d jobs, %d attempts, %d machines, %d transactions waiting; puts: %s%s"
        .formatted(
            leadership.leading() ? "leading" : "following " + leadership.leader(),
            ledger.jobs().size(),
            ledger.attemptCount(),
            workers.hosts().size(),
            state.queued(),
            state.putsSent(),
            leadership.leading() ? "; served least: " + ledger.servedLeast() : "");
  }

  /** Answers a request of a user, a worker or a health check. */
  public void handle(Exchange x) {
    doors.handle(x);
  }

  // ---- between the duties ----

  private boolean able() {
    return replica.ready() && types.known() && state.unreachableMs() == 0;
  }

  private PeerStatus ownStatus() {
    return new PeerStatus(
        leadership.leading() ? leadership.term() : leadership.termSeen(),
        leadership.leader(),
        state.reachable(),
        replica.ready() && types.known(),
        workers.beatsLately(),
        (float) state.wanted());
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
      drains.lead();
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

  private final class LedgerHooks implements dapplestair.ledger.Hooks {
    @Override
    public void launch(Attempt attempt) {
      workers.launch(attempt);
    }

    @Override
    public void halt(Attempt attempt, double windDownS) {
      workers.halt(attempt, windDownS);
    }

    @Override
    public void clear(String host, String key, long number) {
      workers.clear(host, key, number);
    }

    @Override
    public void stopping(Attempt attempt, StopReason why) {
      events.note(Events.Kind.STOPPING, o -> Happenings.of(o, attempt).put("reason", why.shown()));
    }

    @Override
    public void lost(Attempt attempt) {
      events.note(Events.Kind.LOST, o -> Happenings.of(o, attempt));
    }

    @Override
    public void arrived(Job job) {
      demand.arrived(job.spec());
      events.note(Events.Kind.ACCEPTED, o -> Happenings.of(o, job));
    }

    @Override
    public void changed() {
      placer.nudge();
    }

    @Override
    public void withdrawn(Job job) {
      events.note(Events.Kind.OVER, o -> Happenings.of(o, job).put("status", "aborted"));
    }

    @Override
    public void ended(String ref, boolean done) {
      submissions.ended(ref, done);
      events.note(
          Events.Kind.OVER, o -> o.put("job", ref).put("status", done ? "done" : "aborted"));
    }

    @Override
    public void started(Attempt attempt) {
      metrics.started(outside.clock().wall() - attempt.job().acceptedWall());
      events.note(Events.Kind.STARTED, o -> Happenings.of(o, attempt));
    }

    @Override
    public void completed(Attempt attempt, Machine machine, double ranS) {
      double seconds = ranS > 0 ? ranS + attempt.savedS() : 0;
      events.note(Events.Kind.COMPLETED, o -> Happenings.of(o, attempt));
      Host host = workers.host(machine.id());
      host.taskCompleted();
      double expected = estimates.runS(attempt.spec());
      if (expected > 0 && seconds > 0) {
        host.observeSlowness(seconds / expected);
      }
      estimates.observe(attempt.spec(), seconds);
    }

    @Override
    public void failed(Attempt attempt, Machine machine) {
      metrics.lost();
      events.note(Events.Kind.FAILED, o -> Happenings.of(o, attempt));
      long first = settings.workers().reportMs();
      boolean jobIsWrong = ledger.failedMachines(attempt.job()) >= 2;
      Host host = workers.host(machine.id());
      int jobs = host.taskFailed(attempt.spec().ref());
      if (jobIsWrong) {
        ledger.backOff(attempt.job(), first, 20 * first);
      }
      // Two machines agree: it is the job. Two jobs agree: it is the machine. One job that fails
      // again and again on one machine alone would otherwise go on there for ever.
      boolean machineIsFaulty = jobs >= 2 || (host.failuresInARow() >= 4 && !jobIsWrong);
      if (machineIsFaulty && !host.draining()) {
        LOG.info("{} fails what it starts: it is emptied", host.id());
        host.setDraining(true);
      }
    }

    @Override
    public Host host(String id) {
      return workers.host(id);
    }
  }

  @Override
  public void close() {
    pulse.close();
    drains.close();
    planning.close();
    fleet.close();
    workers.close();
    leadership.close();
    peers.close();
  }
}
