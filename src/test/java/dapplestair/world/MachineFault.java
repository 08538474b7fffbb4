package dapplestair.world;

import dapplestair.emulator.EmulatedWorker;

/** The ways in which a machine with cancelled tasks does not do what it is told. */
enum MachineFault {
  /** Nothing reaches it or comes from it; the messages are lost. */
  CUT {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, true, false, durationMs);
    }
  },
  /** Nothing reaches it or comes from it; the messages arrive once this is over. */
  HELD {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, true, true, durationMs);
    }
  },
  /** It reports and hears the answers, but can't be asked or commanded directly. */
  UNASKED {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, false, true, durationMs);
    }
  },
  /** It can be asked and commanded, but reaches no controller by itself. */
  MUTE {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, false, true, false, durationMs);
    }
  },
  /** It reports, and hears nothing. */
  DEAF {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      machine.deafen(durationMs);
    }
  },
  /** It hangs and goes on within its lease. */
  HANG {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      machine.hang(Math.min(durationMs, SimulatedCluster.LEASE_MS * 9 / 10));
    }
  },
  /** It hangs past its lease, with its tasks on it. */
  STALL {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      machine.stall(durationMs);
    }
  };

  abstract void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs);

  private static void cut(
      SimulatedCluster cluster,
      EmulatedWorker machine,
      boolean cutsCommands,
      boolean cutsReports,
      boolean holdMessages,
      long durationMs) {
    for (SimulatedCluster.ControllerNode node : cluster.nodes) {
      if (cutsCommands) {
        cut(cluster, "node-" + node.index, machine.endpoint(), holdMessages, durationMs);
      }
      if (cutsReports) {
        cut(
            cluster,
            SimulatedCluster.clientAddress(node.index),
            machine.endpoint(),
            holdMessages,
            durationMs);
      }
    }
  }

  private static void cut(
      SimulatedCluster cluster, String a, String b, boolean holdMessages, long durationMs) {
    cluster.network.cut(a, b, holdMessages);
    cluster.sim.after(durationMs, () -> cluster.network.heal(a, b));
  }
}
