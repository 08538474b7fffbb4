package dapplestair.world;

import dapplestair.json.Json;
import dapplestair.ports.HttpReply;

/**
 * Users who ask at all controllers within milliseconds, and submit again what was accepted. Answers
 * are held against each other by {@link MonotonicReadsChecker} and {@link InvariantChecker}.
 */
final class ConcurrentReaders {
  /** Of one look after the other, in milliseconds: within a message, a put, a report. */
  private static final long[] OFFSETS_MS = {0, 3, 9, 30, 100, 400, 1500};

  private static final long POLL_TIMEOUT_MS = 2000;
  private static final long SUBMIT_TIMEOUT_MS = 5000;

  private final SimulatedCluster cluster;

  /** Answers that told a state. */
  int statusAnswers;

  ConcurrentReaders(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** From now on, for a moment: each controller is asked, and every other time told again. */
  void queryAllControllers(SimulatedUsers.KnownJob job) {
    for (int i = 0; i < OFFSETS_MS.length; i++) {
      boolean submitsAgain = i % 2 == 1;
      cluster.sim.after(
          OFFSETS_MS[i],
          () ->
              cluster.nodes.forEach(
                  n -> {
                    ask(job, n);
                    if (submitsAgain) {
                      submitAgain(job, n);
                    }
                  }));
    }
  }

  /** Asks for a job's state. */
  void ask(SimulatedUsers.KnownJob job, SimulatedCluster.ControllerNode node) {
    call(job, node, "GET", "/submissions/" + job.ref, null, POLL_TIMEOUT_MS);
  }

  /** Submits a job again. */
  void submitAgain(SimulatedUsers.KnownJob job, SimulatedCluster.ControllerNode node) {
    call(job, node, "POST", "/submissions", Json.bytes(job.body), SUBMIT_TIMEOUT_MS);
  }

  private void call(
      SimulatedUsers.KnownJob job,
      SimulatedCluster.ControllerNode node,
      String method,
      String path,
      byte[] body,
      long timeoutMs) {
    String finalStatusWhenAsked = job.finalStatus();
    cluster.network.call(
        "users",
        SimulatedCluster.clientAddress(node.index),
        method,
        path,
        body,
        timeoutMs,
        reply -> checkReportedStatus(job, finalStatusWhenAsked, reply));
  }

  private void checkReportedStatus(
      SimulatedUsers.KnownJob job, String finalStatusWhenAsked, HttpReply reply) {
    if (reply.status() == 200 || reply.status() == 201) {
      statusAnswers++;
      cluster.checker.statusReported(
          job, finalStatusWhenAsked, Json.parse(reply.body()).path("status").asText());
    }
  }
}
