package dapplestair.world;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;

/** Troubles of every kind at random times, alone and overlapping. */
final class RandomFaults {
  static final long LONGEST_MS = 25_000;
  private final SimulatedCluster w;
  private boolean over;

  RandomFaults(SimulatedCluster w) {
    this.w = w;
  }

  void begin(long everyMs) {
    w.sim.after(
        w.sim.between(everyMs / 2, everyMs * 3 / 2),
        () -> {
          if (!over) {
            one((int) w.sim.between(0, 19));
            begin(everyMs);
          }
        });
  }

  void end() {
    over = true;
  }

  private EmulatedWorker someMachine() {
    List<EmulatedWorker> all = w.cloud.machines().stream().filter(m -> !m.gone()).toList();
    return all.isEmpty() ? null : all.get((int) w.sim.between(0, all.size() - 1));
  }

  /** One of any kind at this moment, those of late writes among them. */
  void any() {
    one((int) w.sim.between(0, 20));
  }

  /**
   * One with machines, their reports or their commands; by itself, so that what {@link #any} draws
   * stays the same.
   */
  void ofMachines() {
    long ms = w.sim.between(2000, LONGEST_MS);
    switch ((int) w.sim.between(0, 3)) {
      case 0 -> {
        double share = w.sim.chance(0.2) ? 1 : 0.3;
        for (EmulatedWorker each : w.cloud.machines()) {
          if (w.sim.chance(share)) {
            each.mute(ms);
          }
        }
      }
      case 1 -> {
        w.network.lateCommandProbability = 0.4;
        w.sim.after(ms, () -> w.network.lateCommandProbability = 0);
      }
      case 2 -> {
        w.cloud.setQuickBoots(1);
        w.network.lateWriteProbability = 0.25;
        w.sim.after(ms, () -> w.cloud.setQuickBoots(0));
        w.sim.after(ms, () -> w.network.lateWriteProbability = 0);
      }
      default -> {
        DelayedReports.Arrival[] all = DelayedReports.Arrival.values();
        DelayedReports reports = new DelayedReports(w, 0.3, ms);
        DelayedReports.Arrival arrival = all[(int) w.sim.between(0, all.length - 1)];
        w.sim.after(
            ms,
            () ->
                reports.deliverAfterLeaderChange(
                    arrival, w.sim.chance(0.5), SimulatedCluster.REPORT_INTERVAL_MS));
      }
    }
  }

  private void one(int kind) {
    SimulatedCluster.ControllerNode node = w.nodes.get((int) w.sim.between(0, 2));
    String name = "node-" + node.index;
    long ms = w.sim.between(2000, LONGEST_MS);
    EmulatedWorker m = someMachine();
    boolean hold = w.sim.chance(0.6);
    switch (kind) {
      case 0, 1 -> node.crash(w.sim.between(800, 6000));
      case 2 -> w.nodes.forEach(n -> n.crash(w.sim.between(800, 6000)));
      case 3 -> {
        w.state.fail();
        w.sim.after(ms, w.state::recover);
      }
      case 4 -> {
        w.state.refuse(name, true);
        w.sim.after(ms, () -> w.state.refuse(name, false));
      }
      case 5, 6 -> cut(name, "state:1", hold, ms);
      case 7 -> {
        for (EmulatedWorker each : List.copyOf(w.cloud.machines())) {
          if (w.sim.chance(0.5)) {
            cut(name, each.endpoint(), hold, ms);
            cut(SimulatedCluster.clientAddress(node.index), each.endpoint(), hold, ms);
          }
        }
      }
      case 8 -> {
        for (SimulatedCluster.ControllerNode other : w.nodes) {
          if (other != node) {
            cut(name, "node-" + other.index, hold, ms);
          }
        }
      }
      case 9 -> {
        if (m != null) {
          m.end();
        }
      }
      case 10 -> {
        if (m != null) {
          m.hang(ms);
        }
      }
      case 11 -> {
        for (EmulatedWorker each : w.cloud.machines()) {
          if (each.spot() && w.sim.chance(0.4)) {
            each.recall(w.sim.chance(0.5) ? 0 : w.sim.between(2000, 15_000));
          }
        }
      }
      case 12 -> {
        boolean down = w.sim.chance(0.5);
        w.cloud.setDown(down);
        w.cloud.setCapacity(down ? 1 : 0.25);
        w.sim.after(
            ms,
            () -> {
              w.cloud.setDown(false);
              w.cloud.setCapacity(1);
            });
      }
      case 14, 15 -> {
        // Orders are held back while reports still come through, and perhaps the sender ends.
        for (EmulatedWorker each : List.copyOf(w.cloud.machines())) {
          if (w.sim.chance(0.5)) {
            cut(name, each.endpoint(), true, w.sim.between(300, 6000));
          }
        }
        if (kind == 15) {
          w.sim.after(w.sim.between(100, 3000), () -> node.crash(w.sim.between(800, 6000)));
        }
      }
      case 16 -> {
        // Reports arrive; answers and commands don't.
        for (EmulatedWorker each : List.copyOf(w.cloud.machines())) {
          if (each == m || w.sim.chance(0.1)) {
            each.deafen(ms);
          }
        }
      }
      case 17 -> {
        w.network.copyProbability = 0.2;
        w.sim.after(ms, () -> w.network.copyProbability = 0);
      }
      case 18 -> alone(node, hold, ms);
      case 19 -> {
        // Back within a fraction of a second, and perhaps gone again before it is ready.
        node.crash(w.sim.between(60, 500));
        if (w.sim.chance(0.5)) {
          w.sim.after(w.sim.between(500, 1500), () -> node.crash(w.sim.between(60, 500)));
        }
      }
      case 20 -> {
        w.network.lateWriteProbability = 0.25;
        w.sim.after(ms, () -> w.network.lateWriteProbability = 0);
      }
      default -> {
        if (m != null) {
          m.sicken();
        }
        cut(name, "cloud:1", hold, ms);
      }
    }
  }

  /** It loses the state service and the other controllers, but neither workers nor users. */
  void alone(SimulatedCluster.ControllerNode node, boolean hold, long ms) {
    String name = "node-" + node.index;
    cut(name, "state:1", hold, ms);
    for (SimulatedCluster.ControllerNode other : w.nodes) {
      if (other != node) {
        cut(name, "node-" + other.index, hold, ms);
      }
    }
  }

  private void cut(String a, String b, boolean hold, long ms) {
    w.network.cut(a, b, hold);
    w.sim.after(ms, () -> w.network.heal(a, b));
  }
}
