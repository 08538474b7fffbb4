package dapplestair.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.work.Submission;
import org.junit.jupiter.api.Test;

class HostTest {
  private static MachineType type() {
    ObjectNode types = Json.object();
    ObjectNode typeNode = types.putArray("hulls").addObject();
    typeNode.put("label", "t8").put("vcpus", 8).put("memoryGb", 64).put("pullGbPerS", 0.5);
    typeNode.putArray("basins").add("a");
    MachineTypes machineTypes = new MachineTypes();
    machineTypes.read(types);
    return machineTypes.get("t8");
  }

  private static Submission submissionWithImage(String image, double imageGb)
      throws Submission.InvalidSubmissionException {
    return Submission.parse(
        Json.object()
            .put("ref", "a-1")
            .put("jobclass", "c")
            .put("owner", "t")
            .put("shape", "daemon")
            .put("rank", "critical")
            .put("steps", 2)
            .put("vcpus", 1)
            .put("accelerators", 0)
            .put("memoryGb", 1)
            .put("bundle", image)
            .put("imageGb", imageGb)
            .put("together", false)
            .put("apart", true)
            .put("loaners", false)
            .put("guessS", 0)
            .put("snapshotEveryS", 0)
            .put("snapshotS", 0));
  }

  @Test
  void imageWaitEndsOnceTheImageIsPresent() throws Submission.InvalidSubmissionException {
    Host host = new Host("n-1", 0);
    host.describe("n-1:1", type(), "a", false);
    Submission submission = submissionWithImage("img-1", 1.5);
    assertEquals(3.0, host.imageWaitS(submission, 1000));
    host.markImageInUse(submission, 2000);
    assertEquals(0.0, host.imageWaitS(submission, 2000));
    assertEquals(1.0, host.imageWaitS(submissionWithImage("img-2", 0.5), 2000));
  }
}
