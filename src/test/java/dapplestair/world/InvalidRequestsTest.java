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
 * Users send jobs that can't run or lack a field, submit accepted jobs again, also without a field,
 * and cancel what is done, at controllers of which some have just started. {@link
 * MonotonicReadsChecker} knows which answer each must get.
 */
class InvalidRequestsTest {
  private static final long EVERY_MS = 250;
  private static final long ANSWER_MS = 5000;
  private static final long FOR_MS = 90_000;
  private static final long RESTART_EVERY_MS = 7000;

  /** The requests of one day. */
  private static final class Requests {
    final SimulatedCluster w;
    final ConcurrentReaders readers;
    final long until;
    int made;
    int refused;
    int repeated;
    int cancelledDone;

    Requests(SimulatedCluster w) {
      this.w = w;
      readers = new ConcurrentReaders(w);
      until = w.sim.now() + FOR_MS;
    }

    void next() {
      if (w.sim.now() > until) {
        return;
      }
      switch ((int) w.sim.between(0, 3)) {
        case 0 -> cancelDone();
        case 1 -> some(t -> t.accepted).forEach(t -> readers.submitAgain(t, someNode()));
        case 2 -> some(t -> t.accepted).forEach(this::repeatWithoutField);
        default -> some(t -> true).forEach(t -> submitOdd(t.body));
      }
      w.sim.after(EVERY_MS, this::next);
    }

    /** One of the jobs that pass, if there are any. */
    private List<SimulatedUsers.KnownJob> some(Predicate<SimulatedUsers.KnownJob> wanted) {
      List<SimulatedUsers.KnownJob> all = w.users.jobs.values().stream().filter(wanted).toList();
      return all.isEmpty() ? all : List.of(all.get((int) w.sim.between(0, all.size() - 1)));
    }

    private SimulatedCluster.ControllerNode someNode() {
      return w.nodes.get((int) w.sim.between(0, w.nodes.size() - 1));
    }

    private void cancelDone() {
      some(t -> t.done)
          .forEach(
              t -> {
                cancelledDone++;
                w.users.cancelAt(t, someNode());
              });
    }

    private void repeatWithoutField(SimulatedUsers.KnownJob job) {
      ObjectNode body = job.body.deepCopy();
      body.remove("imageGb");
      submit(body, r -> repeated += r.status() == 200 ? 1 : 0);
    }

    private void submitOdd(JsonNode like) {
      ObjectNode body = like.deepCopy();
      body.put("ref", "od-%06d".formatted(++made));
      submitUntilRefused(InvalidJob.invalidate(body, w.sim));
    }

    private void submitUntilRefused(ObjectNode body) {
      submit(
          body,
          r -> {
            if (r.status() == 400 || r.status() == 422) {
              refused++;
              String path = "/submissions/" + body.path("ref").asText();
              w.nodes.forEach(n -> call(n, "GET", path, null, answer -> {}));
            } else if (w.sim.now() < until) {
              w.sim.after(1000, () -> submitUntilRefused(body));
            }
          });
    }

    private void submit(ObjectNode body, Consumer<HttpReply> done) {
      call(someNode(), "POST", "/submissions", Json.bytes(body), done);
    }

    private void call(
        SimulatedCluster.ControllerNode node,
        String method,
        String path,
        byte[] body,
        Consumer<HttpReply> done) {
      w.network.call(
          "users", SimulatedCluster.clientAddress(node.index), method, path, body, ANSWER_MS, done);
    }
  }

  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {9151, 9152, 9153, 9154})
  void oddRequestsGetTheirAnswers(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed);
    Requests requests = new Requests(w);
    requests.next();
    for (long ms = 0; ms < FOR_MS; ms += RESTART_EVERY_MS) {
      w.run(RESTART_EVERY_MS);
      w.nodes.get((int) w.sim.between(0, 2)).crash(w.sim.between(60, 2000));
    }
    SeededDaysTest.settle(w);
    assertTrue(requests.refused > 40, requests.refused + " odd jobs were refused");
    assertTrue(requests.repeated > 40, requests.repeated + " repetitions were answered 200");
    assertTrue(requests.cancelledDone > 20, requests.cancelledDone + " done jobs were cancelled");
  }
}
