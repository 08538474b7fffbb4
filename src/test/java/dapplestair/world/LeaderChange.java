package dapplestair.world;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;

/** The ways in which the lead changes hands. */
enum LeaderChange {
  /** The leader gives its hold back and ends, as for a new version. */
  PLANNED {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.shutDownGracefully(3000);
    }
  },
  /** Its process ends. */
  CRASH {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.crash(cluster.sim.between(2000, 6000));
    }
  },
  /** Its process ends and is back before anybody else may lead. */
  BACK_AT_ONCE {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.crash(cluster.sim.between(60, 900));
    }
  },
  /** It hands over, and whoever leads next hands over as well. */
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
  /** Its process stands still for so long that its hold ends. */
  FROZEN {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      leader.freeze(5000);
    }
  },
  /** It loses the state service and the other controllers, but no worker and no user. */
  ALONE {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      new RandomFaults(cluster).isolateFromPeersAndState(leader, cluster.sim.chance(0.5), 8000);
    }
  },
  /** The state service refuses it alone. */
  REFUSED {
    @Override
    void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader) {
      String name = "node-" + leader.index;
      cluster.state.refuse(name, true);
      cluster.sim.after(8000, () -> cluster.state.refuse(name, false));
    }
  };

  abstract void inject(SimulatedCluster cluster, SimulatedCluster.ControllerNode leader);

  /** The leader's key is lost: whoever leads is deposed, and the key can be won again at once. */
  static void removeLeaderKey(SimulatedCluster cluster) {
    ObjectNode body = Json.object();
    body.putArray("writes").addObject().put("remove", "live/leader");
    cluster.state.request("noise", "POST", "/commit", Json.bytes(body), r -> {});
  }

  /** Whoever leads now, if anybody does, leads no more. */
  void inject(SimulatedCluster cluster) {
    if (cluster.leader() != null) {
      inject(cluster, cluster.leader());
    }
  }
}
