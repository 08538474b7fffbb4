package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two and three troubles that meet, placed at the steps of a change of leader, while jobs of one to
 * three tasks are cancelled by the dozen (docs/meetings.md). More seeds than here are played with
 * {@link FaultCombinationRunner}.
 */
class FaultCombinationTest {
  private static final int ROUNDS = 5;

  /** Jobs of at most three tasks. */
  static final SimulatedCluster.Size SHORT = new SimulatedCluster.Size(4, 20, 1100, 3);

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9001, 9002, 9003, 9004, 9005, 9006, 9007, 9008, 9009, 9010, 9011, 9012})
  void troublesMeet(long seed) {
    play(seed);
  }

  /** Among them mute machines, late commands, quick boots with late writes, and old reports. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9101, 9102, 9103, 9104})
  void troublesOfMachinesMeet(long seed) {
    playMachines(seed);
  }

  static void play(long seed) {
    play(new SimulatedCluster(seed, SHORT), seed, RandomFaults::injectAny);
  }

  static void playMachines(long seed) {
    play(new SimulatedCluster(seed, SHORT), seed, RandomFaults::injectMachineFault);
  }

  static void play(SimulatedCluster w, long seed, Consumer<RandomFaults> trouble) {
    try {
      w.users.cancelledArrayShare = 0.5;
      RandomFaults faults = new RandomFaults(w);
      w.run(15_000);
      for (int i = 0; i < ROUNDS; i++) {
        transition(w, faults);
        int more = (int) w.sim.between(1, 2);
        for (int k = 0; k < more; k++) {
          w.run(step(w));
          trouble.accept(faults);
        }
        cancelSome(w);
        w.run(w.sim.between(8000, 40_000));
      }
      w.run(RandomFaults.MAX_DURATION_MS);
      w.state.endOutage();
      SeededDaysTest.settle(w);
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
  }

  /** Within a message, a put, a hold, or a lease: each has its own moment in a change of leader. */
  private static long step(SimulatedCluster w) {
    long[] spans = {
      30,
      400,
      SimulatedCluster.LEASE_MS / 10,
      SimulatedCluster.REPORT_INTERVAL_MS,
      SimulatedCluster.LEASE_MS
    };
    return w.sim.between(0, spans[(int) w.sim.between(0, spans.length - 1)]);
  }

  private static void transition(SimulatedCluster w, RandomFaults faults) {
    SimulatedCluster.ControllerNode leader = w.leader() == null ? w.nodes.get(0) : w.leader();
    String name = "node-" + leader.index;
    long ms = w.sim.between(1500, RandomFaults.MAX_DURATION_MS);
    switch ((int) w.sim.between(0, 7)) {
      case 0 -> leader.crash(w.sim.between(60, 900));
      case 1 -> leader.crash(w.sim.between(2000, 6000));
      case 2 -> w.nodes.forEach(n -> n.crash(w.sim.between(60, 4000)));
      case 3 -> faults.isolateFromPeersAndState(leader, w.sim.chance(0.5), ms);
      case 4 -> {
        // It alone is refused, and then all of them are, for longer than cancelled work may live.
        w.state.setRefused(name, true);
        w.sim.after(w.sim.between(200, 4000), w.state::beginOutage);
        long out = w.sim.chance(0.3) ? SimulatedCluster.CANCEL_DEADLINE_MS * 5 / 4 : ms;
        w.sim.after(4000 + out, w.state::endOutage);
        w.sim.after(w.sim.between(2000, 4000 + out), () -> w.state.setRefused(name, false));
      }
      case 5 -> leader.freeze(ms);
      case 6 -> {
        // It ends while machines with tasks can't be reached by anybody, or don't hear.
        for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
          if (w.sim.chance(0.3)) {
            m.cutInbound(ms);
          } else if (w.sim.chance(0.2)) {
            m.hang(Math.min(ms, SimulatedCluster.LEASE_MS * 9 / 10));
          }
        }
        w.run(w.sim.between(0, 2000));
        leader.crash(w.sim.between(60, 4000));
      }
      default -> {
        // Hand over and back.
        leader.crash(w.sim.between(60, 500));
        w.sim.after(
            w.sim.between(300, 2500),
            () -> w.nodes.get((leader.index + 1) % 3).crash(w.sim.between(60, 500)));
      }
    }
  }

  /** A third of what its users still wait for. */
  private static void cancelSome(SimulatedCluster w) {
    for (SimulatedUsers.KnownJob t : new ArrayList<>(w.users.jobs.values())) {
      if (t.accepted && !t.done && !t.cancelRequested && w.sim.chance(0.33)) {
        w.users.cancel(t);
      }
    }
    assertTrue(w.users.jobs.size() > 5, "hardly any jobs");
  }
}
