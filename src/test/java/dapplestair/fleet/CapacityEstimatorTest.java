package dapplestair.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import dapplestair.events.Events;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What the cloud has shown to give, beside rentals that are under way
 * (docs/incidents/cold-burst.md).
 */
class CapacityEstimatorTest {
  private static final CapacityPool POOL = new CapacityPool(new MachineKind("t8", true), "a");
  private static final long BELIEVED_MS = 15_000;

  private long now;
  private int held;
  private int pending;
  private final MachineTypes types = new MachineTypes();
  private final CapacityEstimator capacityEstimator =
      new CapacityEstimator(
          new Clock() {
            @Override
            public long now() {
              return now;
            }

            @Override
            public long wall() {
              return now;
            }
          },
          types,
          Events.OFF,
          BELIEVED_MS,
          pool -> held,
          pool -> held + pending,
          pool -> held + pending);

  @BeforeEach
  void describeTypes() throws Exception {
    types.read(
        new ObjectMapper()
            .readTree(
                "{\"hulls\":[{\"label\":\"t8\",\"vcpus\":8,\"accelerators\":0,\"memoryGb\":64,"
                    + "\"cacheGb\":50,\"pullGbPerS\":1.0,\"hourly\":1.0,\"marketPrice\":0.4,"
                    + "\"readyS\":30,\"basins\":[\"a\"]}]}"));
  }

  @Test
  void whatIsOnlyAskedForIsNotGranted() {
    held = 60;
    pending = 50;
    capacityEstimator.refuse(POOL);
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
  }

  /** An answer that was on its way when another rental was refused shows more. */
  @Test
  void whatArrivesAfterTheRefusalCounts() {
    held = 10;
    pending = 50;
    capacityEstimator.refuse(POOL);
    held = 60;
    pending = 0;
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
  }

  /** Machines that are returned could be had again. */
  @Test
  void whatWasGrantedStaysGranted() {
    held = 60;
    capacityEstimator.refuse(POOL);
    held = 20;
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
    now = BELIEVED_MS + 1;
    assertEquals(1020, capacityEstimator.capacity(POOL.kind(), 1000));
  }
}
