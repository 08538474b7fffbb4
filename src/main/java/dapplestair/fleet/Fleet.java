package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.events.Events;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.Keys;
import dapplestair.state.Outcome;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents and returns machines, and learns from the cloud which exist. Acts only for a leader. */
public final class Fleet implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  /** Where a slot's machines can be had. */
  private record Place(Slot slot, String zone) {}

  private static final class Rental {
    final String name;
    final Place place;
    final int count;
    final long wall;
    List<String> hosts;
    long stamp;
    boolean writing;
    boolean asking;
    boolean refused;
    long writtenAt = Long.MIN_VALUE / 2;

    Rental(String name, Place place, int count, long wall) {
      this.name = name;
      this.place = place;
      this.count = count;
      this.wall = wall;
    }
  }

  /** The shortest time a machine is charged for, from the cloud's description. */
  private static final long CHARGED_MS = 60_000;

  private static final int MOST_PER_RENTAL = 50;
  private static final int MOST_PER_RELEASE = 100;

  // Usual boots take up to 1.5 times the stated time, and a bad day nearly doubles that.
  private static final double BOOT_OVERDUE = 3.0;

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final MachineTypes types;
  private final WorkerDesk desk;
  private final CloudClient cloud;
  private final Map<String, Rental> rentals = new LinkedHashMap<>();
  private final Map<Place, Long> refusedUntil = new HashMap<>();
  private final Map<Place, Integer> granted = new HashMap<>();
  private final Set<String> toRelease = new HashSet<>();
  private final Market market;
  private boolean releasing;
  private boolean leading;
  private long leadingSince;
  private long counter;
  private long typesStamp;
  private long listedAt = Long.MIN_VALUE / 2;
  private boolean listing;
  private long typesAt = Long.MIN_VALUE / 2;
  private boolean typing;
  private Cancellable timer = () -> {};
  private Predicate<String> zoneClosed = z -> false;
  private final Events events;

  /** A fleet without machines. */
  public Fleet(
      Clock clock,
      Timers timers,
      HttpCaller http,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      WorkerDesk desk,
      Events events) {
    this.events = events;
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.desk = desk;
    this.market = new Market(clock);
    this.cloud = new CloudClient(clock, timers, http, settings);
  }

  /** Zones in which nothing is to be rented, since operators have them emptied. */
  public void closeZones(Predicate<String> closed) {
    zoneClosed = closed;
  }

  // ---- what the replica says ----

  /** The recorded types have this value. */
  public void typesKey(JsonNode value, long stamp) {
    typesStamp = stamp;
    if (value != null && !types.known()) {
      types.read(value);
    }
  }

  /** A rental's record has this value. */
  public void rentalPut(String name, JsonNode value, long stamp) {
    Rental r = rentals.get(name);
    if (r == null) {
      Place place =
          new Place(
              new Slot(value.path("hull").asText(), Json.flag(value, "loaners")),
              value.path("basin").asText());
      r =
          new Rental(
              name, place, value.path("howMany").asInt(), Json.number(value, "at", clock.wall()));
      rentals.put(name, r);
    }
    r.stamp = stamp;
    if (value.has("hosts")) {
      List<String> hosts = new ArrayList<>();
      value.get("hosts").forEach(h -> hosts.add(h.asText()));
      r.hosts = hosts;
    }
  }

  /** A rental's record is gone. */
  public void rentalRemoved(String name) {
    if (!leading) {
      rentals.remove(name);
    }
  }

  // ---- leading ----

  /** Takes over the machines that earlier terms rented. */
  public void lead() {
    leading = true;
    counter = 0;
    long now = clock.now();
    leadingSince = now;
    for (Rental r : List.copyOf(rentals.values())) {
      if (r.hosts == null) {
        // An earlier leader asked, and the answer is not recorded: asking again rents nothing new.
        ask(r);
      } else {
        adopt(r);
      }
    }
    tick();
  }

  /** Forgets all but prices: the replica tells it again. */
  public void clear() {
    leading = false;
    timer.cancel();
    cloud.clear();
    rentals.clear();
    toRelease.clear();
    releasing = false;
    listing = false;
    typing = false;
    listedAt = Long.MIN_VALUE / 2;
    typesAt = Long.MIN_VALUE / 2;
  }

  private void tick() {
    long now = clock.now();
    boolean typesDue = now - typesAt > (types.known() ? 5 * settings.workers().reportMs() : 500);
    if (typesDue && !typing) {
      askTypes();
    }
    if (!listing && now - listedAt > Math.max(settings.cloud().listLagMs() / 2, 1000)) {
      listing = true;
      list(null, now, new HashSet<>());
    }
    for (Host h : List.copyOf(desk.hosts())) {
      inspect(h, now);
    }
    sendReleases();
    forgetRentals();
    timer = timers.after(settings.workers().reportMs() / 8, this::tick);
  }

  private void askTypes() {
    typing = true;
    cloud.types(
        reply -> {
          typing = false;
          typesAt = clock.now();
          if (!leading || !reply.ok()) {
            return;
          }
          boolean knewNone = !types.known() || typesStamp == 0;
          if (types.read(Json.parse(reply.body()))) {
            market.notePrices(types.all());
            if (knewNone) {
              recordTypes();
            }
          }
        });
  }

  private void recordTypes() {
    Txn txn =
        leadership.guard(new Txn()).when(Keys.TYPES, typesStamp).put(Keys.TYPES, types.toJson());
    state.commit(txn, Priority.LAUNCH, settings.workers().reportMs(), this::guarded);
  }

  private void guarded(Outcome outcome) {
    if (outcome instanceof Outcome.Conflict c && c.failed().contains(Keys.LEADER) && leading) {
      leadership.guardFailed();
    }
  }

  /** What the cloud's machines cost and how often it takes them. */
  public Market market() {
    return market;
  }

  // ---- the list ----

  private void list(String from, long askedAt, Set<String> seen) {
    cloud.list(
        from,
        reply -> {
          JsonNode body = Json.parse(reply.body());
          if (!leading || !reply.ok() || !body.path("hosts").isArray()) {
            listing = false;
            listedAt = clock.now();
            return;
          }
          String last = from;
          for (JsonNode n : body.get("hosts")) {
            last = n.path("ref").asText();
            seen.add(last);
            listed(last, n);
          }
          if (Json.flag(body, "more") && last != null) {
            list(last, askedAt, seen);
            return;
          }
          listing = false;
          listedAt = clock.now();
          missing(askedAt, seen);
        });
  }

  private void listed(String id, JsonNode n) {
    if (desk.isGone(id)) {
      return;
    }
    long now = clock.now();
    Host h = desk.host(id);
    boolean addressed = h.addressed();
    h.describe(
        Json.text(n, "endpoint"),
        types.get(n.path("hull").asText()),
        n.path("basin").asText(),
        Json.flag(n, "loaners"));
    h.setRentedAt(now - Math.round(1000 * Json.decimal(n, "ageS", 0)));
    h.listed(now);
    String status = n.path("status").asText();
    if (status.equals("failed")) {
      LOG.info("{} has failed", id);
      lost(h, "failed");
      desk.gone(h);
      toRelease.add(id);
    } else if (status.equals("running")) {
      h.saidUp();
      if (!addressed) {
        desk.reach(h);
      }
    }
  }

  /**
   * Machines that the list lacks. A list may be older than the one before it, so a machine counts
   * as gone only once it has been listed for longer than any list can lag.
   */
  private void missing(long askedAt, Set<String> seen) {
    long longestLag = longestLag();
    for (Host h : List.copyOf(desk.hosts())) {
      if (!seen.contains(h.id())
          && h.firstListedAt() != Long.MAX_VALUE
          && askedAt - h.firstListedAt() > longestLag) {
        LOG.info("{} was taken", h.id());
        lost(h, "taken by the cloud");
        market.noteTaken(h);
        desk.gone(h);
      }
    }
  }

  // ---- looking after machines ----

  private void inspect(Host h, long now) {
    if (h.releasing()) {
      return;
    }
    if (unstoppable(h, now)) {
      LOG.info("{} still holds withdrawn work: returning it", h.id());
      forceRelease(h);
    } else if (mayJudge()) {
      judge(h, now);
    }
  }

  /**
   * A leader behind a cut sees all others as silent, and what it asks of the cloud may be done when
   * the cut ends and another one leads. So it returns nothing that it need not, while the state
   * service does not tell it that it leads.
   */
  private boolean mayJudge() {
    return state.unreachableMs() == 0;
  }

  private void judge(Host h, long now) {
    if (h.outOfReach() && givenUp(h)) {
      LOG.info("{} is silent: returning it", h.id());
      lost(h, "silent");
      market.noteTaken(h);
      forceRelease(h);
    } else if (!h.expectedUp() && bootOverdue(h, now)) {
      LOG.info("{} does not come up: returning it", h.id());
      lost(h, "does not come up");
      forceRelease(h);
    } else if (neverListed(h, now)) {
      LOG.info("{} is recorded but not listed: returning it", h.id());
      forceRelease(h);
    } else if ((h.draining() || h.recalled()) && h.idle() && h.attempts().isEmpty()) {
      market.noteTaken(h);
      forceRelease(h);
    }
  }

  /**
   * A silent machine is given up only while its zone is heard: if a whole zone is silent, it is
   * rather the way there that is cut, and its tasks run on. Such a zone is waited for until its
   * leases have run out, and longer where a controller may be keeping them.
   */
  private boolean givenUp(Host silent) {
    if (desk.zoneHeard(silent)) {
      return true;
    }
    boolean zoneKnown = false;
    boolean anyFresh = false;
    for (Host h : desk.hosts()) {
      anyFresh |= desk.fresh(h);
      zoneKnown |= h != silent && h.expectedUp() && Objects.equals(h.zone(), silent.zone());
    }
    long patience = settings.workers().leaseMs() * (controllerIn(silent.zone()) ? 3 : 1);
    return anyFresh && (!zoneKnown || desk.silentMs(silent) > patience * 21 / 20);
  }

  private boolean controllerIn(String zone) {
    return settings.peers().stream().anyMatch(p -> p.zone().equals(zone));
  }

  /**
   * Only for machines that no list calls running. To a leader that has just begun, every machine is
   * one that it has not heard yet: those that run must not be taken for late ones.
   */
  private boolean bootOverdue(Host h, long now) {
    if (h.firstListedAt() == Long.MAX_VALUE || now - leadingSince < longestLag()) {
      return false;
    }
    double boot =
        h.type() != null
            ? h.type().bootS()
            : types.all().stream().mapToDouble(MachineType::bootS).max().orElse(60);
    return now - h.rentedAt() > BOOT_OVERDUE * boot * 1000;
  }

  /**
   * Recorded by an earlier leader, in a rental or as the place of an attempt, and gone before any
   * list of this one could hold it. Its release is the proof that its attempts need.
   */
  private boolean neverListed(Host h, long now) {
    return !h.up()
        && h.firstListedAt() == Long.MAX_VALUE
        && listedAt - h.knownSince() > longestLag()
        && now - Math.min(h.rentedAt(), h.knownSince()) > longestLag();
  }

  /** Lists lag by up to twice the stated time; a margin is added. */
  private long longestLag() {
    return Math.round(2.2 * settings.cloud().listLagMs()) + 1000;
  }

  /** Withdrawn work must be gone in time, reachable or not: a release is always a proof. */
  private boolean unstoppable(Host h, long now) {
    // Behind a cut it may yet be proved otherwise, and a release would end all else there: half of
    // the time is left for the cloud's own troubles.
    long patience = settings.workers().cancelMs() / (h.outOfReach() ? 2 : 4);
    for (Attempt a : h.attempts()) {
      if (a.job().over() && a.halting() && !a.exited() && now - a.haltAt() > patience) {
        return true;
      }
    }
    return false;
  }

  private void forceRelease(Host h) {
    h.setReleasing(true);
    toRelease.add(h.id());
  }

  /** Returns an idle machine; false when something holds room on it. */
  public boolean release(Host h) {
    if (!h.idle() || h.releasing() || !mayJudge()) {
      return false;
    }
    forceRelease(h);
    return true;
  }

  private void sendReleases() {
    if (releasing || toRelease.isEmpty()) {
      return;
    }
    List<String> batch = toRelease.stream().limit(MOST_PER_RELEASE).toList();
    releasing = true;
    cloud.release(
        batch,
        reply -> {
          releasing = false;
          if (!leading || reply.status() != 200) {
            return;
          }
          for (String id : batch) {
            toRelease.remove(id);
            Host h = desk.known(id);
            if (h != null) {
              LOG.debug("{} is returned", id);
              events.note(Events.Kind.RETURNED, o -> o.put("machine", id).put("zone", h.zone()));
              desk.gone(h);
            }
          }
        });
  }

  // ---- renting ----

  /** Machines of a slot that are or will be of use. */
  public int holding(Slot slot) {
    int n = 0;
    for (Host h : desk.hosts()) {
      if (counts(h, slot)) {
        n++;
      }
    }
    return n + pending(slot);
  }

  private int pending(Slot slot) {
    int n = 0;
    for (Rental r : rentals.values()) {
      if (r.place.slot.equals(slot) && r.hosts == null && !r.refused) {
        n += r.count;
      }
    }
    return n;
  }

  /** True when a machine is, or will be, of use in this slot. */
  public static boolean counts(Host h, Slot slot) {
    return !h.gone()
        && !h.releasing()
        && !h.draining()
        && !h.drained()
        && !h.recalled()
        && !h.outOfReach()
        && h.type() != null
        && h.type().name().equals(slot.type())
        && h.spot() == slot.spot();
  }

  /** Machines of a slot in each zone. */
  private int holding(Place place) {
    int n = 0;
    for (Host h : desk.hosts()) {
      if (counts(h, place.slot) && place.zone.equals(h.zone())) {
        n++;
      }
    }
    for (Rental r : rentals.values()) {
      if (r.place.equals(place) && r.hosts == null && !r.refused) {
        n += r.count;
      }
    }
    return n;
  }

  /** True while the cloud has lately refused this slot everywhere. */
  public boolean exhausted(Slot slot) {
    MachineType t = types.get(slot.type());
    return t == null || t.zones().stream().noneMatch(z -> open(new Place(slot, z)));
  }

  private boolean open(Place place) {
    return refusedUntil.getOrDefault(place, Long.MIN_VALUE) <= clock.now();
  }

  /** Rents up to {@code count} more, spread over the zones that still have some. */
  public void rent(Slot slot, int count) {
    MachineType t = types.get(slot.type());
    if (t == null || !leading) {
      return;
    }
    Map<Place, Integer> share = new LinkedHashMap<>();
    Map<Place, Integer> have = new HashMap<>();
    for (String z : t.zones()) {
      Place p = new Place(slot, z);
      if (open(p) && !zoneClosed.test(z)) {
        share.put(p, 0);
        have.put(p, holding(p));
      }
    }
    for (int i = 0; i < count && !share.isEmpty(); i++) {
      Place least =
          share.keySet().stream()
              .min(Comparator.comparingInt(p -> have.get(p) + share.get(p)))
              .orElseThrow();
      share.merge(least, 1, Integer::sum);
    }
    share.forEach(
        (place, n) -> {
          for (int left = n; left > 0; left -= MOST_PER_RENTAL) {
            begin(place, Math.min(left, MOST_PER_RENTAL));
          }
        });
  }

  private void begin(Place place, int count) {
    // Names hold the term, so that no other controller ever uses the same one.
    String name = "r-" + leadership.term() + "-" + ++counter;
    Rental r = new Rental(name, place, count, clock.wall());
    rentals.put(name, r);
    write(r, true);
  }

  private ObjectNode toJson(Rental r) {
    ObjectNode o =
        Json.object()
            .put("hull", r.place.slot.type())
            .put("basin", r.place.zone)
            .put("loaners", r.place.slot.spot())
            .put("howMany", r.count)
            .put("at", r.wall);
    if (r.hosts != null) {
      ArrayNode hosts = o.putArray("hosts");
      r.hosts.forEach(hosts::add);
    }
    return o;
  }

  private void write(Rental r, boolean thenAsk) {
    r.writing = true;
    r.writtenAt = clock.now();
    String key = Keys.rental(r.name);
    Txn txn = leadership.guard(new Txn()).when(key, r.stamp).put(key, toJson(r));
    long term = leadership.term();
    state.commit(
        txn,
        Priority.FLEET,
        settings.workers().reportMs(),
        outcome -> {
          r.writing = false;
          if (!leading || leadership.term() != term) {
            return;
          }
          guarded(outcome);
          if (outcome instanceof Outcome.Applied a) {
            r.stamp = a.stamp();
            if (thenAsk) {
              ask(r);
            }
          } else if (thenAsk) {
            // Nothing was asked of the cloud: the plan will ask again under another name.
            rentals.remove(r.name);
            if (outcome instanceof Outcome.Unknown) {
              r.refused = true;
              rentals.put(r.name, r);
              readBack(r);
            }
          } else {
            readBack(r);
          }
        });
  }

  private void readBack(Rental r) {
    r.writing = true;
    long term = leadership.term();
    state.get(
        Keys.rental(r.name),
        read -> {
          if (!leading || leadership.term() != term) {
            return;
          }
          if (!read.known()) {
            timers.after(settings.workers().reportMs() / 6, () -> readBack(r));
            return;
          }
          r.writing = false;
          r.stamp = read.stamp();
          if (!r.refused && r.hosts != null) {
            write(r, false);
          }
        });
  }

  private void ask(Rental r) {
    if (r.asking || !leading) {
      return;
    }
    r.asking = true;
    cloud.rent(
        r.name,
        r.place.slot,
        r.place.zone,
        r.count,
        reply -> {
          r.asking = false;
          if (!leading || rentals.get(r.name) != r) {
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (reply.status() == 200 && body.path("hosts").isArray()) {
            rented(r, body);
          } else if (CloudClient.noCapacity(reply) || reply.status() == 400) {
            refused(r);
          } else {
            // No answer: it may have rented. The same name again tells, and rents nothing twice.
            timers.after(settings.workers().reportMs() / 4, () -> ask(r));
          }
        });
  }

  private void rented(Rental r, JsonNode body) {
    r.hosts = new ArrayList<>();
    body.get("hosts").forEach(h -> r.hosts.add(h.asText()));
    LOG.info(
        "rented {} of {} {} {} in {}",
        r.hosts.size(),
        r.count,
        r.place.slot.type(),
        r.place.slot.spot() ? "spot" : "steady",
        r.place.zone);
    events.note(
        Events.Kind.RENTED,
        o -> {
          describe(o, r.place);
          o.put("count", r.hosts.size()).put("asked", r.count).put("rental", r.name);
        });
    if (r.hosts.size() < r.count) {
      refuse(r.place);
    }
    adopt(r);
    if (!r.writing) {
      write(r, false);
    }
  }

  private void adopt(Rental r) {
    for (String id : r.hosts) {
      if (!desk.isGone(id)) {
        Host h = desk.host(id);
        h.describe(null, types.get(r.place.slot.type()), r.place.zone, r.place.slot.spot());
        h.setRentedAt(clock.now() - Math.max(0, clock.wall() - r.wall));
      }
    }
  }

  private void refused(Rental r) {
    refuse(r.place);
    r.refused = true;
  }

  private static void describe(ObjectNode o, Place p) {
    o.put("type", p.slot.type()).put("spot", p.slot.spot()).put("zone", p.zone);
  }

  private void lost(Host h, String why) {
    events.note(
        Events.Kind.MACHINE_LOST,
        o -> o.put("machine", h.id()).put("zone", h.zone()).put("reason", why));
  }

  private void refuse(Place place) {
    LOG.info("no more {} in {}", place.slot, place.zone);
    events.note(Events.Kind.REFUSED, o -> describe(o, place));
    refusedUntil.put(place, clock.now() + 5 * settings.workers().reportMs());
    granted.put(place, holding(place));
  }

  private void forgetRentals() {
    for (Rental r : List.copyOf(rentals.values())) {
      boolean over =
          r.refused || (r.hosts != null && r.hosts.stream().allMatch(h -> desk.known(h) == null));
      if (r.writing || r.asking) {
        continue;
      }
      if (!over) {
        // Kept exact, so that a new leader does not count on machines that are gone.
        // Seldom enough that a wave of losses does not use up the puts that launches need.
        if (r.hosts != null
            && clock.now() - r.writtenAt > settings.workers().leaseMs()
            && r.hosts.removeIf(h -> desk.known(h) == null)) {
          write(r, false);
        }
        continue;
      }
      if (r.stamp == 0) {
        rentals.remove(r.name);
        continue;
      }
      r.writing = true;
      String key = Keys.rental(r.name);
      Txn txn = leadership.guard(new Txn()).when(key, r.stamp).remove(key);
      long term = leadership.term();
      state.commit(
          txn,
          Priority.BOOKKEEPING,
          settings.workers().leaseMs(),
          outcome -> {
            if (!leading || leadership.term() != term) {
              return;
            }
            r.writing = false;
            guarded(outcome);
            if (outcome instanceof Outcome.Applied) {
              rentals.remove(r.name);
            } else if (!(outcome instanceof Outcome.Refused)) {
              readBack(r);
            }
          });
    }
  }

  /**
   * What the fleet holds in store for a job that waits.
   *
   * @param booting machines that suit it and are not up yet
   * @param nextS seconds until the first of them is due, or -1
   * @param refusals where the cloud refused machines that would suit it
   */
  public record Prospects(int booting, double nextS, List<Refusal> refusals) {}

  /** The cloud had none; it is asked again after so many seconds. */
  public record Refusal(String type, String zone, boolean spot, double againS) {}

  /** What is on its way for a job, and what the cloud refused. */
  public Prospects prospects(Submission s) {
    long now = clock.now();
    int booting = 0;
    double next = -1;
    for (Host h : desk.hosts()) {
      if (!h.up() && !h.gone() && !h.releasing() && !h.drained() && h.allowed(s)) {
        booting++;
        double due = Math.max(0, h.type().bootS() - Math.max(0, now - h.rentedAt()) / 1000.0);
        next = next < 0 ? due : Math.min(next, due);
      }
    }
    for (Rental r : rentals.values()) {
      if (r.hosts == null && !r.refused && suits(s, r.place)) {
        booting += r.count;
        double due = types.get(r.place.slot.type()).bootS();
        next = next < 0 ? due : Math.min(next, due);
      }
    }
    List<Refusal> refusals = new ArrayList<>();
    refusedUntil.forEach(
        (p, until) -> {
          if (until > now && suits(s, p)) {
            refusals.add(new Refusal(p.slot.type(), p.zone, p.slot.spot(), (until - now) / 1000.0));
          }
        });
    return new Prospects(booting, next, refusals);
  }

  private boolean suits(Submission s, Place p) {
    MachineType t = types.get(p.slot.type());
    return t != null
        && t.suits(s)
        && (s.spot() || !p.slot.spot())
        && (s.zone() == null || s.zone().equals(p.zone));
  }

  /** Most machines of a slot that the cloud has shown to give, or {@code otherwise}. */
  public int capacity(Slot slot, int otherwise) {
    MachineType t = types.get(slot.type());
    if (t == null) {
      return 0;
    }
    int sum = 0;
    for (String z : t.zones()) {
      Place p = new Place(slot, z);
      if (zoneClosed.test(z)) {
        continue;
      }
      sum += open(p) ? holding(p) + otherwise : granted.getOrDefault(p, 0);
    }
    return sum;
  }

  /** Keeps new work from so many steady machines of a slot, those that empty soonest. */
  public void cordon(Slot slot, int count) {
    if (slot.spot()) {
      return;
    }
    List<Host> up = new ArrayList<>();
    for (Host h : desk.hosts()) {
      if (counts(h, slot) && h.up()) {
        up.add(h);
      }
    }
    up.sort(
        Comparator.comparingDouble(Host::serviceCpus)
            .thenComparing(h -> !h.cordoned())
            .thenComparingDouble(Host::cpusUsed)
            .thenComparing(Host::id));
    for (int i = 0; i < up.size(); i++) {
      Host h = up.get(i);
      h.setCordoned(i < count && h.serviceCpus() == 0);
    }
  }

  /** Idle machines of a slot that may be returned now, those idle longest first. */
  public List<Host> returnable(Slot slot) {
    long now = clock.now();
    List<Host> out = new ArrayList<>();
    for (Host h : desk.hosts()) {
      if (counts(h, slot) && h.up() && h.idle() && now - h.rentedAt() >= CHARGED_MS) {
        out.add(h);
      }
    }
    out.sort(Comparator.comparingLong(Host::idleSince));
    return out;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
