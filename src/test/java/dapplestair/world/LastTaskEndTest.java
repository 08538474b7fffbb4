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
 * Requests that arrive while the last task of a job ends, without other faults. A cancellation, a
 * read or a repeated submission is sent to the leader or to other controllers when the task ends on
 * its machine, when the end of the job reaches the state service, or while the commit of the end or
 * of the cancellation is on its way there. The requests are delayed by about the time of a message,
 * a put or a report.
 */
class LastTaskEndTest {
  private static final int JOBS = 12;
  private static final long RUN_S = 4;

  /** The step in the end of a job at which the requests are sent. */
  enum Step {
    /** The last task exits on its machine. */
    TASK_EXITS,
    /** The commit of the end of the job is delayed on its way to the state service. */
    DONE_IS_SENT,
    /**
     * The commit of a cancellation that was requested when the task exited is delayed on its way to
     * the state service.
     */
    CANCELLATION_IS_SENT,
    /** The end of the job is committed, and no controller or user has learned of it. */
    DONE_IS_PUT
  }

  /** A simulated cluster that sends requests at the chosen step of the end of each job. */
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
      cluster.network.lossProbability = 0;
      cluster.users.cancelledArrayShare = 0;
      readers = new ConcurrentReaders(cluster);
      this.step = step;
      this.delayMs = delayMs;
      cluster.checker.completionListener = this::onTaskCompleted;
      cluster.network.commits.commitListener = this::onCommitted;
      SimulatedNetwork.RequestInterceptor previousTap = cluster.network.interceptor;
      cluster.network.interceptor =
          (from, method, path, body, done) -> {
            if (path.equals("/commit")) {
              onCommitSent(from, Json.parse(body));
            }
            return previousTap.intercept(from, method, path, body, done);
          };
    }

    void submit(int index) {
      SimulatedUsers.KnownJob job =
          cluster.users.submitArray(index % 2 == 0 ? "one" : "two", "high", 1 + index % 3, RUN_S);
      jobs.put(job.ref, job);
    }

    private void onTaskCompleted(String task) {
      SimulatedUsers.KnownJob job = jobs.get(task.substring(0, task.indexOf('/')));
      boolean isLastTask =
          job != null && completedTaskCounts.merge(job.ref, 1, Integer::sum) == job.taskCount;
      if (isLastTask && step == Step.TASK_EXITS) {
        cluster.sim.after(delayMs, () -> sendRequests(job));
      } else if (isLastTask && step == Step.CANCELLATION_IS_SENT) {
        cluster.users.cancelAt(job, cluster.nodes.get((cluster.leader().index + 1) % 3));
      }
    }

    private void onCommitSent(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      boolean holdsCommit =
          step == Step.DONE_IS_SENT
                  && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("done"))
              || step == Step.CANCELLATION_IS_SENT
                  && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("aborted"));
      if (job != null && holdsCommit && jobsWithHeldCommit.add(job.ref)) {
        cluster.network.cut(from, "state:1", true);
        cluster.sim.after(delayMs, () -> cluster.network.heal(from, "state:1"));
        sendRequests(job);
      }
    }

    private void onCommitted(String from, JsonNode body) {
      SimulatedUsers.KnownJob job = jobs.get(String.valueOf(CommitInterceptor.jobRef(body)));
      if (job != null
          && step == Step.DONE_IS_PUT
          && CommitInterceptor.anyWrite(body, CommitInterceptor.endsJobAs("done"))) {
        cluster.sim.after(delayMs, () -> sendRequests(job));
      }
    }

    /**
     * Sends requests around the end of a job. The kind rotates: cancellation at the leader, at the
     * other controllers, at all of them, and only reads with repeated submissions.
     */
    private void sendRequests(SimulatedUsers.KnownJob job) {
      int leader = cluster.leader().index;
      int kind = requestedEnds++ % 4;
      if (kind == 3) {
        readers.queryAllControllers(job);
        return;
      }
      for (SimulatedCluster.ControllerNode n : cluster.nodes) {
        if (kind == 2 || (n.index == leader) == (kind == 0)) {
          cluster.users.cancelAt(job, n);
          readers.poll(job, n);
          readers.submitAgain(job, n);
        }
      }
      readers.queryAllControllers(job);
    }

    String recordedStatus(SimulatedUsers.KnownJob job) {
      JsonNode jobRecord = cluster.state.value(CommitInterceptor.ENDED_JOB_KEY_PREFIX + job.ref);
      assertNotNull(jobRecord, job.ref + " has no record of its end");
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
        scenario.requestedEnds + " of " + JOBS + " jobs got requests at their end");
    for (SimulatedUsers.KnownJob job : scenario.jobs.values()) {
      assertEquals(scenario.recordedStatus(job), job.finalStatus(), job.ref);
      if (step == Step.DONE_IS_PUT) {
        assertEquals("done", job.finalStatus(), job.ref);
      }
    }
  }
}
