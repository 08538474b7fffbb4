package dapplestair.world;

import dapplestair.emulator.EmulatedWorker;
import java.util.List;

/** Injects faults of every kind at random times, alone and overlapping. */
final class RandomFaults {
  static final long MAX_DURATION_MS = 25_000;
  private final SimulatedCluster cluster;
  private boolean ended;

  RandomFaults(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void injectRepeatedly(long meanIntervalMs) {
    cluster.sim.after(
        cluster.sim.between(meanIntervalMs / 2, meanIntervalMs * 3 / 2),
        () -> {
          if (!ended) {
            inject((int) cluster.sim.between(0, 19));
            injectRepeatedly(meanIntervalMs);
          }
        });
  }

  void stop() {
    ended = true;
  }

  private EmulatedWorker randomMachine() {
    List<EmulatedWorker> machines =
        cluster.cloud.machines().stream().filter(m -> !m.isGone()).toList();
    return machines.isEmpty()
        ? null
        : machines.get((int) cluster.sim.between(0, machines.size() - 1));
  }

  /** Injects one random fault of any kind now, including late writes. */
  void injectAny() {
    inject((int) cluster.sim.between(0, 20));
  }

  /**
   * Injects one random fault of machines, their reports or their commands. It is separate from
   * {@link #injectAny}, so that the random draws of that method stay the same.
   */
  void injectMachineFault() {
    long durationMs = cluster.sim.between(2000, MAX_DURATION_MS);
    switch ((int) cluster.sim.between(0, 3)) {
      case 0 -> {
        double share = cluster.sim.chance(0.2) ? 1 : 0.3;
        for (EmulatedWorker each : cluster.cloud.machines()) {
          if (cluster.sim.chance(share)) {
            each.cutOutbound(durationMs);
          }
        }
      }
      case 1 -> {
        cluster.network.lateCommandProbability = 0.4;
        cluster.sim.after(durationMs, () -> cluster.network.lateCommandProbability = 0);
      }
      case 2 -> {
        cluster.cloud.setQuickBootingShare(1);
        cluster.network.lateWriteProbability = 0.25;
        cluster.sim.after(durationMs, () -> cluster.cloud.setQuickBootingShare(0));
        cluster.sim.after(durationMs, () -> cluster.network.lateWriteProbability = 0);
      }
      default -> {
        DelayedReports.Arrival[] arrivals = DelayedReports.Arrival.values();
        DelayedReports reports = new DelayedReports(cluster, 0.3, durationMs);
        DelayedReports.Arrival arrival =
            arrivals[(int) cluster.sim.between(0, arrivals.length - 1)];
        cluster.sim.after(
            durationMs,
            () ->
                reports.deliverAfterLeaderChange(
                    arrival, cluster.sim.chance(0.5), SimulatedCluster.REPORT_INTERVAL_MS));
      }
    }
  }

  private void inject(int kind) {
    SimulatedCluster.ControllerNode node = cluster.nodes.get((int) cluster.sim.between(0, 2));
    String name = "node-" + node.index;
    long durationMs = cluster.sim.between(2000, MAX_DURATION_MS);
    EmulatedWorker machine = randomMachine();
    boolean holdMessages = cluster.sim.chance(0.6);
    switch (kind) {
      case 0, 1 -> node.crash(cluster.sim.between(800, 6000));
      case 2 -> cluster.nodes.forEach(n -> n.crash(cluster.sim.between(800, 6000)));
      case 3 -> {
        cluster.state.beginOutage();
        cluster.sim.after(durationMs, cluster.state::endOutage);
      }
      case 4 -> {
        cluster.state.setRefused(name, true);
        cluster.sim.after(durationMs, () -> cluster.state.setRefused(name, false));
      }
      case 5, 6 -> cut(name, "state:1", holdMessages, durationMs);
      case 7 -> {
        for (EmulatedWorker each : List.copyOf(cluster.cloud.machines())) {
          if (cluster.sim.chance(0.5)) {
            cut(name, each.endpoint(), holdMessages, durationMs);
            cut(
                SimulatedCluster.clientAddress(node.index),
                each.endpoint(),
                holdMessages,
                durationMs);
          }
        }
      }
      case 8 -> {
        for (SimulatedCluster.ControllerNode other : cluster.nodes) {
          if (other != node) {
            cut(name, "node-" + other.index, holdMessages, durationMs);
          }
        }
      }
      case 9 -> {
        if (machine != null) {
          machine.powerOff();
        }
      }
      case 10 -> {
        if (machine != null) {
          machine.hang(durationMs);
        }
      }
      case 11 -> {
        for (EmulatedWorker each : cluster.cloud.machines()) {
          if (each.isSpot() && cluster.sim.chance(0.4)) {
            each.reclaim(cluster.sim.chance(0.5) ? 0 : cluster.sim.between(2000, 15_000));
          }
        }
      }
      case 12 -> {
        boolean down = cluster.sim.chance(0.5);
        cluster.cloud.setDown(down);
        cluster.cloud.setCapacityShare(down ? 1 : 0.25);
        cluster.sim.after(
            durationMs,
            () -> {
              cluster.cloud.setDown(false);
              cluster.cloud.setCapacityShare(1);
            });
      }
      case 14, 15 -> {
        // Commands are held back while reports still arrive, and the sender may crash.
        for (EmulatedWorker each : List.copyOf(cluster.cloud.machines())) {
          if (cluster.sim.chance(0.5)) {
            cut(name, each.endpoint(), true, cluster.sim.between(300, 6000));
          }
        }
        if (kind == 15) {
          cluster.sim.after(
              cluster.sim.between(100, 3000), () -> node.crash(cluster.sim.between(800, 6000)));
        }
      }
      case 16 -> {
        // Reports arrive, but answers and commands do not.
        for (EmulatedWorker each : List.copyOf(cluster.cloud.machines())) {
          if (each == machine || cluster.sim.chance(0.1)) {
            each.cutInbound(durationMs);
          }
        }
      }
      case 17 -> {
        cluster.network.copyProbability = 0.2;
        cluster.sim.after(durationMs, () -> cluster.network.copyProbability = 0);
      }
      case 18 -> isolateFromPeersAndState(node, holdMessages, durationMs);
      case 19 -> {
        // The node restarts within a fraction of a second and may crash again before it is ready.
        node.crash(cluster.sim.between(60, 500));
        if (cluster.sim.chance(0.5)) {
          cluster.sim.after(
              cluster.sim.between(500, 1500), () -> node.crash(cluster.sim.between(60, 500)));
        }
      }
      case 20 -> {
        cluster.network.lateWriteProbability = 0.25;
        cluster.sim.after(durationMs, () -> cluster.network.lateWriteProbability = 0);
      }
      default -> {
        if (machine != null) {
          machine.failAllTasks();
        }
        cut(name, "cloud:1", holdMessages, durationMs);
      }
    }
  }

  /**
   * Disconnects a node from the state service and the other controllers, but not from workers and
   * users.
   */
  void isolateFromPeersAndState(
      SimulatedCluster.ControllerNode node, boolean holdMessages, long durationMs) {
    String name = "node-" + node.index;
    cut(name, "state:1", holdMessages, durationMs);
    for (SimulatedCluster.ControllerNode other : cluster.nodes) {
      if (other != node) {
        cut(name, "node-" + other.index, holdMessages, durationMs);
      }
    }
  }

  private void cut(String a, String b, boolean holdMessages, long durationMs) {
    cluster.network.cut(a, b, holdMessages);
    cluster.sim.after(durationMs, () -> cluster.network.heal(a, b));
  }
}
