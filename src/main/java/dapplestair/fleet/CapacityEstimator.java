package dapplestair.fleet;

import dapplestair.events.Events;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Estimates how many machines the cloud can provide, by kind and zone. The cloud's capacity shows
 * only when it refuses a request.
 */
final class CapacityEstimator {
  private static final Logger LOG = LoggerFactory.getLogger(CapacityEstimator.class);

  private final Clock clock;
  private final MachineTypes types;
  private final Events events;
  private final long refusalMs;
  private final ToIntFunction<CapacityPool> heldCount;
  private final ToIntFunction<CapacityPool> heldOrPendingCount;
  private final ToIntFunction<CapacityPool> stayingCount;
  private final Map<CapacityPool, Long> refusedUntilMs = new HashMap<>();
  private final Map<CapacityPool, Integer> grantedCounts = new HashMap<>();
  private Predicate<String> isZoneClosed = z -> false;

  /**
   * Creates an estimator without any refusals.
   *
   * @param refusalMs how long a refusal is taken to hold
   * @param heldCount counts the machines of a pool that the cloud has provided and that are held
   * @param heldOrPendingCount counts the held and the requested machines of a pool
   * @param stayingCount counts the same without machines that are about to be replaced
   */
  CapacityEstimator(
      Clock clock,
      MachineTypes types,
      Events events,
      long refusalMs,
      ToIntFunction<CapacityPool> heldCount,
      ToIntFunction<CapacityPool> heldOrPendingCount,
      ToIntFunction<CapacityPool> stayingCount) {
    this.clock = clock;
    this.types = types;
    this.events = events;
    this.refusalMs = refusalMs;
    this.heldCount = heldCount;
    this.heldOrPendingCount = heldOrPendingCount;
    this.stayingCount = stayingCount;
  }

  void setZoneClosedTest(Predicate<String> newIsZoneClosed) {
    isZoneClosed = newIsZoneClosed;
  }

  /** Records a refusal of this pool; returns true if the pool had no recent refusal before. */
  boolean recordRefusal(CapacityPool pool) {
    boolean newlyRefused = mayHaveCapacity(pool);
    if (newlyRefused) {
      LOG.info(
          "the cloud refused more machines of type {} ({}) in zone {}: not renting there for {} ms",
          pool.kind().type(),
          pool.kind().spot() ? "spot" : "steady",
          pool.zone(),
          refusalMs);
      events.publish(Events.Kind.REFUSED, pool::describe);
    }
    refusedUntilMs.put(pool, clock.now() + refusalMs);
    // Machines that other rentals have requested there are not granted. A plan that counted on
    // them would rent no other kind instead.
    grantedCounts.put(pool, heldCount.applyAsInt(pool));
    return newlyRefused;
  }

  /** Returns true when the cloud has not refused machines of this pool recently. */
  boolean mayHaveCapacity(CapacityPool pool) {
    return refusedUntilMs.getOrDefault(pool, Long.MIN_VALUE) <= clock.now();
  }

  /** Returns true when the cloud has ever refused machines of this pool. */
  boolean wasEverRefused(CapacityPool pool) {
    return grantedCounts.containsKey(pool);
  }

  /** Returns true when the cloud may have more of this pool and its zone is not closed. */
  boolean mayRent(CapacityPool pool) {
    return mayHaveCapacity(pool) && !isZoneClosed.test(pool.zone());
  }

  /** Returns true when machines of this kind may be rented in some zone. */
  boolean mayHaveCapacity(MachineKind kind) {
    MachineType type = types.get(kind.type());
    return type != null && type.zones().stream().anyMatch(z -> mayRent(new CapacityPool(kind, z)));
  }

  /**
   * Returns the estimated maximum number of machines of a kind: in closed zones what is held or
   * requested, in open zones without a recent refusal {@code headroomPerZone} more than that, and
   * in the others what the cloud granted up to the refusal.
   */
  int capacity(MachineKind kind, int headroomPerZone) {
    MachineType type = types.get(kind.type());
    if (type == null) {
      return 0;
    }
    int sum = 0;
    for (String zone : type.zones()) {
      CapacityPool pool = new CapacityPool(kind, zone);
      if (isZoneClosed.test(zone)) {
        // Machines held in a closed zone stay; no more are rented there.
        sum += heldOrPendingCount.applyAsInt(pool);
      } else {
        sum +=
            mayHaveCapacity(pool)
                ? heldOrPendingCount.applyAsInt(pool) + headroomPerZone
                // An answer in flight at the time of the refusal may have added machines.
                : Math.max(grantedCounts.getOrDefault(pool, 0), heldCount.applyAsInt(pool));
      }
    }
    return sum;
  }

  /** Returns the cheapest pool in which the cloud may have machines in this zone, or null. */
  CapacityPool cheapestIn(String zone, SpotHistory spotHistory) {
    CapacityPool cheapest = null;
    double lowestPrice = Double.POSITIVE_INFINITY;
    for (MachineType type : types.all()) {
      for (boolean spot : new boolean[] {true, false}) {
        CapacityPool pool = new CapacityPool(new MachineKind(type.name(), spot), zone);
        double price = spotHistory.price(type, spot);
        if (type.zones().contains(zone) && mayHaveCapacity(pool) && price < lowestPrice) {
          cheapest = pool;
          lowestPrice = price;
        }
      }
    }
    return cheapest;
  }

  /**
   * Spreads {@code count} more machines over the zones where they may be rented, starting with the
   * zones that have the fewest.
   */
  Map<CapacityPool, Integer> spread(MachineKind kind, MachineType type, int count) {
    Map<CapacityPool, Integer> sharesByPool = new LinkedHashMap<>();
    Map<CapacityPool, Integer> countsByPool = new HashMap<>();
    for (String zone : type.zones()) {
      CapacityPool pool = new CapacityPool(kind, zone);
      if (mayRent(pool)) {
        sharesByPool.put(pool, 0);
        countsByPool.put(pool, stayingCount.applyAsInt(pool));
      }
    }
    for (int i = 0; i < count && !sharesByPool.isEmpty(); i++) {
      CapacityPool smallest =
          sharesByPool.keySet().stream()
              .min(Comparator.comparingInt(p -> countsByPool.get(p) + sharesByPool.get(p)))
              .orElseThrow();
      sharesByPool.merge(smallest, 1, Integer::sum);
    }
    return sharesByPool;
  }

  /** Calls {@code consumer} with each recently refused pool and the seconds its refusal lasts. */
  void forEachRefusal(BiConsumer<CapacityPool, Double> consumer) {
    long now = clock.now();
    List<Map.Entry<CapacityPool, Long>> entries = new ArrayList<>(refusedUntilMs.entrySet());
    for (Map.Entry<CapacityPool, Long> entry : entries) {
      if (entry.getValue() > now) {
        consumer.accept(entry.getKey(), (entry.getValue() - now) / 1000.0);
      }
    }
  }
}
