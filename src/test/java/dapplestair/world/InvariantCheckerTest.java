package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatorSettings;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the checker's placement rules on jobs that name machine types and zones. */
class InvariantCheckerTest {
  /** Offers two machine types, one of which is used only by jobs that name it. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9101, 9102})
  void jobsRunOnTheirTypesAndInTheirZones(long seed) {
    List<EmulatorSettings.MachineSpec> types =
        List.of(SimulatedCluster.machineType("t8"), SimulatedCluster.machineType("u8"));
    SimulatedCluster cluster =
        new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM, false, types);
    cluster.users.submissionsStopped = true;
    cluster.run(5000);
    for (String type : List.of("t8", "u8")) {
      for (String zone : SimulatedCluster.ZONES) {
        SimulatedUsers.KnownJob job =
            cluster.users.submitModifiedArray(
                "one",
                3,
                4,
                b -> {
                  b.put("basin", zone);
                  b.putArray("hulls").add(type);
                });
        cluster.run(5000);
        assertTrue(job.accepted, job.ref + " is not accepted");
      }
    }
    cluster.users.submitArray("two", "high", 60, 4);
    SeededDaysTest.settle(cluster);
  }
}
