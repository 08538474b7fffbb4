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

/** What the cloud has shown to give: capacity shows only when it refuses. */
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
   * A refusal is believed for {@code refusalMs}.
   *
   * @param heldCount machines that the cloud has given and that are still held
   * @param heldOrPendingCount the same and what is asked for
   * @param stayingCount the same without machines that are about to be replaced
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

  /** The cloud has no more there. True when it was thought to. */
  boolean recordRefusal(CapacityPool pool) {
    boolean newlyRefused = mayHaveCapacity(pool);
    if (newlyRefused) {
      LOG.info("no more {} in {}", pool.kind(), pool.zone());
      events.note(Events.Kind.REFUSED, pool::describe);
    }
    refusedUntilMs.put(pool, clock.now() + refusalMs);
    // What other rentals there have asked for is not granted: a plan that counts on it wants
    // nothing
    // of another kind instead.
    grantedCounts.put(pool, heldCount.applyAsInt(pool));
    return newlyRefused;
  }

  /** True when the cloud may have more there. */
  boolean mayHaveCapacity(CapacityPool pool) {
    return refusedUntilMs.getOrDefault(pool, Long.MIN_VALUE) <= clock.now();
  }

  /** True when the cloud once had no more there. */
  boolean wasEverRefused(CapacityPool pool) {
    return grantedCounts.containsKey(pool);
  }

  /** True when there may be more, and something may be rented there. */
  boolean mayRent(CapacityPool pool) {
    return mayHaveCapacity(pool) && !isZoneClosed.test(pool.zone());
  }

  /** True when some zone may have more of this slot. */
  boolean mayHaveCapacity(MachineKind kind) {
    MachineType type = types.get(kind.type());
    return type != null && type.zones().stream().anyMatch(z -> mayRent(new CapacityPool(kind, z)));
  }

  /** Most machines of a slot that the cloud has shown to give, or {@code headroomPerZone}. */
  int capacity(MachineKind kind, int headroomPerZone) {
    MachineType type = types.get(kind.type());
    if (type == null) {
      return 0;
    }
    int sum = 0;
    for (String zone : type.zones()) {
      CapacityPool pool = new CapacityPool(kind, zone);
      if (isZoneClosed.test(zone)) {
        // What is held there stays; nothing more is rented.
        sum += heldOrPendingCount.applyAsInt(pool);
      } else {
        sum +=
            mayHaveCapacity(pool)
                ? heldOrPendingCount.applyAsInt(pool) + headroomPerZone
                // An answer that was on its way then may have shown more.
                : Math.max(grantedCounts.getOrDefault(pool, 0), heldCount.applyAsInt(pool));
      }
    }
    return sum;
  }

  /** What costs least of all that the cloud may have in this zone, or null. */
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

  /** Spreads {@code count} more of a type over the zones that still have some, the fewest first. */
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

  /** Where the cloud refuses now, and for how many more seconds that is believed. */
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
