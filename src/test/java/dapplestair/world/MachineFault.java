package dapplestair.world;

import dapplestair.emulator.EmulatedWorker;

/** The ways in which a machine with cancelled tasks does not do what it is told. */
enum MachineFault {
  /** Nothing reaches it or comes from it; the messages are lost. */
  CUT {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      cut(w, m, true, true, false, ms);
    }
  },
  /** Nothing reaches it or comes from it; the messages arrive once this is over. */
  HELD {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      cut(w, m, true, true, true, ms);
    }
  },
  /** It reports and hears the answers, but can't be asked or commanded directly. */
  UNASKED {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      cut(w, m, true, false, true, ms);
    }
  },
  /** It can be asked and commanded, but reaches no controller by itself. */
  MUTE {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      cut(w, m, false, true, false, ms);
    }
  },
  /** It reports, and hears nothing. */
  DEAF {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      m.deafen(ms);
    }
  },
  /** It hangs and goes on within its lease. */
  HANG {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      m.hang(Math.min(ms, SimulatedCluster.LEASE_MS * 9 / 10));
    }
  },
  /** It hangs past its lease, with its tasks on it. */
  STALL {
    @Override
    void happen(SimulatedCluster w, EmulatedWorker m, long ms) {
      m.stall(ms);
    }
  };

  abstract void happen(SimulatedCluster w, EmulatedWorker m, long ms);

  private static void cut(
      SimulatedCluster w,
      EmulatedWorker m,
      boolean commands,
      boolean reports,
      boolean hold,
      long ms) {
    for (SimulatedCluster.ControllerNode n : w.nodes) {
      if (commands) {
        cut(w, "node-" + n.index, m.endpoint(), hold, ms);
      }
      if (reports) {
        cut(w, SimulatedCluster.clientAddress(n.index), m.endpoint(), hold, ms);
      }
    }
  }

  private static void cut(SimulatedCluster w, String a, String b, boolean hold, long ms) {
    w.network.cut(a, b, hold);
    w.sim.after(ms, () -> w.network.heal(a, b));
  }
}
