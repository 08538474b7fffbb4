package dapplestair.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import dapplestair.events.Events;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against counting requested machines as granted: when the cloud refuses one rental while
 * others of the same pool are in flight, a plan that counts on those rents no other kind instead
 * (docs/incidents/cold-burst.md).
 */
class CapacityEstimatorTest {
  private static final CapacityPool POOL = new CapacityPool(new MachineKind("t8", true), "a");
  private static final long REFUSAL_MS = 15_000;

  private long now;
  private int heldCount;
  private int pendingCount;
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
          REFUSAL_MS,
          pool -> heldCount,
          pool -> heldCount + pendingCount,
          pool -> heldCount + pendingCount);

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
  void pendingMachinesAreNotCountedAsGranted() {
    heldCount = 60;
    pendingCount = 50;
    capacityEstimator.recordRefusal(POOL);
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
  }

  /** An answer that was in flight when another rental was refused adds its machines. */
  @Test
  void machinesGrantedAfterTheRefusalCount() {
    heldCount = 10;
    pendingCount = 50;
    capacityEstimator.recordRefusal(POOL);
    heldCount = 60;
    pendingCount = 0;
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
  }

  /** Machines that were returned can be rented again. */
  @Test
  void returnedMachinesStayInTheCapacity() {
    heldCount = 60;
    capacityEstimator.recordRefusal(POOL);
    heldCount = 20;
    assertEquals(60, capacityEstimator.capacity(POOL.kind(), 1000));
    now = REFUSAL_MS + 1;
    assertEquals(1020, capacityEstimator.capacity(POOL.kind(), 1000));
  }
}
