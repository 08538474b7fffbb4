package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guests without a guarantee: swarms of single tasks and arrays of very many small ones. */
class NoGuaranteeTest {
  /**
   * Its acceptance, its end, the job's key, and shares of two more: of its launch, of a launch
   * batch.
   */
  private static final double MOST_PUTS_PER_SINGLE = 3.6;

  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, SimulatedCluster.Size.MEDIUM);
    w.network.lossProbability = 0;
    w.users.submissionsStopped = true;
    w.users.submitService("one", 3);
    w.run(15_000);
    return w;
  }

  private static SimulatedUsers.KnownJob single(SimulatedCluster w, double runS) {
    return w.users.submitModifiedArray(
        "guest", 1, runS, b -> b.put("rank", "low").put("vcpus", 0.25).put("jobclass", "swarm"));
  }

  private static List<SimulatedUsers.KnownJob> swarm(
      SimulatedCluster w, int jobs, long everyMs, double runS) {
    List<SimulatedUsers.KnownJob> out = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      w.sim.after(i * everyMs, () -> out.add(single(w, runS)));
    }
    return out;
  }

  /** Launches share puts, and a single task leaves no record of its own. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4001, 4003, 4004})
  void aSwarmSharesPuts(long seed) {
    SimulatedCluster w = begun(seed);
    long before = w.state.writeCount();
    List<SimulatedUsers.KnownJob> swarm = swarm(w, 300, 130, 20);
    w.run(300 * 130 + 40_000);
    swarm.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    double each = (w.state.writeCount() - before) / 300.0;
    assertTrue(each <= MOST_PUTS_PER_SINGLE, each + " puts for each job");
    assertEquals(List.of(), w.state.keys("live/sheet/"), "launch batches once all is over");
    w.checker.checkHalfServed();
  }

  /** Far more than the state service takes: the swarm is put off, others are accepted in time. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4041, 4042, 4043})
  void othersAreAcceptedInTime(long seed) {
    SimulatedCluster w = begun(seed);
    swarm(w, 2400, 8, 5);
    List<SimulatedUsers.KnownJob> others = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      w.run(1000);
      others.add(w.users.submitArray("one", "high", 2, 4));
    }
    w.run(20_000);
    long late = others.stream().filter(j -> j.acceptedAtMs - j.submittedAtMs > 1000).count();
    assertTrue(late <= 1, late + " of 20 waited for longer than a second");
    others.forEach(j -> assertTrue(j.accepted, j.ref + " is not accepted"));
  }

  /** Leaders end while only launch batches know of hundreds of tasks, of which some are over. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4011, 4012, 4013, 4014, 4015, 4016, 4017, 4018})
  void aSwarmOutlivesItsLeaders(long seed) {
    SimulatedCluster w = begun(seed);
    List<SimulatedUsers.KnownJob> swarm = swarm(w, 250, 130, 12);
    for (int i = 0; i < 4; i++) {
      w.run(6000 + w.sim.between(0, 2000));
      if (i == 2) {
        w.nodes.forEach(n -> n.crash(w.sim.between(1000, 3000)));
      } else if (w.leader() != null) {
        w.leader().crash(w.sim.between(1000, 4000));
      }
      for (int k = 0; k < 10 && k < swarm.size(); k++) {
        w.users.cancel(swarm.get((int) w.sim.between(0, swarm.size() - 1)));
      }
    }
    w.run(70_000);
    swarm.forEach(j -> assertTrue(j.done || j.aborted, j.ref + " is not over"));
    assertEquals(List.of(), w.state.keys("live/sheet/"), "launch batches once all is over");
    w.checker.checkHalfServed();
  }

  /** Machines end and a worker's lease runs out while only launch batches know what runs there. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4021, 4022, 4024, 4025})
  void aSwarmOutlivesItsMachines(long seed) {
    SimulatedCluster w = begun(seed);
    List<SimulatedUsers.KnownJob> swarm = swarm(w, 150, 130, 25);
    w.run(20_000);
    w.cloud.machines().stream()
        .filter(m -> m.hasBooted() && w.sim.chance(0.4))
        .forEach(m -> m.powerOff());
    w.run(2000);
    w.leader().crash(2500);
    w.run(4000);
    w.cloud.machines().stream()
        .filter(m -> m.hasBooted() && w.sim.chance(0.4))
        .forEach(m -> m.hang(SimulatedCluster.LEASE_MS + 2000));
    w.run(120_000);
    swarm.forEach(j -> assertTrue(j.done, j.ref + " is not done"));
    assertEquals(List.of(), w.state.keys("live/sheet/"), "launch batches once all is over");
  }

  /** Thousands of tasks of seconds: cancelled in the middle, and with all controllers ending. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {4031, 4032})
  void anArrayOfVeryManyTasks(long seed) {
    SimulatedCluster w = begun(seed);
    SimulatedUsers.KnownJob[] of = new SimulatedUsers.KnownJob[2];
    for (int i = 0; i < 2; i++) {
      of[i] =
          w.users.submitModifiedArray(
              "guest", 2500, 3, b -> b.put("rank", "low").put("vcpus", 0.25).put("memoryGb", 0.4));
    }
    SimulatedUsers.KnownJob other = w.users.submitArray("one", "high", 20, 5);
    w.run(30_000);
    assertTrue(other.done, "the other team's array is not done");
    w.nodes.forEach(n -> n.crash(2000));
    w.run(20_000);
    w.users.cancel(of[1]);
    w.run(300_000);
    assertTrue(of[0].done, "not done, " + of[0].starts + " starts");
    assertTrue(of[1].done || of[1].aborted, "neither done nor cancelled");
    assertTrue(of[0].starts < 2 * 2500, of[0].starts + " starts of 2,500 tasks");
  }
}
