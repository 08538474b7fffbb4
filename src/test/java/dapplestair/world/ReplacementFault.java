package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Faults that are injected while workers are replaced. */
enum ReplacementFault {
  LEADERS_END {
    @Override
    void inject(SimulatedCluster cluster) {
      if (cluster.leader() != null) {
        cluster.leader().crash(cluster.sim.between(500, 5000));
      }
    }
  },
  ALL_END {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.nodes.forEach(n -> n.crash(cluster.sim.between(500, 5000)));
    }
  },
  OLD_DIES {
    @Override
    void inject(SimulatedCluster cluster) {
      machinesBeingDrained(cluster).stream().limit(1).forEach(EmulatedWorker::powerOff);
    }
  },
  OLD_HANGS {
    @Override
    void inject(SimulatedCluster cluster) {
      machinesBeingDrained(cluster).stream()
          .limit(1)
          .forEach(m -> m.hang(cluster.sim.between(2000, 25_000)));
    }
  },
  OLD_IS_CUT_OFF {
    @Override
    void inject(SimulatedCluster cluster) {
      boolean holdMessages = cluster.sim.chance(0.5);
      for (EmulatedWorker machine : machinesBeingDrained(cluster)) {
        for (SimulatedCluster.ControllerNode node : cluster.nodes) {
          for (String address :
              List.of("node-" + node.index, SimulatedCluster.clientAddress(node.index))) {
            cluster.network.cut(address, machine.endpoint(), holdMessages);
            cluster.sim.after(9000, () -> cluster.network.heal(address, machine.endpoint()));
          }
        }
      }
    }
  },
  OLD_IS_TAKEN {
    @Override
    void inject(SimulatedCluster cluster) {
      machinesBeingDrained(cluster).stream()
          .limit(1)
          .forEach(m -> m.reclaim(cluster.sim.between(1000, 9000)));
    }
  },
  TAKER_DIES_WHILE_IT_FETCHES {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.cloud.machines().stream()
          .filter(m -> !m.isGone())
          .filter(m -> m.tasks().stream().anyMatch(t -> t.status().equals("fetching")))
          .limit(1)
          .toList()
          .forEach(EmulatedWorker::powerOff);
    }
  },
  ANSWERS_ARE_LOST {
    @Override
    void inject(SimulatedCluster cluster) {
      for (EmulatedWorker machine : machinesBeingDrained(cluster)) {
        for (SimulatedCluster.ControllerNode node : cluster.nodes) {
          cluster.network.cutOneWay(machine.endpoint(), "node-" + node.index);
          cluster.sim.after(
              4000, () -> cluster.network.healOneWay(machine.endpoint(), "node-" + node.index));
        }
      }
    }
  },
  NEW_ONES_SELDOM_BOOT {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.cloud.setNeverBootingShare(cluster.sim.chance(0.5) ? 0.5 : 0);
    }
  },
  CLOUD_IS_OUT {
    @Override
    void inject(SimulatedCluster cluster) {
      boolean down = cluster.sim.chance(0.5);
      cluster.cloud.setDown(down);
      cluster.cloud.setCapacityShare(down ? 1 : 0.4);
      cluster.sim.after(
          12_000,
          () -> {
            cluster.cloud.setDown(false);
            cluster.cloud.setCapacityShare(1);
          });
    }
  },
  STATE_IS_OUT {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.state.beginOutage();
      cluster.sim.after(cluster.sim.between(2000, 15_000), cluster.state::endOutage);
    }
  },
  CLOUD_ACTS_LATE {
    @Override
    void inject(SimulatedCluster cluster) {
      delayRequestsOfLeader(cluster, "cloud:1");
    }
  },
  STATE_ACTS_LATE {
    @Override
    void inject(SimulatedCluster cluster) {
      delayRequestsOfLeader(cluster, "state:1");
    }
  },
  GUARANTEE_IS_CALLED {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.users.submitModifiedArray(
          "two", 60, 6, b -> b.put("rank", "high").put("loaners", false));
      cluster.users.submitModifiedArray(
          "one", 60, 20, b -> b.put("rank", "low").put("loaners", false));
    }
  },
  A_ZONE_IS_CUT {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.cutZone(
          SimulatedCluster.ZONES.get((int) cluster.sim.between(0, 2)),
          cluster.sim.chance(0.5),
          14_000);
    }
  },
  A_BURST_COMES {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.users.submitArray("two", "standard", 80, 8);
      cluster.users.submitService("two", 2);
    }
  },
  SPOT_WAVE {
    @Override
    void inject(SimulatedCluster cluster) {
      for (EmulatedWorker machine : cluster.cloud.machines()) {
        if (machine.isSpot() && cluster.sim.chance(0.5)) {
          machine.reclaim(cluster.sim.chance(0.5) ? 0 : 6000);
        }
      }
    }
  };

  abstract void inject(SimulatedCluster cluster);

  /**
   * Holds back the requests of the current leader to {@code receiver} until another controller may
   * lead.
   */
  private static void delayRequestsOfLeader(SimulatedCluster cluster, String receiver) {
    if (cluster.leader() != null) {
      String sender = "node-" + cluster.leader().index;
      cluster.network.cut(sender, receiver, true);
      cluster.sim.after(
          cluster.sim.between(2000, 12_000), () -> cluster.network.heal(sender, receiver));
    }
  }

  /** Returns the machines that are being drained according to the recorded replacement order. */
  static List<EmulatedWorker> machinesBeingDrained(SimulatedCluster cluster) {
    JsonNode order = cluster.state.value("live/replace/night");
    Set<String> names =
        order == null
            ? Set.of()
            : StreamSupport.stream(order.path("progress").path("batch").spliterator(), false)
                .map(JsonNode::asText)
                .collect(Collectors.toSet());
    return cluster.cloud.machines().stream()
        .filter(m -> !m.isGone() && names.contains(m.id()))
        .toList();
  }
}
