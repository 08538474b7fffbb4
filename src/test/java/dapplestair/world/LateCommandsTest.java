package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Commands of a leader that has ended or was deposed arrive after the new leader's, and those of a
 * living one after its own later ones. Each is carried out once if token and session still match,
 * and its sender hears nothing of it (docs/meetings.md).
 */
class LateCommandsTest {
  /** How many commands of each kind are held up. */
  private static final int HELD = 12;

  /** Teams at their limits: what starts once too often is seen. */
  private static SimulatedCluster begun(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, new SimulatedCluster.Size(6, 24, 700, 6));
    w.network.lossProbability = 0;
    w.users.cancelledArrayShare = 0.4;
    w.run(20_000);
    return w;
  }

  private static void end(SimulatedCluster w, SimulatedCluster.ControllerNode old, String how) {
    switch (how) {
      case "ends" -> old.crash(6000);
      case "hangs" -> old.freeze(12_000);
      case "alone" ->
          new RandomFaults(w).isolateFromPeersAndState(old, false, SimulatedCluster.LEASE_MS);
      default -> throw new IllegalArgumentException(how);
    }
  }

  /** Nobody but the old leader gets to this zone's machines, and they get to nobody. */
  private static void isolate(
      SimulatedCluster w, SimulatedCluster.ControllerNode old, String zone, long ms) {
    for (EmulatedWorker m : w.cloud.machines()) {
      for (SimulatedCluster.ControllerNode n : w.nodes) {
        if (n != old && m.zone().equals(zone)) {
          w.network.cut("node-" + n.index, m.endpoint(), true);
          w.network.cut(SimulatedCluster.clientAddress(n.index), m.endpoint(), true);
          w.sim.after(ms, () -> w.network.heal("node-" + n.index, m.endpoint()));
          w.sim.after(
              ms, () -> w.network.heal(SimulatedCluster.clientAddress(n.index), m.endpoint()));
        }
      }
    }
  }

  private static String zoneOf(SimulatedCluster w, String endpoint) {
    return w.cloud.machines().stream()
        .filter(m -> m.endpoint().equals(endpoint))
        .map(EmulatedWorker::zone)
        .findFirst()
        .orElse("");
  }

  private static boolean sameZone(SimulatedCluster w, String endpoint, String other) {
    return zoneOf(w, endpoint).equals(zoneOf(w, other));
  }

  /** A third of what runs, or is about to, is cancelled through the new leader. */
  private static void cancelSome(SimulatedCluster w) {
    for (SimulatedUsers.KnownJob t : new ArrayList<>(w.users.jobs.values())) {
      if (t.accepted && !t.done && !t.cancelRequested && w.sim.chance(0.33)) {
        w.users.cancel(t);
      }
    }
  }

  /**
   * Commands of one kind are held up; with the last of them the leader ends or is deposed. They
   * arrive so much later, at machines that the next leader has reached by then or has not.
   */
  @ParameterizedTest(name = "seed {0}, {1} held for {2} ms, their leader {3}, others reach: {4}")
  @CsvSource({
    "5101,launch,2000,ends,true",
    "5102,launch,2500,ends,false",
    "5103,launch,4000,hangs,false",
    "5104,launch,6000,alone,false",
    "5105,launch,9000,ends,false",
    "5106,launch,16000,ends,false",
    "5107,launch,16000,alone,true",
    "5108,halt,2500,ends,false",
    "5109,halt,9000,alone,false",
    "5110,halt,16000,ends,true",
    "5111,clear,2500,ends,false",
    "5112,clear,6000,hangs,true",
    "5113,clear,16000,ends,false"
  })
  void afterTheNextLeaders(long seed, String verb, long heldMs, String how, boolean reached) {
    SimulatedCluster w = begun(seed);
    for (int i = 0; i < 3; i++) {
      SimulatedCluster.ControllerNode old = w.leader();
      if (old == null) {
        w.run(4000);
        continue;
      }
      List<String> held = new ArrayList<>();
      w.network.commandDelayMs =
          r -> {
            boolean holds =
                r.from().equals("node-" + old.index)
                    && r.hasOrder(verb)
                    && held.size() < HELD
                    && (reached || held.stream().allMatch(to -> sameZone(w, r.to(), to)));
            if (holds) {
              held.add(r.to());
            }
            return holds ? heldMs : 0;
          };
      for (int k = 0; k < 500 && (held.isEmpty() || k < 50); k++) {
        w.run(20);
      }
      assertTrue(!held.isEmpty(), "nothing was held up");
      if (!reached) {
        isolate(w, old, zoneOf(w, held.get(0)), heldMs + 1000);
      }
      end(w, old, how);
      w.run(2500);
      cancelSome(w);
      w.run(heldMs + 12_000);
      w.network.commandDelayMs = r -> 0;
    }
    int late = reached ? w.network.lateRejected.get() : w.network.lateAccepted.get();
    assertTrue(
        late > 0, "none came late: " + w.network.lateAccepted + ", " + w.network.lateRejected);
    SeededDaysTest.settle(w);
  }

  /** Two leaders' commands for the same tasks are both on their way when a third one begins. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {5121, 5122, 5123, 5124})
  void ofTwoLeadersAtOnce(long seed) {
    SimulatedCluster w = begun(seed);
    for (int i = 0; i < 3; i++) {
      w.network.lateCommandProbability = 0.7;
      for (int k = 0; k < 2; k++) {
        w.run(2500);
        SimulatedCluster.ControllerNode old = w.leader();
        if (old != null) {
          end(w, old, w.sim.chance(0.5) ? "ends" : "alone");
        }
        w.run(w.sim.between(2500, 5000));
        assertNotEquals(old, w.leader(), "it still leads");
      }
      cancelSome(w);
      w.network.lateCommandProbability = 0;
      w.run(SimulatedCluster.LEASE_MS);
    }
    SeededDaysTest.settle(w);
  }

  /**
   * A machine's reports arrive and lack a launch that is held up; what it is answered is lost, and
   * later commands come later. So it knows of no raised token when the launch arrives after all.
   */
  @ParameterizedTest(name = "seed {0}, held for {1} ms")
  @CsvSource({"5141,3500", "5142,4000", "5143,4500", "5144,5000"})
  void whileAnswersAreLost(long seed, long heldMs) {
    SimulatedCluster w = begun(seed);
    for (int i = 0; i < 8; i++) {
      SimulatedCluster.ControllerNode leader = w.leader();
      List<String> stuck = new ArrayList<>();
      w.network.commandDelayMs =
          r -> {
            boolean first = stuck.size() < 3 && r.hasOrder("launch") && !stuck.contains(r.to());
            if (first) {
              stuck.add(r.to());
              w.network.cutOneWay(SimulatedCluster.clientAddress(leader.index), r.to());
            }
            return first || stuck.contains(r.to()) ? heldMs : 0;
          };
      w.run(heldMs + 2000);
      w.network.commandDelayMs = r -> 0;
      stuck.forEach(to -> w.network.healOneWay(SimulatedCluster.clientAddress(leader.index), to));
      w.run(6000);
    }
    assertTrue(w.network.lateAccepted.get() > 0, "none came late");
    SeededDaysTest.settle(w);
  }

  /** A share of all direct commands, for long, under leaders that live. */
  @ParameterizedTest(name = "seed {0}, share {1}")
  @CsvSource({"5131,0.15", "5132,0.4", "5133,0.4", "5134,0.6"})
  void underOneLeader(long seed, double share) {
    SimulatedCluster w = begun(seed);
    w.network.lateCommandProbability = share;
    for (int i = 0; i < 6; i++) {
      w.run(10_000);
      cancelSome(w);
    }
    w.network.lateCommandProbability = 0;
    assertTrue(w.network.lateRejected.get() > 0, "none came late");
    SeededDaysTest.settle(w);
  }
}
