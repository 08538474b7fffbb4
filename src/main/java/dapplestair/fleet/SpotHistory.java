package dapplestair.fleet;

import dapplestair.machines.MachineType;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Recent spot prices and reclaims, from which two costs of a plan are computed. */
public final class SpotHistory {
  // By the users' design, spot machines are priced at the highest price of the last minute.
  private static final long PRICE_WINDOW_MS = 60_000;

  private record Price(long atMs, double perHour) {}

  private final Clock clock;
  private final Map<MachineKind, ArrayDeque<Long>> reclaimedAtMs = new HashMap<>();
  private final Map<MachineKind, ArrayDeque<Price>> prices = new HashMap<>();

  SpotHistory(Clock clock) {
    this.clock = clock;
  }

  void notePrices(Collection<MachineType> types) {
    long now = clock.now();
    for (MachineType type : types) {
      ArrayDeque<Price> recentPrices =
          prices.computeIfAbsent(new MachineKind(type.name(), true), kind -> new ArrayDeque<>());
      recentPrices.addLast(new Price(now, type.spotPrice()));
      while (recentPrices.size() > 1 && recentPrices.peekFirst().atMs() < now - PRICE_WINDOW_MS) {
        recentPrices.removeFirst();
      }
    }
  }

  /** Returns the price of a machine: for spot, the highest price of the last minute. */
  public double price(MachineType type, boolean spot) {
    if (!spot) {
      return type.price();
    }
    double highest = type.spotPrice();
    for (Price price :
        prices.getOrDefault(new MachineKind(type.name(), true), new ArrayDeque<>())) {
      highest = Math.max(highest, price.perHour());
    }
    return highest;
  }

  /** Records that a machine was reclaimed or given notice; steady machines are ignored. */
  void noteReclaimed(Host host) {
    if (host.spot() && host.type() != null) {
      reclaimedAtMs
          .computeIfAbsent(new MachineKind(host.type().name(), true), kind -> new ArrayDeque<>())
          .addLast(clock.now());
    }
  }

  /** Returns the share of the last {@code windows} windows of {@code windowMs} with a reclaim. */
  public double reclaimProbability(MachineKind kind, long windowMs, int windows) {
    ArrayDeque<Long> reclaimTimesMs = reclaimedAtMs.get(kind);
    if (reclaimTimesMs == null) {
      return 0;
    }
    long now = clock.now();
    reclaimTimesMs.removeIf(t -> now - t >= windowMs * windows);
    return reclaimTimesMs.stream().map(t -> (now - t) / windowMs).distinct().count()
        / (double) windows;
  }
}
