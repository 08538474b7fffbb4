package dapplestair.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.silence.Account;
import dapplestair.state.StateClient;
import dapplestair.withdrawals.Withdrawals;
import dapplestair.work.Order;
import dapplestair.work.Report;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Hears the workers and commands them. Only a leader does; the others show the way to it. */
public final class WorkerDesk implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerDesk.class);

  /** Told of what happens to machines. */
  public interface Listener {
    /** A machine's room, notice or reachability changed. */
    void hostChanged(Host host);
  }

  /** What peers tell each other about whom they heard; older ones do not know the topic. */
  private static final String HEARD = "heard";

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Ledger ledger;
  private final Listener listener;
  private final long reportMs;
  private final Roster roster;
  private final Hearing hearing;
  private final Courier courier;
  private final SentOn sentOn;
  private final Withdrawals withdrawals;
  private final LeaseRenewal renewal;
  private Cancellable timer = () -> {};
  private Cancellable counting = () -> {};
  private Cancellable sharing = () -> {};
  private final Peers peers;
  private final StateClient state;
  private boolean leading;
  private int beats;
  private int beatsBefore;

  /** A desk without machines. */
  public WorkerDesk(
      Clock clock,
      Timers timers,
      HttpCaller http,
      Settings settings,
      Leadership leadership,
      Peers peers,
      StateClient state,
      MachineTypes types,
      Ledger ledger,
      Withdrawals withdrawals,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.leadership = leadership;
    this.peers = peers;
    this.state = state;
    this.types = types;
    this.ledger = ledger;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.roster = new Roster(clock);
    this.hearing = new Hearing(clock, settings, roster);
    this.sentOn = new SentOn(clock, settings.workers().leaseMs());
    this.withdrawals = withdrawals;
    this.courier =
        new Courier(clock, timers, http, settings, leadership, withdrawals, roster, new Answers());
    this.renewal = new LeaseRenewal(clock, courier, ledger, withdrawals);
  }

  /** Begins to count what comes, and to share what is heard. */
  public void start() {
    peers.questions().answer(HEARD, (body, reply) -> heardByOthers(body));
    countBeats();
    share();
  }

  private void heardByOthers(byte[] body) {
    Account account = Account.decode(body);
    if (account != null) {
      hearing.said(account);
    }
  }

  private void share() {
    Account account = hearing.account(leading && leadership.leading(), leadership.term());
    if (account.term() > 0 || !account.zones().isEmpty()) {
      peers.state(HEARD, account.encode());
    }
    sharing = timers.after(reportMs / 8, this::share);
  }

  // ---- machines ----

  /** All machines not proved to be gone. */
  public Collection<Host> hosts() {
    return roster.all();
  }

  /** A machine by name, made known if it was not. */
  public Host host(String id) {
    return roster.host(id);
  }

  /** A machine by name, or null. */
  public Host known(String id) {
    return roster.known(id);
  }

  /** True when this machine was proved to be gone. */
  public boolean isGone(String id) {
    return roster.isGone(id);
  }

  /** The machine is proved to be gone, with everything on it. */
  public void gone(Host host) {
    if (host.gone()) {
      return;
    }
    roster.markGone(host);
    ledger.allAbsent(host);
    roster.remove(host);
    listener.hostChanged(host);
  }

  /** True when it has reported lately enough to be worth giving work to. */
  public boolean fresh(Host host) {
    return hearing.fresh(host);
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  public boolean zoneHeard(Host silent) {
    return hearing.zoneHeard(silent);
  }

  /**
   * True when the leader before had a proof that this machine is gone, which it could not put on
   * record. That is hearsay here; returning the machine once more proves it again.
   */
  public boolean saidGone(Host host) {
    return hearing.saidGone(host);
  }

  /** How long nothing was heard of any machine in this zone while others were; 0 if any was. */
  public long zoneSilentMs(String zone) {
    return hearing.zoneSilentMs(zone);
  }

  /** True when this leader reached one of the zone's machines lately. */
  public boolean zoneHeardNow(String zone) {
    return hearing.zoneHeardNow(zone);
  }

  /** How long nothing was heard of it. */
  public long silentMs(Host host) {
    return hearing.silentMs(host);
  }

  // ---- leading ----

  /** Begins to command: every known machine is shown the new token at once. */
  public void lead() {
    leading = true;
    courier.lead();
    for (Host h : roster.all()) {
      reach(h);
    }
    hearing.lead();
    tick();
  }

  /** Gives all up. */
  public void clear() {
    leading = false;
    timer.cancel();
    courier.clear();
    roster.clear();
    hearing.clear();
  }

  /** Shows the token to a machine, and learns what is on it. */
  public void reach(Host host) {
    if (host.endpoint != null && !host.gone()) {
      courier.probe(host);
    }
  }

  private void tick() {
    long now = clock.now();
    hearing.turn(reportMs / 8);
    for (Host h : List.copyOf(roster.all())) {
      h.setOutOfReach(hearing.silent(h));
      repeatHalts(h, now);
      // A machine that misses its report is asked at once.
      boolean unknown = !h.acknowledged && h.endpoint != null;
      if (hearing.overdue(h) || (unknown && h.expectedUp())) {
        courier.probe(h);
      } else {
        courier.send(h);
      }
    }
    if (hearing.nobody() && peers.othersHear()) {
      // Cut off from the workers alone: their leases would run out while this controller leads.
      leadership.resign("the workers are heard by others only");
      return;
    }
    timer = timers.after(reportMs / 8, this::tick);
  }

  private void repeatHalts(Host h, long now) {
    for (Attempt a : h.attempts()) {
      if (a.halting() && !a.exited() && now - a.lastHaltAt() > reportMs / 2) {
        halt(a, a.job().over() ? 0 : a.windDownS());
      }
    }
  }

  // ---- orders ----

  /** Sends a launch. */
  public void launch(Attempt a) {
    courier.queue(a.host(), new Order.Launch(a.key(), a.number()));
  }

  /** Sends a stop. */
  public void halt(Attempt a, double windDownS) {
    a.haltSent(clock.now(), windDownS);
    courier.queue(a.host(), new Order.Halt(a.key(), a.number(), windDownS));
  }

  /** Takes an exited attempt out of a machine's reports. */
  public void clear(String hostId, String key, long number) {
    courier.queue(hostId, new Order.Clear(key, number));
  }

  // ---- reports ----

  /** Answers a worker's report. */
  public void beat(Exchange exchange) {
    JsonNode body = Json.parse(exchange.body());
    Report r = Report.parse(body);
    if (r == null) {
      exchange.reply(400, Json.bytes(Json.object().put("error", "not a report")), 0);
      return;
    }
    // A higher token means that somebody else leads by now. To be looked at before any 200: a
    // worker that has to drop a 200 stays here while its lease runs out.
    leadership.termShown(FencingToken.term(r.token()));
    withdrawals.addressed(r.host(), r.endpoint());
    beats++;
    if (!leading || !leadership.leading()) {
      redirect(exchange, r);
      return;
    }
    if (roster.isGone(r.host())) {
      if (roster.sentSince(r)) {
        hearing.heard(r.zone());
      }
      keep(exchange, null);
      return;
    }
    Host host = host(r.host());
    apply(host, r, false);
    keep(exchange, leading ? renewal.byLeader(host, r) : null);
  }

  /** Keeps the worker's lease, or sends it on to somebody who may. */
  private static void keep(Exchange exchange, ObjectNode answer) {
    if (answer == null) {
      exchange.reply(503, Json.bytes(Json.object()), 1);
    } else {
      exchange.reply(200, Json.bytes(answer), 0);
    }
  }

  /**
   * Shows the way to the leader. In a zone that is cut off, or while nobody can lead, there is none
   * to be reached, and the worker's tasks would end with its lease for nothing: then its own token
   * is good, which any controller may show as long as it knows of no higher term. Nobody takes the
   * end of a lease for a proof of absence, so this starts no task twice. A withdrawn task must not
   * live by it: {@link LeaseRenewal} sees to that.
   */
  private void redirect(Exchange exchange, Report r) {
    boolean again = sentOn.again(r);
    String steward = leadership.leader();
    boolean known = steward != null && !steward.equals(settings.member());
    // One that comes back from a living leader was not taken there. In an outage of all the reason
    // may be that this leader may not keep leases any more, since it does not hear all others.
    boolean notTaken = again && !peers.anyServed();
    boolean alone = !state.reachable() && (notTaken || !(known && peers.alive(steward)));
    if (alone && !again && leadership.succeeded()) {
      // Somebody leads whom we cannot ask, and reaches this worker: it had better report there.
      // One that comes back was not taken; it is kept as below.
      keep(exchange, null);
      return;
    }
    if (alone && FencingToken.term(r.token()) >= leadership.termSeen()) {
      keep(exchange, renewal.byOther(r));
      return;
    }
    ObjectNode answer = Json.object();
    if (known) {
      answer.put("steward", steward);
    }
    exchange.reply(421, Json.bytes(answer), 0);
  }

  /** Reports that came to this controller lately, whoever leads. */
  public int beatsLately() {
    return beats + beatsBefore;
  }

  private void countBeats() {
    beatsBefore = beats;
    beats = 0;
    counting = timers.after(reportMs / 2, this::countBeats);
  }

  /**
   * Applies a report. Heard is not reached: whether its machine gets our answers is known when it
   * answers a call, or shows a token that only an answer since can have shown it. Until then it is
   * no sign of life, neither of the machine nor of its zone: it may be deaf, or the report a copy
   * that comes late. Facts in it are facts all the same, and proofs have their own conditions.
   */
  private void apply(Host host, Report r, boolean answer) {
    leadership.termShown(FencingToken.term(r.token()));
    if (!leading || !leadership.leading()) {
      return;
    }
    if (FencingToken.term(r.token()) == leadership.term()) {
      // Another controller may have raised it: what lies below is not executed any more.
      host.fence = Math.max(host.fence, FencingToken.fence(r.token()));
    }
    if (!r.after(host.session, host.tick) || host.gone()) {
      return;
    }
    boolean first = !host.up() || !host.acknowledged;
    host.session = r.session();
    host.tick = r.tick();
    host.tokenSeen = r.token();
    long challenge = Math.max(host.challenge, FencingToken.of(leadership.term(), 0));
    boolean reached = answer || r.token() >= challenge;
    if (reached) {
      host.heardAt = clock.now();
      hearing.heard(r.zone());
    }
    host.describe(r.endpoint(), types.get(r.type()), r.zone(), r.spot());
    if (!host.acknowledged && r.token() >= FencingToken.of(leadership.term(), 0)) {
      host.acknowledged = true;
    }
    boolean recalledBefore = host.recalled();
    if (reached || !host.recalled()) {
      host.recallAt = recallAt(r);
    }
    List<Report.Task> strays = ledger.report(host, r);
    host.strays = 0;
    if (host.acknowledged) {
      strays.forEach(t -> stray(host, t));
    }
    if (host.failedCalls > 0 && !host.calling) {
      // Heard again: it is used as soon as it answers, not when its turn to be asked comes.
      host.callAgainAt = clock.now();
      courier.probe(host);
    }
    if (first || recalledBefore != host.recalled()) {
      listener.hostChanged(host);
    }
    if (!host.acknowledged) {
      courier.probe(host);
    }
  }

  private long recallAt(Report r) {
    return Double.isNaN(r.recallS())
        ? Long.MAX_VALUE
        : clock.now() + Math.round(Math.min(1e6, Math.max(0, r.recallS())) * 1000);
  }

  /** A task that no attempt accounts for: it is stopped and taken out of the reports. */
  private void stray(Host host, Report.Task t) {
    if (t.status() == Report.Status.EXITED) {
      courier.queue(host.id(), new Order.Clear(t.key(), t.attempt()));
    } else {
      host.strays++;
      LOG.warn("{} try {} on {} is unaccounted for", t.key(), t.attempt(), host.id());
      courier.queue(host.id(), new Order.Halt(t.key(), t.attempt(), 0));
    }
  }

  /** What machines answer to orders is worth as much as what they report by themselves. */
  private final class Answers implements Courier.Listener {
    @Override
    public void report(Host host, Report report) {
      apply(host, report, true);
    }

    @Override
    public void unanswered(Host host) {
      listener.hostChanged(host);
    }
  }

  @Override
  public void close() {
    counting.cancel();
    sharing.cancel();
    timer.cancel();
  }
}
