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
  private static final class Scenario {
    final SimulatedCluster cluster;
    final ConcurrentReaders readers;
    final Step step;
    final long delayMs;
    final Map<String, SimulatedUsers.KnownJob> jobs = new LinkedHashMap<>();
    final Map<String, Integer> completedTaskCounts = new LinkedHashMap<>();
    final Set<String> jobsWithHeldCommit = new HashSet<>();
    int requestedEnds;

    Scenario(long seed, Step step, long delayMs) {
      cluster = new SimulatedCluster(seed);
      cluster.net.loss = 0;
      cluster.users.cancelledArrays = 0;
      readers = new ConcurrentReaders(cluster);
      this.step = step;
      this.delayMs = delayMs;
      cluster.checker.alsoCompleted = this::onTaskCompleted;
      cluster.net.commits.carriedOut = this::onCommitted;
      SimulatedNetwork.Tap previousTap = cluster.net.tap;
      cluster.net.tap =
          (from, method, path, body, done) -> {
            if (path.equals("/commit")) {
              onCommitSent(from, Json.parse(body));
            }
            return previousTap.asked(from, method, path, body, done);
          };
    }

    void submit(int i) {
      SimulatedUsers.KnownJob job =
          cluster.users.array(i % 2 == 0 ? "one" : "two", "high", 1 + i % 3, RUN_S);
      jobs.put(job.ref, job);
    }

    private void onTaskCompleted(String task) {
      SimulatedUsers.KnownJob job = jobs.get(task.substring(0, task.indexOf('/')));
      boolean last =
          job != null && completedTaskCounts.merge(job.ref, 1, Integer::sum) == job.steps;
      if (last && step == Step.TASK_EXITS) {
        cluster.sim.after(delayMs, () -> sendRequests(job));
      } else if (last && step == Step.CANCELLATION_IS_SENT) {
        cluster.users.cancelAt(job, cluster.nodes.get((cluster.leader().index + 1) % 3));
      }
    }

    private void onCommitSent(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.job(body)));
      boolean holdsCommit =
          step == Step.DONE_IS_SENT && CommitInterceptor.any(body, CommitInterceptor.ends("done"))
              || step == Step.CANCELLATION_IS_SENT
                  && CommitInterceptor.any(body, CommitInterceptor.ends("aborted"));
      if (job != null && holdsCommit && jobsWithHeldCommit.add(job.ref)) {
        cluster.net.cut(from, "state:1", true);
        cluster.sim.after(delayMs, () -> cluster.net.heal(from, "state:1"));
        sendRequests(job);
      }
    }

    private void onCommitted(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.job(body)));
      if (job != null
          && step == Step.DONE_IS_PUT
          && CommitInterceptor.any(body, CommitInterceptor.ends("done"))) {
        cluster.sim.after(delayMs, () -> sendRequests(job));
      }
    }

    /** In turn: cancelled at the leader, at another, at all at once, asked for and repeated. */
    private void sendRequests(SimulatedUsers.KnownJob job) {
      int leader = cluster.leader().index;
      int kind = requestedEnds++ % 4;
      if (kind == 3) {
        readers.around(job);
        return;
      }
      for (SimulatedCluster.ControllerNode n : cluster.nodes) {
        if (kind == 2 || (n.index == leader) == (kind == 0)) {
          cluster.users.cancelAt(job, n);
          readers.ask(job, n);
          readers.repeat(job, n);
        }
      }
      readers.around(job);
    }

    String recordedStatus(SimulatedUsers.KnownJob job) {
      JsonNode jobRecord = cluster.state.value(CommitInterceptor.OVER + job.ref);
      assertNotNull(jobRecord, job.ref + " is not over");
      return jobRecord.path("status").asText();
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
  void requestsAroundTheEndOfAJob(long seed, Step step, long delayMs) {
    Scenario scenario = new Scenario(seed, step, delayMs);
    scenario.cluster.run(25_000);
    for (int i = 0; i < JOBS; i++) {
      scenario.submit(i);
      scenario.cluster.run(2500);
    }
    scenario.cluster.run(20_000);
    SeededDaysTest.settle(scenario.cluster);
    assertTrue(
        2 * scenario.requestedEnds >= JOBS,
        scenario.requestedEnds + " of " + JOBS + " ends were met");
    for (SimulatedUsers.KnownJob job : scenario.jobs.values()) {
      assertEquals(scenario.recordedStatus(job), job.finalState(), job.ref);
      if (step == Step.DONE_IS_PUT) {
        assertEquals("done", job.finalState(), job.ref);
      }
    }
  }
}
