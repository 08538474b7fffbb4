package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Users submit jobs that cannot run or lack a field, submit accepted jobs again, also without a
 * field, and cancel completed jobs, at controllers of which some have just started. {@link
 * MonotonicReadsChecker} knows which answer each request must get.
 */
class InvalidRequestsTest {
  private static final long REQUEST_INTERVAL_MS = 250;
  private static final long ANSWER_TIMEOUT_MS = 5000;
  private static final long DURATION_MS = 90_000;
  private static final long RESTART_INTERVAL_MS = 7000;

  /** Sends the requests and counts their outcomes. */
  private static final class Requests {
    final SimulatedCluster cluster;
    final ConcurrentReaders readers;
    final long endMs;
    int invalidJobs;
    int refusedJobs;
    int acceptedRepeats;
    int cancelledDoneJobs;

    Requests(SimulatedCluster cluster) {
      this.cluster = cluster;
      readers = new ConcurrentReaders(cluster);
      endMs = cluster.sim.now() + DURATION_MS;
    }

    void sendNext() {
      if (cluster.sim.now() > endMs) {
        return;
      }
      switch ((int) cluster.sim.between(0, 3)) {
        case 0 -> cancelDoneJob();
        case 1 -> randomJob(t -> t.accepted).forEach(t -> readers.submitAgain(t, randomNode()));
        case 2 -> randomJob(t -> t.accepted).forEach(this::repeatWithoutField);
        default -> randomJob(t -> true).forEach(t -> submitInvalid(t.body));
      }
      cluster.sim.after(REQUEST_INTERVAL_MS, this::sendNext);
    }

    /** Returns a random job that meets the condition, or none if there is no such job. */
    private List<SimulatedUsers.KnownJob> randomJob(Predicate<SimulatedUsers.KnownJob> condition) {
      List<SimulatedUsers.KnownJob> matchingJobs =
          cluster.users.jobs.values().stream().filter(condition).toList();
      return matchingJobs.isEmpty()
          ? matchingJobs
          : List.of(matchingJobs.get((int) cluster.sim.between(0, matchingJobs.size() - 1)));
    }

    private SimulatedCluster.ControllerNode randomNode() {
      return cluster.nodes.get((int) cluster.sim.between(0, cluster.nodes.size() - 1));
    }

    private void cancelDoneJob() {
      randomJob(t -> t.done)
          .forEach(
              t -> {
                cancelledDoneJobs++;
                cluster.users.cancelAt(t, randomNode());
              });
    }

    private void repeatWithoutField(SimulatedUsers.KnownJob job) {
      ObjectNode body = job.body.deepCopy();
      body.remove("imageGb");
      submit(body, r -> acceptedRepeats += r.status() == 200 ? 1 : 0);
    }

    private void submitInvalid(JsonNode template) {
      ObjectNode body = template.deepCopy();
      body.put("ref", "od-%06d".formatted(++invalidJobs));
      submitUntilRefused(InvalidJob.invalidate(body, cluster.sim));
    }

    private void submitUntilRefused(ObjectNode body) {
      submit(
          body,
          r -> {
            if (r.status() == 400 || r.status() == 422) {
              refusedJobs++;
              String path = "/submissions/" + body.path("ref").asText();
              cluster.nodes.forEach(n -> call(n, "GET", path, null, answer -> {}));
            } else if (cluster.sim.now() < endMs) {
              cluster.sim.after(1000, () -> submitUntilRefused(body));
            }
          });
    }

    private void submit(ObjectNode body, Consumer<HttpReply> onReply) {
      call(randomNode(), "POST", "/submissions", Json.bytes(body), onReply);
    }

    private void call(
        SimulatedCluster.ControllerNode node,
        String method,
        String path,
        byte[] body,
        Consumer<HttpReply> onReply) {
      cluster.network.call(
          "users",
          SimulatedCluster.clientAddress(node.index),
          method,
          path,
          body,
          ANSWER_TIMEOUT_MS,
          onReply);
    }
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9151, 9152, 9153, 9154})
  void invalidAndRepeatedRequestsGetTheExpectedAnswers(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    Requests requests = new Requests(cluster);
    requests.sendNext();
    for (long ms = 0; ms < DURATION_MS; ms += RESTART_INTERVAL_MS) {
      cluster.run(RESTART_INTERVAL_MS);
      cluster.nodes.get((int) cluster.sim.between(0, 2)).crash(cluster.sim.between(60, 2000));
    }
    SeededDaysTest.settle(cluster);
    assertTrue(requests.refusedJobs > 40, requests.refusedJobs + " invalid jobs were refused");
    assertTrue(
        requests.acceptedRepeats > 40,
        requests.acceptedRepeats + " repeated submissions were answered with 200");
    assertTrue(
        requests.cancelledDoneJobs > 20,
        requests.cancelledDoneJobs + " cancellations of completed jobs were requested");
  }
}
