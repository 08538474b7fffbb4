package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.events.Events;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
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
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final CloudClient cloud;
  private final Events events;
  private final Predicate<CapacityPool> open;
  private final Consumer<CapacityPool> refused;
  private final Map<String, Rental> rentals = new LinkedHashMap<>();
  private boolean leading;
  private long counter;

  /**
   * {@code open} tells where the cloud may have more; {@code refused} is told where it had none, or
   * too few.
   */
  Rentals(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      WorkerManager workers,
      CloudClient cloud,
      Events events,
      Predicate<CapacityPool> open,
      Consumer<CapacityPool> refused) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.workers = workers;
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
    Rental rental = rentals.computeIfAbsent(name, n -> Rental.read(n, value, clock.wall()));
    rental.stamp = stamp;
    rental.readHosts(value);
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
      Rental rental = Rental.read(name, value, clock.wall());
      rental.refused = true;
      rental.stamp = stamp;
      rentals.put(name, rental);
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
    for (Rental rental : List.copyOf(rentals.values())) {
      if (rental.hosts == null) {
        // An earlier leader asked, and the answer is not recorded: asking again rents nothing new.
        rental.asked = true;
        ask(rental);
      } else {
        adopt(rental);
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
  int pending(MachineKind kind) {
    int count = 0;
    for (Rental rental : rentals.values()) {
      if (rental.pending() && rental.pool.kind().equals(kind)) {
        count += rental.count;
      }
    }
    return count;
  }

  /** Machines of a slot that are asked for in one zone. */
  int pending(CapacityPool pool) {
    int count = 0;
    for (Rental rental : rentals.values()) {
      if (rental.pending() && rental.pool.equals(pool)) {
        count += rental.count;
      }
    }
    return count;
  }

  /** Asks the cloud for machines, once that is on record. */
  void begin(CapacityPool pool, int count) {
    // Names hold the term, so that no other controller ever uses the same one.
    String name = "r-" + leadership.term() + "-" + ++counter;
    Rental rental = new Rental(name, pool, count, clock.wall());
    rentals.put(name, rental);
    write(rental, true);
  }

  private void write(Rental rental, boolean thenAsk) {
    rental.writing = true;
    rental.writtenAt = clock.now();
    String key = StateKeys.rental(rental.name);
    Txn txn = leadership.guard(new Txn()).when(key, rental.stamp).put(key, rental.toJson());
    long term = leadership.term();
    state.commit(
        txn,
        Priority.FLEET,
        settings.workers().reportMs(),
        outcome -> {
          rental.writing = false;
          if (!leads(term)) {
            return;
          }
          guarded(outcome);
          if (outcome instanceof TxnOutcome.Applied applied) {
            rental.stamp = applied.stamp();
            if (thenAsk) {
              ask(rental);
            }
          } else if (thenAsk) {
            // Nothing was asked of the cloud: the plan will ask again under another name.
            rentals.remove(rental.name);
            if (outcome instanceof TxnOutcome.Unknown) {
              rental.refused = true;
              rentals.put(rental.name, rental);
              readBack(rental);
            }
          } else {
            readBack(rental);
          }
        });
  }

  private boolean leads(long term) {
    return leading && leadership.term() == term;
  }

  private void guarded(TxnOutcome outcome) {
    if (leading) {
      leadership.deposedBy(outcome);
    }
  }

  private void readBack(Rental rental) {
    rental.writing = true;
    long term = leadership.term();
    state.get(
        StateKeys.rental(rental.name),
        read -> {
          if (!leads(term)) {
            return;
          }
          if (!read.known()) {
            timers.after(settings.workers().reportMs() / 6, () -> readBack(rental));
            return;
          }
          rental.writing = false;
          rental.stamp = read.stamp();
          if (!rental.refused && rental.hosts != null) {
            write(rental, false);
          }
        });
  }

  private void ask(Rental rental) {
    if (rental.asking || !leading) {
      return;
    }
    rental.asking = true;
    cloud.rent(
        rental.name,
        rental.pool.kind().type(),
        rental.pool.kind().spot(),
        rental.pool.zone(),
        rental.count,
        () -> wanted(rental),
        reply -> {
          rental.asking = false;
          if (!leading || rentals.get(rental.name) != rental) {
            return;
          }
          if (reply == null) {
            rental.refused = true;
            refused.accept(rental.pool);
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (reply.status() == 200 && body.path("hosts").isArray()) {
            rented(rental, body);
          } else if (CloudClient.noCapacity(reply) || reply.status() == 400) {
            // First, or it would itself count as held where the cloud has no more.
            rental.refused = true;
            refused.accept(rental.pool);
          } else {
            // No answer: it may have rented. The same name again tells, and rents nothing twice.
            timers.after(settings.workers().reportMs() / 4, () -> ask(rental));
          }
        });
  }

  /**
   * What the cloud has just refused to one rental it need not refuse to the next. Not so when it
   * may have been asked before: then only its answer tells what was rented.
   */
  private boolean wanted(Rental rental) {
    boolean ask = rental.asked || open.test(rental.pool);
    rental.asked |= ask;
    return ask;
  }

  private void rented(Rental rental, JsonNode body) {
    rental.readHosts(body);
    LOG.info(
        "rented {} of {} {} {} in {}",
        rental.hosts.size(),
        rental.count,
        rental.pool.kind().type(),
        rental.pool.kind().spot() ? "spot" : "steady",
        rental.pool.zone());
    events.note(
        Events.Kind.RENTED,
        o -> {
          rental.pool.describe(o);
          o.put("count", rental.hosts.size()).put("asked", rental.count).put("rental", rental.name);
        });
    adopt(rental);
    if (rental.hosts.size() < rental.count) {
      refused.accept(rental.pool);
    }
    if (!rental.writing) {
      write(rental, false);
    }
  }

  private void adopt(Rental rental) {
    for (String id : rental.hosts) {
      if (!workers.isGone(id)) {
        Host host = workers.getOrCreateHost(id);
        host.describe(
            null,
            types.get(rental.pool.kind().type()),
            rental.pool.zone(),
            rental.pool.kind().spot());
        host.setRentedAt(clock.now() - Math.max(0, clock.wall() - rental.wall));
      }
    }
  }

  /** Removes the records of rentals whose machines are all gone. */
  void forget() {
    for (Rental rental : List.copyOf(rentals.values())) {
      if (rental.writing || rental.asking) {
        continue;
      }
      boolean over =
          rental.refused
              || (rental.hosts != null
                  && rental.hosts.stream().allMatch(h -> workers.findHost(h) == null));
      if (!over) {
        shorten(rental);
      } else if (rental.stamp == 0) {
        rentals.remove(rental.name);
      } else {
        remove(rental);
      }
    }
  }

  /**
   * Kept exact, so that a new leader does not count on machines that are gone; seldom enough that a
   * wave of losses does not use up the puts that launches need.
   */
  private void shorten(Rental rental) {
    if (rental.hosts != null
        && clock.now() - rental.writtenAt > settings.workers().leaseMs()
        && rental.hosts.removeIf(h -> workers.findHost(h) == null)) {
      write(rental, false);
    }
  }

  private void remove(Rental rental) {
    rental.writing = true;
    String key = StateKeys.rental(rental.name);
    long removed = rental.stamp;
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
          rental.writing = false;
          guarded(outcome);
          if (outcome instanceof TxnOutcome.Applied) {
            if (rental.stamp == removed) {
              rentals.remove(rental.name);
            }
          } else if (!(outcome instanceof TxnOutcome.Refused)) {
            readBack(rental);
          }
        });
  }
}
