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
  private final ToIntFunction<CapacityPool> given;
  private final ToIntFunction<CapacityPool> holding;
  private final ToIntFunction<CapacityPool> staying;
  private final Map<CapacityPool, Long> refusedUntil = new HashMap<>();
  private final Map<CapacityPool, Integer> granted = new HashMap<>();
  private Predicate<String> closed = z -> false;

  /**
   * A refusal is believed for {@code refusalMs}.
   *
   * @param given machines that the cloud has given and that are still held
   * @param holding the same and what is asked for
   * @param staying the same without machines that are about to be replaced
   */
  CapacityEstimator(
      Clock clock,
      MachineTypes types,
      Events events,
      long refusalMs,
      ToIntFunction<CapacityPool> given,
      ToIntFunction<CapacityPool> holding,
      ToIntFunction<CapacityPool> staying) {
    this.clock = clock;
    this.types = types;
    this.events = events;
    this.refusalMs = refusalMs;
    this.given = given;
    this.holding = holding;
    this.staying = staying;
  }

  void closeZones(Predicate<String> newClosed) {
    closed = newClosed;
  }

  /** The cloud has no more there. True when it was thought to. */
  boolean refuse(CapacityPool pool) {
    boolean news = open(pool);
    if (news) {
      LOG.info("no more {} in {}", pool.kind(), pool.zone());
      events.note(Events.Kind.REFUSED, pool::describe);
    }
    refusedUntil.put(pool, clock.now() + refusalMs);
    // What other rentals there have asked for is not granted: a plan that counts on it wants
    // nothing
    // of another kind instead.
    granted.put(pool, given.applyAsInt(pool));
    return news;
  }

  /** True when the cloud may have more there. */
  boolean open(CapacityPool pool) {
    return refusedUntil.getOrDefault(pool, Long.MIN_VALUE) <= clock.now();
  }

  /** True when the cloud once had no more there. */
  boolean refusedBefore(CapacityPool pool) {
    return granted.containsKey(pool);
  }

  /** True when there may be more, and something may be rented there. */
  boolean mayRent(CapacityPool pool) {
    return open(pool) && !closed.test(pool.zone());
  }

  /** True when some zone may have more of this slot. */
  boolean open(MachineKind kind) {
    MachineType type = types.get(kind.type());
    return type != null && type.zones().stream().anyMatch(z -> mayRent(new CapacityPool(kind, z)));
  }

  /** Most machines of a slot that the cloud has shown to give, or {@code otherwise}. */
  int capacity(MachineKind kind, int otherwise) {
    MachineType type = types.get(kind.type());
    if (type == null) {
      return 0;
    }
    int sum = 0;
    for (String z : type.zones()) {
      CapacityPool capacityPool = new CapacityPool(kind, z);
      if (closed.test(z)) {
        // What is held there stays; nothing more is rented.
        sum += holding.applyAsInt(capacityPool);
      } else {
        sum +=
            open(capacityPool)
                ? holding.applyAsInt(capacityPool) + otherwise
                // An answer that was on its way then may have shown more.
                : Math.max(granted.getOrDefault(capacityPool, 0), given.applyAsInt(capacityPool));
      }
    }
    return sum;
  }

  /** What costs least of all that the cloud may have in this zone, or null. */
  CapacityPool cheapestIn(String zone, SpotHistory spotHistory) {
    CapacityPool cheapest = null;
    double least = Double.POSITIVE_INFINITY;
    for (MachineType type : types.all()) {
      for (boolean spot : new boolean[] {true, false}) {
        CapacityPool pool = new CapacityPool(new MachineKind(type.name(), spot), zone);
        double price = spotHistory.price(type, spot);
        if (type.zones().contains(zone) && open(pool) && price < least) {
          cheapest = pool;
          least = price;
        }
      }
    }
    return cheapest;
  }

  /** Spreads {@code count} more of a type over the zones that still have some, the fewest first. */
  Map<CapacityPool, Integer> spread(MachineKind kind, MachineType type, int count) {
    Map<CapacityPool, Integer> share = new LinkedHashMap<>();
    Map<CapacityPool, Integer> have = new HashMap<>();
    for (String z : type.zones()) {
      CapacityPool p = new CapacityPool(kind, z);
      if (mayRent(p)) {
        share.put(p, 0);
        have.put(p, staying.applyAsInt(p));
      }
    }
    for (int i = 0; i < count && !share.isEmpty(); i++) {
      CapacityPool least =
          share.keySet().stream()
              .min(Comparator.comparingInt(p -> have.get(p) + share.get(p)))
              .orElseThrow();
      share.merge(least, 1, Integer::sum);
    }
    return share;
  }

  /** Where the cloud refuses now, and for how many more seconds that is believed. */
  void refusals(BiConsumer<CapacityPool, Double> each) {
    long now = clock.now();
    List<Map.Entry<CapacityPool, Long>> all = new ArrayList<>(refusedUntil.entrySet());
    for (Map.Entry<CapacityPool, Long> entry : all) {
      if (entry.getValue() > now) {
        each.accept(entry.getKey(), (entry.getValue() - now) / 1000.0);
      }
    }
  }
}
