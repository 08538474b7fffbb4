package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.emulator.EmulatedWorker;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** What goes wrong while workers are replaced. */
enum ReplacementFault {
  LEADERS_END {
    @Override
    void strike(SimulatedCluster w) {
      if (w.leader() != null) {
        w.leader().crash(w.sim.between(500, 5000));
      }
    }
  },
  ALL_END {
    @Override
    void strike(SimulatedCluster w) {
      w.nodes.forEach(n -> n.crash(w.sim.between(500, 5000)));
    }
  },
  OLD_DIES {
    @Override
    void strike(SimulatedCluster w) {
      batch(w).stream().limit(1).forEach(EmulatedWorker::end);
    }
  },
  OLD_HANGS {
    @Override
    void strike(SimulatedCluster w) {
      batch(w).stream().limit(1).forEach(m -> m.hang(w.sim.between(2000, 25_000)));
    }
  },
  OLD_IS_CUT_OFF {
    @Override
    void strike(SimulatedCluster w) {
      boolean hold = w.sim.chance(0.5);
      for (EmulatedWorker m : batch(w)) {
        for (SimulatedCluster.ControllerNode n : w.nodes) {
          for (String node : List.of("node-" + n.index, SimulatedCluster.clientAddress(n.index))) {
            w.network.cut(node, m.endpoint(), hold);
            w.sim.after(9000, () -> w.network.heal(node, m.endpoint()));
          }
        }
      }
    }
  },
  OLD_IS_TAKEN {
    @Override
    void strike(SimulatedCluster w) {
      batch(w).stream().limit(1).forEach(m -> m.recall(w.sim.between(1000, 9000)));
    }
  },
  TAKER_DIES_WHILE_IT_FETCHES {
    @Override
    void strike(SimulatedCluster w) {
      w.cloud.machines().stream()
          .filter(m -> !m.gone())
          .filter(m -> m.tasks().stream().anyMatch(t -> t.status().equals("fetching")))
          .limit(1)
          .toList()
          .forEach(EmulatedWorker::end);
    }
  },
  ANSWERS_ARE_LOST {
    @Override
    void strike(SimulatedCluster w) {
      for (EmulatedWorker m : batch(w)) {
        for (SimulatedCluster.ControllerNode n : w.nodes) {
          w.network.cutOneWay(m.endpoint(), "node-" + n.index);
          w.sim.after(4000, () -> w.network.healOneWay(m.endpoint(), "node-" + n.index));
        }
      }
    }
  },
  NEW_ONES_SELDOM_BOOT {
    @Override
    void strike(SimulatedCluster w) {
      w.cloud.setNeverBoots(w.sim.chance(0.5) ? 0.5 : 0);
    }
  },
  CLOUD_IS_OUT {
    @Override
    void strike(SimulatedCluster w) {
      boolean down = w.sim.chance(0.5);
      w.cloud.setDown(down);
      w.cloud.setCapacity(down ? 1 : 0.4);
      w.sim.after(
          12_000,
          () -> {
            w.cloud.setDown(false);
            w.cloud.setCapacity(1);
          });
    }
  },
  STATE_IS_OUT {
    @Override
    void strike(SimulatedCluster w) {
      w.state.fail();
      w.sim.after(w.sim.between(2000, 15_000), w.state::recover);
    }
  },
  CLOUD_ACTS_LATE {
    @Override
    void strike(SimulatedCluster w) {
      late(w, "cloud:1");
    }
  },
  STATE_ACTS_LATE {
    @Override
    void strike(SimulatedCluster w) {
      late(w, "state:1");
    }
  },
  GUARANTEE_IS_CALLED {
    @Override
    void strike(SimulatedCluster w) {
      w.users.submitModifiedArray("two", 60, 6, b -> b.put("rank", "high").put("loaners", false));
      w.users.submitModifiedArray("one", 60, 20, b -> b.put("rank", "low").put("loaners", false));
    }
  },
  A_ZONE_IS_CUT {
    @Override
    void strike(SimulatedCluster w) {
      w.cutZone(SimulatedCluster.ZONES.get((int) w.sim.between(0, 2)), w.sim.chance(0.5), 14_000);
    }
  },
  A_BURST_COMES {
    @Override
    void strike(SimulatedCluster w) {
      w.users.submitArray("two", "standard", 80, 8);
      w.users.submitService("two", 2);
    }
  },
  SPOT_WAVE {
    @Override
    void strike(SimulatedCluster w) {
      for (EmulatedWorker m : w.cloud.machines()) {
        if (m.spot() && w.sim.chance(0.5)) {
          m.recall(w.sim.chance(0.5) ? 0 : 6000);
        }
      }
    }
  };

  abstract void strike(SimulatedCluster w);

  /** What a leader sends there is held back, and done when another one may lead. */
  private static void late(SimulatedCluster w, String to) {
    if (w.leader() != null) {
      String from = "node-" + w.leader().index;
      w.network.cut(from, to, true);
      w.sim.after(w.sim.between(2000, 12_000), () -> w.network.heal(from, to));
    }
  }

  /** The machines that are being emptied, by what is on record. */
  static List<EmulatedWorker> batch(SimulatedCluster w) {
    JsonNode order = w.state.value("live/replace/night");
    Set<String> names =
        order == null
            ? Set.of()
            : StreamSupport.stream(order.path("progress").path("batch").spliterator(), false)
                .map(JsonNode::asText)
                .collect(Collectors.toSet());
    return w.cloud.machines().stream().filter(m -> !m.gone() && names.contains(m.id())).toList();
  }
}
