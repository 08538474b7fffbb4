package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cancellation, a question or a repeated submission meets the end of a job's last task, with no
 * other trouble: at the moment at which the task ends on its machine, or at which its end reaches
 * the state service, or while its end or its cancellation is on its way there, moved by a message,
 * a put or a report, at the leader or at others.
 */
class LastTaskEndTest {
  private static final int JOBS = 12;
  private static final long RUN_S = 4;

  /** The step of an end at which the request is sent. */
  enum Step {
    /** The last task exits on its machine. */
    TASK_EXITS,
    /** The job's end is on its way to the state service, and takes a while. */
    DONE_IS_SENT,
    /** A cancellation asked for when the task exited is on its way, and takes a while. */
    CANCELLATION_IS_SENT,
    /** The job's end is carried out; nobody has heard of it. */
    DONE_IS_PUT
  }

  /** Who sends what where. */
  private static final class Day {
    final SimulatedCluster w;
    final ConcurrentReaders readers;
    final Step step;
    final long moveMs;
    final Map<String, SimulatedUsers.KnownJob> jobs = new LinkedHashMap<>();
    final Map<String, Integer> completed = new LinkedHashMap<>();
    final Set<String> heldOnce = new HashSet<>();
    int met;

    Day(long seed, Step step, long moveMs) {
      w = new SimulatedCluster(seed);
      w.network.lossProbability = 0;
      w.users.cancelledArrayShare = 0;
      readers = new ConcurrentReaders(w);
      this.step = step;
      this.moveMs = moveMs;
      w.checker.completionListener = this::completed;
      w.network.commits.commitListener = this::carriedOut;
      SimulatedNetwork.RequestInterceptor others = w.network.interceptor;
      w.network.interceptor =
          (from, method, path, body, done) -> {
            if (path.equals("/commit")) {
              sent(from, Json.parse(body));
            }
            return others.intercept(from, method, path, body, done);
          };
    }

    void submit(int i) {
      SimulatedUsers.KnownJob job =
          w.users.submitArray(i % 2 == 0 ? "one" : "two", "high", 1 + i % 3, RUN_S);
      jobs.put(job.ref, job);
    }

    private void completed(String task) {
      SimulatedUsers.KnownJob job = jobs.get(task.substring(0, task.indexOf('/')));
      boolean last = job != null && completed.merge(job.ref, 1, Integer::sum) == job.taskCount;
      if (last && step == Step.TASK_EXITS) {
        w.sim.after(moveMs, () -> meet(job));
      } else if (last && step == Step.CANCELLATION_IS_SENT) {
        w.users.cancelAt(job, w.nodes.get((w.leader().index + 1) % 3));
      }
    }

    private void sent(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      boolean held =
          step == Step.DONE_IS_SENT
                  && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("done"))
              || step == Step.CANCELLATION_IS_SENT
                  && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("aborted"));
      if (job != null && held && heldOnce.add(job.ref)) {
        w.network.cut(from, "state:1", true);
        w.sim.after(moveMs, () -> w.network.heal(from, "state:1"));
        meet(job);
      }
    }

    private void carriedOut(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      if (job != null
          && step == Step.DONE_IS_PUT
          && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("done"))) {
        w.sim.after(moveMs, () -> meet(job));
      }
    }

    /** In turn: cancelled at the leader, at another, at all at once, asked for and repeated. */
    private void meet(SimulatedUsers.KnownJob job) {
      int leader = w.leader().index;
      int kind = met++ % 4;
      if (kind == 3) {
        readers.queryAllControllers(job);
        return;
      }
      for (SimulatedCluster.ControllerNode n : w.nodes) {
        if (kind == 2 || (n.index == leader) == (kind == 0)) {
          w.users.cancelAt(job, n);
          readers.poll(job, n);
          readers.submitAgain(job, n);
        }
      }
      readers.queryAllControllers(job);
    }

    String recorded(SimulatedUsers.KnownJob job) {
      JsonNode over = w.state.value(CommitInterceptor.ENDED_JOB_KEY_PREFIX + job.ref);
      assertNotNull(over, job.ref + " is not over");
      return over.path("status").asText();
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} and {2} ms")
  @CsvSource({
    "9301,TASK_EXITS,0",
    "9302,TASK_EXITS,2",
    "9304,TASK_EXITS,8",
    "9307,TASK_EXITS,60",
    "9309,TASK_EXITS,1500",
    "9310,DONE_IS_PUT,0",
    "9311,DONE_IS_PUT,2",
    "9312,DONE_IS_PUT,30",
    "9313,DONE_IS_SENT,10",
    "9314,DONE_IS_SENT,25",
    "9315,DONE_IS_SENT,60",
    "9316,DONE_IS_SENT,400",
    "9317,CANCELLATION_IS_SENT,600",
    "9318,CANCELLATION_IS_SENT,1200",
    "9319,CANCELLATION_IS_SENT,2500"
  })
  void aRequestMeetsTheEnd(long seed, Step step, long moveMs) {
    Day d = new Day(seed, step, moveMs);
    d.w.run(25_000);
    for (int i = 0; i < JOBS; i++) {
      d.submit(i);
      d.w.run(2500);
    }
    d.w.run(20_000);
    SeededDaysTest.settle(d.w);
    assertTrue(2 * d.met >= JOBS, d.met + " of " + JOBS + " ends were met");
    for (SimulatedUsers.KnownJob job : d.jobs.values()) {
      assertEquals(d.recorded(job), job.finalStatus(), job.ref);
      if (step == Step.DONE_IS_PUT) {
        assertEquals("done", job.finalStatus(), job.ref);
      }
    }
  }
}
