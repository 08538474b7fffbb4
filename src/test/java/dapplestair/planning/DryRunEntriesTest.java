package dapplestair.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.placement.RuntimeEstimates;
import dapplestair.planning.FleetProblem.DryTasks;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DryRunEntriesTest {
  private static Submission job(int index, String shape, int steps, double cpus, double guessS)
      throws Submission.InvalidSubmissionException {
    ObjectNode body =
        Json.object()
            .put("ref", "j-" + index)
            .put("jobclass", "c")
            .put("owner", "t")
            .put("shape", shape)
            .put("rank", "high")
            .put("steps", steps)
            .put("vcpus", cpus)
            .put("accelerators", 0)
            .put("memoryGb", 1)
            .put("bundle", "img-" + index)
            .put("imageGb", 1)
            .put("together", false)
            .put("apart", false)
            .put("loaners", !shape.equals("daemon"))
            .put("guessS", guessS)
            .put("snapshotEveryS", 0)
            .put("snapshotS", 0);
    return Submission.parse(body);
  }

  /**
   * Guards against small jobs that use up all entries of the dry run: in a simulated day, the first
   * plans rented nothing for 8,000 tasks that were ordered behind 289 services.
   */
  @Test
  void manySmallJobsDoNotCrowdOutArrays() throws Submission.InvalidSubmissionException {
    List<DryRunEntries.PendingTasks> pending = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      pending.add(new DryRunEntries.PendingTasks(job(i, "daemon", 3, 1, 0), 3, 60, 0));
    }
    for (int i = 0; i < 900; i++) {
      pending.add(
          new DryRunEntries.PendingTasks(job(1000 + i, "sweep", 1, 0.25, 100 + i % 3), 1, 50, 0));
    }
    for (int i = 0; i < 30; i++) {
      pending.add(
          new DryRunEntries.PendingTasks(job(3000 + i, "sweep", 90, 4, 40), 90, 200 + i, 0));
    }
    List<DryTasks> entries =
        new DryRunEntries(List.of(), 2, 15, 60, new RuntimeEstimates()).entriesFor(pending);
    assertEquals(30, entries.stream().filter(e -> e.taskCount() == 90).count(), "arrays");
    assertEquals(
        400 * 3 + 900 + 30 * 90, entries.stream().mapToInt(DryTasks::taskCount).sum(), "tasks");
    int smallJobCount =
        entries.stream().filter(e -> e.taskCount() != 90).mapToInt(DryTasks::jobCount).sum();
    assertTrue(
        smallJobCount <= 60, "small jobs count as " + smallJobCount + " in the mean, arrays as 30");
    assertTrue(entries.size() < 50, entries.size() + " entries");
  }
}
