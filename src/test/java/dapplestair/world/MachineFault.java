package dapplestair.world;

import dapplestair.emulator.EmulatedWorker;

/** Faults by which a machine with cancelled tasks does not carry out its commands. */
enum MachineFault {
  /** All messages to and from the machine are lost. */
  CUT {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, true, false, durationMs);
    }
  },
  /** All messages to and from the machine are held and arrive after the fault ends. */
  HELD {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, true, true, durationMs);
    }
  },
  /** The machine reports and gets the answers, but direct requests and commands do not reach it. */
  UNASKED {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, true, false, true, durationMs);
    }
  },
  /** Direct requests and commands reach the machine, but its own reports reach no controller. */
  MUTE {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      cut(cluster, machine, false, true, false, durationMs);
    }
  },
  /** The machine reports, but receives neither answers nor commands. */
  DEAF {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      machine.cutInbound(durationMs);
    }
  },
  /** The machine hangs and resumes within its lease. */
  HANG {
    @Override
    void inject(SimulatedCluster cluster, EmulatedWorker machine, long durationMs) {
      machine.hang(Math.min(durationMs, SimulatedCluster.LEASE_MS * 9 / 10));
    }
  },
  /** The machine hangs beyond its lease, with its tasks still on it. */
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
