package dapplestair.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Keeps copies of workers' reports and delivers them after the next leader has begun to lead or has
 * launched a task.
 */
final class DelayedReports {
  /** What the next leader does before the copies arrive. */
  enum Arrival {
    /** It has begun to lead: it sends its token to machines. */
    BEGUN,
    /** It has launched a task. */
    ACTED
  }

  private record KeptReport(long sentAtMs, SimulatedNetwork.Request report) {}

  private final SimulatedCluster cluster;
  private final long retentionMs;
  private final double keptShare;
  private final ArrayDeque<KeptReport> keptReports = new ArrayDeque<>();

  /** Keeps this share of the reports of the last {@code retentionMs}. */
  DelayedReports(SimulatedCluster cluster, double share, long retentionMs) {
    this.cluster = cluster;
    this.keptShare = share;
    this.retentionMs = retentionMs;
    cluster.network.observe(this::keep);
  }

  private void keep(SimulatedNetwork.Request request) {
    if (request.path().equals("/agent/beat") && (keptShare >= 1 || cluster.sim.chance(keptShare))) {
      keptReports.add(new KeptReport(cluster.sim.now(), request));
    }
    while (!keptReports.isEmpty()
        && keptReports.peek().sentAtMs < cluster.sim.now() - retentionMs) {
      keptReports.poll();
    }
  }

  /**
   * Delivers the reports kept so far once the next leader has reached the state {@code arrival}, in
   * random order and within {@code withinMs}: to every controller, or to the new leader only.
   */
  void deliverAfterLeaderChange(Arrival arrival, boolean toAllControllers, long withinMs) {
    List<KeptReport> copies = new ArrayList<>(keptReports);
    long termBefore = currentTerm();
    Predicate<SimulatedNetwork.Request> isNewLeaderActive =
        request ->
            request.path().equals("/orders")
                && currentTerm() > termBefore
                && cluster.leader() != null
                && request.from().equals("node-" + cluster.leader().index)
                && (arrival == Arrival.BEGUN || request.hasOrder("launch"));
    cluster.network.runAfterFirst(
        isNewLeaderActive, 0, () -> copies.forEach(c -> send(c, toAllControllers, withinMs)));
  }

  private long currentTerm() {
    return cluster.state.value("live/term").path("term").asLong();
  }

  private void send(KeptReport copy, boolean toAllControllers, long withinMs) {
    for (SimulatedCluster.ControllerNode node : cluster.nodes) {
      if (toAllControllers || node == cluster.leader()) {
        String receiver = SimulatedCluster.clientAddress(node.index);
        cluster.sim.after(
            cluster.sim.between(0, withinMs),
            () -> cluster.network.deliverLate(copy.report(), receiver));
      }
    }
  }
}
