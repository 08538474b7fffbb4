package dapplestair.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Copies of workers' reports that are kept until the next leader has begun, or has acted. */
final class DelayedReports {
  /** What the next leader has done before the copies arrive. */
  enum Arrival {
    /** It has begun: it shows its token to machines. */
    BEGUN,
    /** It has launched a task. */
    ACTED
  }

  private record Kept(long at, SimulatedNetwork.Request report) {}

  private final SimulatedCluster world;
  private final long keptMs;
  private final double share;
  private final ArrayDeque<Kept> kept = new ArrayDeque<>();

  /** Keeps this share of the reports of the last {@code keptMs}. */
  DelayedReports(SimulatedCluster world, double share, long keptMs) {
    this.world = world;
    this.share = share;
    this.keptMs = keptMs;
    world.net.observe(this::keep);
  }

  private void keep(SimulatedNetwork.Request r) {
    if (r.path().equals("/agent/beat") && (share >= 1 || world.sim.chance(share))) {
      kept.add(new Kept(world.sim.now(), r));
    }
    while (!kept.isEmpty() && kept.peek().at < world.sim.now() - keptMs) {
      kept.poll();
    }
  }

  /**
   * The reports kept so far arrive once the next leader has begun or acted, in any order and within
   * {@code withinMs}: at every controller, or at the new leader alone.
   */
  void arrive(Arrival arrival, boolean everywhere, long withinMs) {
    List<Kept> copies = new ArrayList<>(kept);
    long term = term();
    Predicate<SimulatedNetwork.Request> sign =
        r ->
            r.path().equals("/orders")
                && term() > term
                && world.leader() != null
                && r.from().equals("node-" + world.leader().index)
                && (arrival == Arrival.BEGUN || r.orders("launch"));
    world.net.when(sign, 0, () -> copies.forEach(c -> send(c, everywhere, withinMs)));
  }

  private long term() {
    return world.state.value("live/term").path("term").asLong();
  }

  private void send(Kept copy, boolean everywhere, long withinMs) {
    for (SimulatedCluster.ControllerNode node : world.nodes) {
      if (everywhere || node == world.leader()) {
        String to = SimulatedCluster.client(node.index);
        world.sim.after(world.sim.between(0, withinMs), () -> world.net.late(copy.report(), to));
      }
    }
  }
}
