package dapplestair.world;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/** Ways in which the leader changes. */
enum LeaderChange {
  /** The leader gives up its lease and ends, as for a new version. */
  PLANNED {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.shutDownGracefully(3000);
    }
  },
  /** The leader's process ends. */
  CRASH {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.crash(cluster.sim.between(2000, 6000));
    }
  },
  /** The leader's process ends and restarts before any other controller may lead. */
  BACK_AT_ONCE {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.crash(cluster.sim.between(60, 900));
    }
  },
  /** The leader hands over, and so does the next leader. */
  THERE_AND_BACK {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.shutDownGracefully(700);
      cluster.sim.after(
          2500,
          () -> {
            if (cluster.leader() != null) {
              cluster.leader().shutDownGracefully(700);
            }
          });
    }
  },
  /** The leader's process is suspended for so long that its lease expires. */
  FROZEN {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.freeze(5000);
    }
  },
  /**
   * The leader loses its connections to the state service and the other controllers, but not to
   * workers and users.
   */
  ALONE {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      new RandomFaults(cluster).isolateFromPeersAndState(leader, cluster.sim.chance(0.5), 8000);
    }
  },
  /** The state service refuses the leader only. */
  REFUSED {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      String name = "node-" + leader.index;
      cluster.state.setRefused(name, true);
      cluster.sim.after(8000, () -> cluster.state.setRefused(name, false));
    }
  };

  abstract void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader);

  /**
   * Removes the leader's key: the current leader is deposed, and any controller can acquire the key
   * at once.
   */
  static void removeLeaderKey(SimulatedCluster cluster) {
    ObjectNode body = Json.object();
    body.putArray("writes").addObject().put("remove", "live/leader");
    cluster.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
  }

  /** Injects this change at the current leader, if there is one. */
  void inject(SimulatedCluster cluster) {
    if (cluster.leader() != null) {
      inject(cluster, cluster.leader());
    }
  }
}
