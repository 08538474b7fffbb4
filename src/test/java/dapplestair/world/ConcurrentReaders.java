package dapplestair.world;

import dapplestair.json.Json;
import dapplestair.ports.HttpReply;

/**
 * Users who ask at all controllers within milliseconds, and submit again what was accepted. Answers
 * are held against each other by {@link MonotonicReadsChecker} and {@link InvariantChecker}.
 */
final class ConcurrentReaders {
  /** Of one look after the other, in milliseconds: within a message, a put, a report. */
  private static final long[] MOMENTS = {0, 3, 9, 30, 100, 400, 1500};

  private static final long POLL_MS = 2000;
  private static final long SUBMIT_MS = 5000;

  private final SimulatedCluster world;

  /** Answers that told a state. */
  int told;

  ConcurrentReaders(SimulatedCluster world) {
    this.world = world;
  }

  /** From now on, for a moment: each controller is asked, and every other time told again. */
  void around(SimulatedUsers.KnownJob job) {
    for (int i = 0; i < MOMENTS.length; i++) {
      boolean again = i % 2 == 1;
      world.sim.after(
          MOMENTS[i],
          () ->
              world.nodes.forEach(
                  n -> {
                    ask(job, n);
                    if (again) {
                      repeat(job, n);
                    }
                  }));
    }
  }

  /** Asks for a job's state. */
  void ask(SimulatedUsers.KnownJob job, SimulatedCluster.ControllerNode node) {
    call(job, node, "GET", "/submissions/" + job.ref, null, POLL_MS);
  }

  /** Submits a job again. */
  void repeat(SimulatedUsers.KnownJob job, SimulatedCluster.ControllerNode node) {
    call(job, node, "POST", "/submissions", Json.bytes(job.body), SUBMIT_MS);
  }

  private void call(
      SimulatedUsers.KnownJob job,
      SimulatedCluster.ControllerNode node,
      String method,
      String path,
      byte[] body,
      long timeoutMs) {
    String before = job.finalState();
    world.net.call(
        "users",
        SimulatedCluster.client(node.index),
        method,
        path,
        body,
        timeoutMs,
        reply -> heard(job, before, reply));
  }

  private void heard(SimulatedUsers.KnownJob job, String before, HttpReply reply) {
    if (reply.status() == 200 || reply.status() == 201) {
      told++;
      world.checker.told(job, before, Json.parse(reply.body()).path("status").asText());
    }
  }
}
