package dapplestair.world;

import dapplestair.json.Json;
import dapplestair.ports.HttpReply;

/**
 * Queries all controllers about a job within milliseconds and submits accepted jobs again. {@link
 * MonotonicReadsChecker} and {@link InvariantChecker} compare the answers with each other.
 */
final class ConcurrentReaders {
  /**
   * Offsets in milliseconds of the successive rounds of requests; they lie within the delay of a
   * message, of a put and of a report.
   */
  private static final long[] OFFSETS_MS = {0, 3, 9, 30, 100, 400, 1500};

  private static final long POLL_TIMEOUT_MS = 2000;
  private static final long SUBMIT_TIMEOUT_MS = 5000;

  private final SimulatedCluster cluster;

  /** Number of answers that contained a status. */
  int statusAnswers;

  ConcurrentReaders(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Queries each controller in several rounds from now on; every second round also submits the job
   * again.
   */
  void queryAllControllers(SimulatedUsers.KnownJob job) {
    for (int i = 0; i < OFFSETS_MS.length; i++) {
      boolean submitsAgain = i % 2 == 1;
      cluster.sim.after(
          OFFSETS_MS[i],
          () ->
              cluster.nodes.forEach(
                  n -> {
                    poll(job, n);
                    if (submitsAgain) {
                      submitAgain(job, n);
                    }
                  }));
    }
  }

  /** Polls the status of a job. */
  void poll(SimulatedUsers.KnownJob job, SimulatedCluster.ControllerNode node) {
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
      cluster.users.checkReportedStatus(job, finalStatusWhenAsked, reply);
    }
  }
}
