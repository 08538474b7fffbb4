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
 * Keeps rentals, from the put that records them until the last of their machines is gone. Each
 * rental is recorded before the cloud is asked, under a name that is used once, so that an unknown
 * outcome is settled by repeating the request.
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
  private final Predicate<CapacityPool> mayHaveCapacity;
  private final Consumer<CapacityPool> onRefused;
  private final Map<String, Rental> rentals = new LinkedHashMap<>();
  private boolean leading;
  private long lastRentalNumber;

  /**
   * Creates an empty set of rentals. {@code mayHaveCapacity} tells whether the cloud may have more
   * machines in a pool; {@code onRefused} is called for pools where it had none or too few.
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
      Predicate<CapacityPool> mayHaveCapacity,
      Consumer<CapacityPool> onRefused) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.workers = workers;
    this.cloud = cloud;
    this.events = events;
    this.mayHaveCapacity = mayHaveCapacity;
    this.onRefused = onRefused;
  }

  void applyRecord(String name, JsonNode value, long stamp) {
    if (leading) {
      handleLateRecord(name, value, stamp);
      return;
    }
    Rental rental = rentals.computeIfAbsent(name, n -> Rental.parse(n, value, clock.wall()));
    rental.stamp = stamp;
    rental.parseHosts(value);
  }

  /**
   * Handles a record that arrives while this controller leads. A leader asks the cloud only once it
   * knows that the record was made. A record of a rental that it no longer knows was given up
   * without an answer and carried out late. The record is marked for removal, since the next leader
   * would request the machines of all such records at once.
   */
  private void handleLateRecord(String name, JsonNode value, long stamp) {
    if (value.path("hosts").isArray()) {
      return;
    }
    Rental knownRental = rentals.get(name);
    if (knownRental == null) {
      Rental rental = Rental.parse(name, value, clock.wall());
      rental.refused = true;
      rental.stamp = stamp;
      rentals.put(name, rental);
    } else if (knownRental.refused) {
      // A second copy of the transaction was carried out while the record of the first is being
      // removed.
      knownRental.stamp = Math.max(knownRental.stamp, stamp);
    }
  }

  void applyRemoval(String name) {
    if (!leading) {
      rentals.remove(name);
    }
  }

  /** Begins to lead and takes over the rentals of earlier terms. */
  void lead() {
    leading = true;
    lastRentalNumber = 0;
    for (Rental rental : List.copyOf(rentals.values())) {
      if (rental.hostIds == null) {
        // An earlier leader may have asked, and no answer is recorded. A repeated request under the
        // same name rents nothing twice.
        rental.maybeRequested = true;
        requestMachines(rental);
      } else {
        registerHosts(rental);
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

  /** Returns how many machines of a kind are requested and not yet answered. */
  int pendingCount(MachineKind kind) {
    int count = 0;
    for (Rental rental : rentals.values()) {
      if (rental.isPending() && rental.pool.kind().equals(kind)) {
        count += rental.count;
      }
    }
    return count;
  }

  /** Returns how many machines of a pool are requested and not yet answered. */
  int pendingCount(CapacityPool pool) {
    int count = 0;
    for (Rental rental : rentals.values()) {
      if (rental.isPending() && rental.pool.equals(pool)) {
        count += rental.count;
      }
    }
    return count;
  }

  /** Records a rental, then requests its machines from the cloud. */
  void startRental(CapacityPool pool, int count) {
    // The name contains the term, so that no other controller ever uses the same name.
    String name = "r-" + leadership.term() + "-" + ++lastRentalNumber;
    Rental rental = new Rental(name, pool, count, clock.wall());
    rentals.put(name, rental);
    write(rental, true);
  }

  private void write(Rental rental, boolean requestWhenRecorded) {
    rental.writeInFlight = true;
    rental.writtenAtMs = clock.now();
    String key = StateKeys.rental(rental.name);
    Txn txn = leadership.guard(new Txn()).when(key, rental.stamp).put(key, rental.toJson());
    long term = leadership.term();
    state.commit(
        txn,
        Priority.FLEET,
        settings.workers().reportMs(),
        outcome -> {
          rental.writeInFlight = false;
          if (!isLeadingTerm(term)) {
            return;
          }
          resignIfDeposed(outcome);
          if (outcome instanceof TxnOutcome.Applied applied) {
            rental.stamp = applied.stamp();
            if (requestWhenRecorded) {
              requestMachines(rental);
            }
          } else if (requestWhenRecorded) {
            // The cloud was not asked. The next plan rents again, under another name.
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

  private boolean isLeadingTerm(long term) {
    return leading && leadership.term() == term;
  }

  private void resignIfDeposed(TxnOutcome outcome) {
    if (leading) {
      leadership.stepDownIfDeposed(outcome);
    }
  }

  private void readBack(Rental rental) {
    rental.writeInFlight = true;
    long term = leadership.term();
    state.get(
        StateKeys.rental(rental.name),
        read -> {
          if (!isLeadingTerm(term)) {
            return;
          }
          if (!read.known()) {
            timers.after(settings.workers().reportMs() / 6, () -> readBack(rental));
            return;
          }
          rental.writeInFlight = false;
          rental.stamp = read.stamp();
          if (!rental.refused && rental.hostIds != null) {
            write(rental, false);
          }
        });
  }

  private void requestMachines(Rental rental) {
    if (rental.requestInFlight || !leading) {
      return;
    }
    rental.requestInFlight = true;
    cloud.rent(
        rental.name,
        rental.pool.kind().type(),
        rental.pool.kind().spot(),
        rental.pool.zone(),
        rental.count,
        () -> shouldRequest(rental),
        reply -> {
          rental.requestInFlight = false;
          if (!leading || rentals.get(rental.name) != rental) {
            return;
          }
          if (reply == null) {
            rental.refused = true;
            onRefused.accept(rental.pool);
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (reply.status() == 200 && body.path("hosts").isArray()) {
            onRented(rental, body);
          } else if (CloudClient.isOutOfCapacity(reply) || reply.status() == 400) {
            // Set before the callback, which would otherwise count this rental as held in a pool
            // where the cloud has no more.
            rental.refused = true;
            onRefused.accept(rental.pool);
          } else {
            // Without an answer the machines may have been rented. A repeated request under the
            // same name shows what was rented, and rents nothing twice.
            timers.after(settings.workers().reportMs() / 4, () -> requestMachines(rental));
          }
        });
  }

  /**
   * Returns true when a queued request should still be sent. A request is dropped when the cloud
   * has just refused another rental of the same pool, unless the cloud may have been asked for this
   * rental before: then only its answer shows what was rented.
   */
  private boolean shouldRequest(Rental rental) {
    boolean shouldRequest = rental.maybeRequested || mayHaveCapacity.test(rental.pool);
    rental.maybeRequested |= shouldRequest;
    return shouldRequest;
  }

  private void onRented(Rental rental, JsonNode body) {
    rental.parseHosts(body);
    LOG.info(
        "rental {}: the cloud provided {} of {} machines (type {}, {}) in zone {}",
        rental.name,
        rental.hostIds.size(),
        rental.count,
        rental.pool.kind().type(),
        rental.pool.kind().spot() ? "spot" : "steady",
        rental.pool.zone());
    events.publish(
        Events.Kind.RENTED,
        o -> {
          rental.pool.describe(o);
          o.put("count", rental.hostIds.size())
              .put("asked", rental.count)
              .put("rental", rental.name);
        });
    registerHosts(rental);
    if (rental.hostIds.size() < rental.count) {
      onRefused.accept(rental.pool);
    }
    if (!rental.writeInFlight) {
      write(rental, false);
    }
  }

  private void registerHosts(Rental rental) {
    for (String id : rental.hostIds) {
      if (!workers.isGone(id)) {
        Host host = workers.getOrCreateHost(id);
        host.describe(
            null,
            types.get(rental.pool.kind().type()),
            rental.pool.zone(),
            rental.pool.kind().spot());
        host.setRentedAt(clock.now() - Math.max(0, clock.wall() - rental.requestedWallMs));
      }
    }
  }

  /** Removes the records of rentals whose machines are all gone. */
  void cleanUp() {
    for (Rental rental : List.copyOf(rentals.values())) {
      if (rental.writeInFlight || rental.requestInFlight) {
        continue;
      }
      boolean finished =
          rental.refused
              || (rental.hostIds != null
                  && rental.hostIds.stream().allMatch(h -> workers.findHost(h) == null));
      if (!finished) {
        dropGoneHosts(rental);
      } else if (rental.stamp == 0) {
        rentals.remove(rental.name);
      } else {
        deleteRecord(rental);
      }
    }
  }

  /**
   * Removes machines that are gone from a rental's record, so that a new leader does not count on
   * them. Writes at most once per lease, so that a wave of losses does not use up the puts that
   * launches need.
   */
  private void dropGoneHosts(Rental rental) {
    if (rental.hostIds != null
        && clock.now() - rental.writtenAtMs > settings.workers().leaseMs()
        && rental.hostIds.removeIf(h -> workers.findHost(h) == null)) {
      write(rental, false);
    }
  }

  private void deleteRecord(Rental rental) {
    rental.writeInFlight = true;
    String key = StateKeys.rental(rental.name);
    long deletedStamp = rental.stamp;
    Txn txn = leadership.guard(new Txn()).when(key, deletedStamp).remove(key);
    long term = leadership.term();
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        settings.workers().leaseMs(),
        outcome -> {
          if (!isLeadingTerm(term)) {
            return;
          }
          rental.writeInFlight = false;
          resignIfDeposed(outcome);
          if (outcome instanceof TxnOutcome.Applied) {
            if (rental.stamp == deletedStamp) {
              rentals.remove(rental.name);
            }
          } else if (!(outcome instanceof TxnOutcome.Refused)) {
            readBack(rental);
          }
        });
  }
}
