package dapplestair.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dapplestair.machines.MachineType;
import dapplestair.ports.Clock;
import java.util.List;
import org.junit.jupiter.api.Test;

class SpotHistoryTest {
  private long now;
  private final SpotHistory spotHistory =
      new SpotHistory(
          new Clock() {
            @Override
            public long now() {
              return now;
            }

            @Override
            public long wall() {
              return now;
            }
          });

  private static MachineType type(double spotPrice) {
    return new MachineType("t8", 8, 0, 64, 50, 1, 1.0, spotPrice, 30, List.of("a"));
  }

  @Test
  void spotCostsTheHighestPriceOfTheLastMinute() {
    spotHistory.notePrices(List.of(type(0.6)));
    now = 30_000;
    spotHistory.notePrices(List.of(type(0.4)));
    assertEquals(0.6, spotHistory.price(type(0.4), true));
    assertEquals(1.0, spotHistory.price(type(0.4), false));
    now = 61_000;
    spotHistory.notePrices(List.of(type(0.4)));
    assertEquals(0.4, spotHistory.price(type(0.4), true));
  }

  @Test
  void reclaimProbabilityIsZeroWithoutReclaims() {
    assertEquals(0, spotHistory.reclaimProbability(new MachineKind("t8", true), 60_000, 10));
  }
}
