package dapplestair.workers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.json.Json;
import dapplestair.leadership.Baton;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.work.Report;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  private static final int MOST_ORDERS = 200;
  // Reports are up to a quarter late; two calls without an answer come on top.
  private static final double OVERDUE = 1.35;
  private static final double SILENT = 1.9;
  private static final int MOST_GONE_REMEMBERED = 4000;
  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final Settings settings;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Ledger ledger;
  private final Listener listener;
  private final long reportMs;
  private final long leaseMs;
  private final long callMs;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Set<String> goneHosts = new HashSet<>();
  private final ZoneWatch zones;
  private final Multiset<String> perZone = HashMultiset.create();
  private final Set<String> flushing = new HashSet<>();
  private Cancellable timer = () -> {};
  private Cancellable counting = () -> {};
  private final Peers peers;
  private final StateClient state;
  private boolean leading;
  private int beats;
  private int beatsBefore;
  private long leadingSince;
  private long tickDue;
  private long judgeAgainAt;

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
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.settings = settings;
    this.leadership = leadership;
    this.peers = peers;
    this.state = state;
    this.types = types;
    this.ledger = ledger;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.zones = new ZoneWatch(Math.round(OVERDUE * reportMs));
    this.callMs = Math.min(reportMs / 2, leaseMs / 16);
  }

  /** Begins to count what comes. */
  public void start() {
    countBeats();
  }

  // ---- machines ----

  /** All machines not proved to be gone. */
  public Collection<Host> hosts() {
    return hosts.values();
  }

  /** A machine by name, made known if it was not. */
  public Host host(String id) {
    return hosts.computeIfAbsent(id, i -> new Host(i, clock.now()));
  }

  /** A machine by name, or null. */
  public Host known(String id) {
    return hosts.get(id);
  }

  /** True when this machine was proved to be gone. */
  public boolean isGone(String id) {
    return goneHosts.contains(id);
  }

  /** The machine is proved to be gone, with everything on it. */
  public void gone(Host host) {
    if (host.gone()) {
      return;
    }
    host.setGone();
    if (goneHosts.size() >= MOST_GONE_REMEMBERED) {
      goneHosts.clear();
    }
    goneHosts.add(host.id());
    ledger.allAbsent(host);
    hosts.remove(host.id());
    listener.hostChanged(host);
  }

  /** True when it has reported lately enough to be worth giving work to. */
  public boolean fresh(Host host) {
    return clock.now() - host.heardAt < 2 * reportMs && host.failedCalls == 0;
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  public boolean zoneHeard(Host silent) {
    int machines = perZone.count(silent.zone());
    return zones.heardForMs(silent.zone(), clock.now(), machines) > 1.5 * reportMs;
  }

  /** How long nothing was heard of it. */
  public long silentMs(Host host) {
    return clock.now() - Math.max(host.heardAt, host.knownSince());
  }

  /** True when it was asked several times and has been silent for a while. */
  public boolean silent(Host host) {
    return host.expectedUp()
        && clock.now() - Math.max(host.heardAt, host.knownSince()) > SILENT * reportMs
        && host.failedCalls >= 2
        && clock.now() > judgeAgainAt;
  }

  // ---- leading ----

  /** Begins to command: every known machine is shown the new token at once. */
  public void lead() {
    leading = true;
    for (Host h : hosts.values()) {
      reach(h);
    }
    tickDue = clock.now();
    leadingSince = clock.now();
    judgeAgainAt = clock.now() + reportMs;
    tick();
  }

  /** Gives all up. */
  public void clear() {
    leading = false;
    timer.cancel();
    hosts.clear();
    goneHosts.clear();
    flushing.clear();
    zones.clear();
    perZone.clear();
  }

  /** Shows the token to a machine, and learns what is on it. */
  public void reach(Host host) {
    if (host.endpoint != null && !host.gone()) {
      send(host, true);
    }
  }

  private long token(Host host) {
    return Baton.of(leadership.term(), host.fence);
  }

  private void tick() {
    long now = clock.now();
    if (now - tickDue > reportMs / 6) {
      // This process itself was held up: answers wait unread, so silence proves nothing for now.
      judgeAgainAt = now + 2 * reportMs;
    }
    perZone.clear();
    for (Host h : hosts.values()) {
      if (h.up()) {
        perZone.add(h.zone());
      }
    }
    for (Host h : List.copyOf(hosts.values())) {
      h.setOutOfReach(silent(h));
      repeatHalts(h, now);
      // A machine that misses its report is asked at once.
      boolean overdue = h.up() && now - h.heardAt > OVERDUE * reportMs;
      boolean unknown = !h.acknowledged && h.endpoint != null;
      if (overdue || (unknown && h.expectedUp())) {
        send(h, true);
      } else if (!h.outbox.isEmpty()) {
        send(h, false);
      }
    }
    if (hearsNobody(now) && peers.othersHear()) {
      // Cut off from the workers alone: their leases would run out while this controller leads.
      leadership.resign("the workers are heard by others only");
      return;
    }
    tickDue = now + reportMs / 8;
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
    queue(a.host(), new Order.Launch(a.key(), a.number()));
  }

  /** Sends a stop. */
  public void halt(Attempt a, double windDownS) {
    a.haltSent(clock.now(), windDownS);
    queue(a.host(), new Order.Halt(a.key(), a.number(), windDownS));
  }

  /** Takes an exited attempt out of a machine's reports. */
  public void clear(String hostId, String key, long number) {
    queue(hostId, new Order.Clear(key, number));
  }

  private void queue(String hostId, Order order) {
    Host host = hosts.get(hostId);
    if (host == null || !leading) {
      return;
    }
    host.outbox.put(order.id(), order);
    // All orders of one turn go in one message.
    if (flushing.add(hostId)) {
      timers.after(
          0,
          () -> {
            flushing.remove(hostId);
            Host h = hosts.get(hostId);
            if (h != null) {
              send(h, false);
            }
          });
    }
  }

  private void send(Host host, boolean probe) {
    if (!leading
        || !leadership.leading()
        || host.calling
        || host.endpoint == null
        || clock.now() < host.callAgainAt
        || (host.outbox.isEmpty() && !probe)) {
      return;
    }
    List<Order> orders = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    take(host, orders, launches);
    if (orders.isEmpty() && !probe) {
      return;
    }
    long sentToken = token(host);
    ObjectNode body = Json.object().put("baton", sentToken).put("tenure", host.session);
    ArrayNode list = body.putArray("orders");
    orders.forEach(o -> list.add(o.toJson()));
    launches.forEach(Attempt::launchSent);
    host.calling = true;
    long term = leadership.term();
    http.call(
        host.endpoint,
        "POST",
        "/orders",
        Json.bytes(body),
        callMs,
        reply -> {
          if (leading && leadership.term() == term) {
            host.calling = false;
            answered(host, orders, launches, reply);
          }
        });
  }

  private void take(Host host, List<Order> orders, List<Attempt> launches) {
    Iterator<Order> it = host.outbox.values().iterator();
    while (it.hasNext() && orders.size() < MOST_ORDERS) {
      Order o = it.next();
      it.remove();
      if (o instanceof Order.Launch) {
        Attempt a = host.attempt(o.key());
        // Dropped meanwhile, or planned for a session that has ended.
        if (a == null
            || a.number() != o.attempt()
            || a.sent()
            || a.job().over()
            || a.session() != host.session) {
          continue;
        }
        launches.add(a);
      }
      orders.add(o);
    }
  }

  private void answered(Host host, List<Order> orders, List<Attempt> launches, HttpReply reply) {
    boolean executed = reply.status() == 200;
    if (executed || reply.status() == 409) {
      host.failedCalls = 0;
      launches.forEach(Attempt::launchAnswered);
      Report r = Report.parse(Json.parse(reply.body()));
      if (r != null && r.host().equals(host.id())) {
        apply(host, r);
      }
      if (!executed) {
        requeue(host, orders);
      }
      send(host, false);
      return;
    }
    host.failedCalls++;
    host.callAgainAt = clock.now() + Math.min(reportMs / 3, 100L << Math.min(4, host.failedCalls));
    if (reply.status() == HttpReply.NOT_SENT) {
      launches.forEach(Attempt::launchNotSent);
      orders.forEach(o -> host.outbox.putIfAbsent(o.id(), o));
    } else {
      // The launches may still be executed, at any later time, until the worker has seen a
      // higher token: raise it, and conclude nothing before it is shown.
      host.fence++;
      launches.forEach(a -> a.launchUnknown(token(host)));
      requeue(host, orders);
    }
    if (host.failedCalls == 2) {
      listener.hostChanged(host);
    }
  }

  /** Stops may be repeated; a launch never is, nor a clear whose launch may still be on its way. */
  private static void requeue(Host host, List<Order> orders) {
    for (Order o : orders) {
      if (o instanceof Order.Halt h) {
        host.outbox.putIfAbsent(h.id(), h);
      }
    }
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
    leadership.termShown(Baton.term(r.token()));
    beats++;
    if (!leading || !leadership.leading()) {
      redirect(exchange, r);
      return;
    }
    if (goneHosts.contains(r.host())) {
      exchange.reply(503, Json.bytes(Json.object()), 1);
      return;
    }
    Host host = host(r.host());
    ObjectNode answer = Json.object();
    apply(host, r);
    answer.put("baton", token(host));
    answer.putArray("orders");
    exchange.reply(200, Json.bytes(answer), 0);
  }

  /**
   * Shows the way to the leader. In a zone that is cut off, or while nobody can lead, there is none
   * to be reached, and the worker's tasks would end with its lease for nothing: then its own token
   * is good, which any controller may show as long as it knows of no higher term. Nobody takes the
   * end of a lease for a proof of absence, so this endangers no rule.
   */
  private void redirect(Exchange exchange, Report r) {
    String steward = leadership.leader();
    boolean known = steward != null && !steward.equals(settings.member());
    boolean alone = !state.reachable() && !(known && peers.alive(steward));
    if (alone && Baton.term(r.token()) >= leadership.termSeen()) {
      ObjectNode answer = Json.object().put("baton", r.token());
      answer.putArray("orders");
      exchange.reply(200, Json.bytes(answer), 0);
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
   * True when machines are there, and not one of them was heard for longer than any report takes.
   */
  private boolean hearsNobody(long now) {
    boolean any = false;
    for (Host h : hosts.values()) {
      if (now - h.heardAt < SILENT * reportMs) {
        return false;
      }
      any |= h.up();
    }
    return any && now > judgeAgainAt && now - leadingSince > 3 * reportMs;
  }

  private void apply(Host host, Report r) {
    leadership.termShown(Baton.term(r.token()));
    if (!leading || !leadership.leading()) {
      return;
    }
    boolean newer =
        r.session() > host.session || (r.session() == host.session && r.tick() > host.tick);
    if (!newer || host.gone()) {
      return;
    }
    boolean first = !host.up() || !host.acknowledged;
    host.session = r.session();
    host.tick = r.tick();
    host.tokenSeen = r.token();
    host.heardAt = clock.now();
    zones.heard(r.zone(), clock.now(), perZone.count(r.zone()));
    host.describe(r.endpoint(), types.get(r.type()), r.zone(), r.spot());
    if (!host.acknowledged && r.token() >= Baton.of(leadership.term(), 0)) {
      host.acknowledged = true;
    }
    boolean recalledBefore = host.recalled();
    host.recallAt =
        Double.isNaN(r.recallS())
            ? Long.MAX_VALUE
            : clock.now() + Math.round(Math.min(1e6, Math.max(0, r.recallS())) * 1000);
    List<Report.Task> strays = ledger.report(host, r);
    host.strays = 0;
    if (host.acknowledged) {
      strays.forEach(t -> stray(host, t));
    }
    if (first || recalledBefore != host.recalled()) {
      listener.hostChanged(host);
    }
    if (!host.acknowledged) {
      send(host, true);
    }
  }

  /** A task that no attempt accounts for: it is stopped and taken out of the reports. */
  private void stray(Host host, Report.Task t) {
    if (t.status() == Report.Status.EXITED) {
      queue(host.id(), new Order.Clear(t.key(), t.attempt()));
    } else {
      host.strays++;
      LOG.warn("{} try {} on {} is unaccounted for", t.key(), t.attempt(), host.id());
      queue(host.id(), new Order.Halt(t.key(), t.attempt(), 0));
    }
  }

  @Override
  public void close() {
    counting.cancel();
    timer.cancel();
  }
}
