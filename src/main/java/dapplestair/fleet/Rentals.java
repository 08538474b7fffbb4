package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.events.Events;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.Keys;
import dapplestair.state.Outcome;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.Txn;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerDesk;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rentals from their record to the last of their machines. Each is recorded before the cloud is
 * asked, under a name used once, so that an unknown outcome is settled by asking again.
 */
final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final MachineTypes types;
  private final WorkerDesk desk;
  private final CloudClient cloud;
  private final Events events;
  private final Predicate<Place> open;
  private final Consumer<Place> refused;
  private final Map<String, Rental> rentals = new LinkedHashMap<>();
  private boolean leading;
  private long counter;

  /**
   * {@code open} tells where the cloud may have more; {@code refused} is told where it had none, or
   * too few.
   */
  Rentals(
      Clock clock,
      Timers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      WorkerDesk desk,
      CloudClient cloud,
      Events events,
      Predicate<Place> open,
      Consumer<Place> refused) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.desk = desk;
    this.cloud = cloud;
    this.events = events;
    this.open = open;
    this.refused = refused;
  }

  void recorded(String name, JsonNode value, long stamp) {
    if (leading) {
      recordedLate(name, value, stamp);
      return;
    }
    Rental r = rentals.computeIfAbsent(name, n -> Rental.read(n, value, clock.wall()));
    r.stamp = stamp;
    r.readHosts(value);
  }

  /**
   * A leader asks the cloud only once it knows that the record was made. One that it does not know
   * of any more got no answer, was given up, and was carried out late. It is taken away: the next
   * leader would ask the cloud for all such machines at once.
   */
  private void recordedLate(String name, JsonNode value, long stamp) {
    if (value.path("hosts").isArray()) {
      return;
    }
    Rental known = rentals.get(name);
    if (known == null) {
      Rental r = Rental.read(name, value, clock.wall());
      r.refused = true;
      r.stamp = stamp;
      rentals.put(name, r);
    } else if (known.refused) {
      // Another copy of the transaction, carried out while the record of the first is taken away.
      known.stamp = Math.max(known.stamp, stamp);
    }
  }

  void removed(String name) {
    if (!leading) {
      rentals.remove(name);
    }
  }

  /** Takes over what earlier terms rented. */
  void lead() {
    leading = true;
    counter = 0;
    for (Rental r : List.copyOf(rentals.values())) {
      if (r.hosts == null) {
        // An earlier leader asked, and the answer is not recorded: asking again rents nothing new.
        r.asked = true;
        ask(r);
      } else {
        adopt(r);
      }
    }
  }

  void clear() {
    leading = false;
    rentals.clear();
  }

  Collection<Rental> all() {
    return rentals.values();
  }

  /** Machines of a slot that are asked for. */
  int pending(Slot slot) {
    int n = 0;
    for (Rental r : rentals.values()) {
      if (r.pending() && r.place.slot().equals(slot)) {
        n += r.count;
      }
    }
    return n;
  }

  /** Machines of a slot that are asked for in one zone. */
  int pending(Place place) {
    int n = 0;
    for (Rental r : rentals.values()) {
      if (r.pending() && r.place.equals(place)) {
        n += r.count;
      }
    }
    return n;
  }

  /** Asks the cloud for machines, once that is on record. */
  void begin(Place place, int count) {
    // Names hold the term, so that no other controller ever uses the same one.
    String name = "r-" + leadership.term() + "-" + ++counter;
    Rental r = new Rental(name, place, count, clock.wall());
    rentals.put(name, r);
    write(r, true);
  }

  private void write(Rental r, boolean thenAsk) {
    r.writing = true;
    r.writtenAt = clock.now();
    String key = Keys.rental(r.name);
    Txn txn = leadership.guard(new Txn()).when(key, r.stamp).put(key, r.toJson());
    long term = leadership.term();
    state.commit(
        txn,
        Priority.FLEET,
        settings.workers().reportMs(),
        outcome -> {
          r.writing = false;
          if (!leads(term)) {
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

  private boolean leads(long term) {
    return leading && leadership.term() == term;
  }

  private void guarded(Outcome outcome) {
    if (leading) {
      leadership.deposedBy(outcome);
    }
  }

  private void readBack(Rental r) {
    r.writing = true;
    long term = leadership.term();
    state.get(
        Keys.rental(r.name),
        read -> {
          if (!leads(term)) {
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
        r.place.slot().type(),
        r.place.slot().spot(),
        r.place.zone(),
        r.count,
        () -> wanted(r),
        reply -> {
          r.asking = false;
          if (!leading || rentals.get(r.name) != r) {
            return;
          }
          if (reply == null) {
            r.refused = true;
            refused.accept(r.place);
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (reply.status() == 200 && body.path("hosts").isArray()) {
            rented(r, body);
          } else if (CloudClient.noCapacity(reply) || reply.status() == 400) {
            // First, or it would itself count as held where the cloud has no more.
            r.refused = true;
            refused.accept(r.place);
          } else {
            // No answer: it may have rented. The same name again tells, and rents nothing twice.
            timers.after(settings.workers().reportMs() / 4, () -> ask(r));
          }
        });
  }

  /**
   * What the cloud has just refused to one rental it need not refuse to the next. Not so when it
   * may have been asked before: then only its answer tells what was rented.
   */
  private boolean wanted(Rental r) {
    boolean ask = r.asked || open.test(r.place);
    r.asked |= ask;
    return ask;
  }

  private void rented(Rental r, JsonNode body) {
    r.readHosts(body);
    LOG.info(
        "rented {} of {} {} {} in {}",
        r.hosts.size(),
        r.count,
        r.place.slot().type(),
        r.place.slot().spot() ? "spot" : "steady",
        r.place.zone());
    events.note(
        Events.Kind.RENTED,
        o -> {
          r.place.describe(o);
          o.put("count", r.hosts.size()).put("asked", r.count).put("rental", r.name);
        });
    adopt(r);
    if (r.hosts.size() < r.count) {
      refused.accept(r.place);
    }
    if (!r.writing) {
      write(r, false);
    }
  }

  private void adopt(Rental r) {
    for (String id : r.hosts) {
      if (!desk.isGone(id)) {
        Host h = desk.host(id);
        h.describe(null, types.get(r.place.slot().type()), r.place.zone(), r.place.slot().spot());
        h.setRentedAt(clock.now() - Math.max(0, clock.wall() - r.wall));
      }
    }
  }

  /** Removes the records of rentals whose machines are all gone. */
  void forget() {
    for (Rental r : List.copyOf(rentals.values())) {
      if (r.writing || r.asking) {
        continue;
      }
      boolean over =
          r.refused || (r.hosts != null && r.hosts.stream().allMatch(h -> desk.known(h) == null));
      if (!over) {
        shorten(r);
      } else if (r.stamp == 0) {
        rentals.remove(r.name);
      } else {
        remove(r);
      }
    }
  }

  /**
   * Kept exact, so that a new leader does not count on machines that are gone; seldom enough that a
   * wave of losses does not use up the puts that launches need.
   */
  private void shorten(Rental r) {
    if (r.hosts != null
        && clock.now() - r.writtenAt > settings.workers().leaseMs()
        && r.hosts.removeIf(h -> desk.known(h) == null)) {
      write(r, false);
    }
  }

  private void remove(Rental r) {
    r.writing = true;
    String key = Keys.rental(r.name);
    long removed = r.stamp;
    Txn txn = leadership.guard(new Txn()).when(key, removed).remove(key);
    long term = leadership.term();
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        settings.workers().leaseMs(),
        outcome -> {
          if (!leads(term)) {
            return;
          }
          r.writing = false;
          guarded(outcome);
          if (outcome instanceof Outcome.Applied) {
            if (r.stamp == removed) {
              rentals.remove(r.name);
            }
          } else if (!(outcome instanceof Outcome.Refused)) {
            readBack(r);
          }
        });
  }
}
