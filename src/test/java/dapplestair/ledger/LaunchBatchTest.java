package dapplestair.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.json.Json;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LaunchBatchTest {
  private static Job job(int number) throws Submission.InvalidSubmissionException {
    Submission submission =
        Submission.parse(
            Json.object()
                .put("ref", String.format("wk-%06d", number))
                .put("jobclass", "c")
                .put("owner", "t")
                .put("shape", "daemon")
                .put("rank", "critical")
                .put("steps", 12)
                .put("vcpus", 1)
                .put("accelerators", 0)
                .put("memoryGb", 1)
                .put("bundle", "i")
                .put("imageGb", 1)
                .put("together", false)
                .put("apart", true)
                .put("loaners", false)
                .put("guessS", 0)
                .put("snapshotEveryS", 0)
                .put("snapshotS", 0));
    return new Job(submission, 0, 128, 1);
  }

  /**
   * Checks that as many entries as the capacity promises fit in a value, though each is on a
   * machine of its own, and that they are read back unchanged.
   */
  @Test
  void entriesWithinCapacityFitAndAreReadBack() throws Submission.InvalidSubmissionException {
    int bytes = 8192;
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < LaunchBatch.capacity(bytes); i++) {
      String host = String.format("n-%06d", 700 + i);
      attempts.add(new Attempt(job(i), i % 12, 1 + i, host, "florianopolis-" + i % 3, 3, 0));
    }
    var value = LaunchBatch.write(attempts);
    assertTrue(Json.bytes(value).length <= bytes, Json.bytes(value).length + " bytes");
    List<LaunchBatch.Entry> read = LaunchBatch.read(Json.parse(Json.bytes(value)));
    assertEquals(attempts.size(), read.size());
    for (int i = 0; i < read.size(); i++) {
      Attempt attempt = attempts.get(i);
      assertEquals(
          new LaunchBatch.Entry(
              attempt.spec().ref(),
              attempt.step,
              attempt.number,
              attempt.host,
              attempt.zone,
              attempt.session),
          read.get(i));
    }
  }
}
