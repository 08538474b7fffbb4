package dapplestair.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SubmissionTest {
  private static ObjectNode body() {
    return (ObjectNode)
        Json.parse(
            """
            {"ref":"ab-17","jobclass":"c","owner":"t","shape":"sweep","rank":"high","steps":16,
             "vcpus":8.0,"accelerators":1.0,"memoryGb":64.0,"bundle":"i","imageGb":6.2,
             "hulls":["g"],"basin":null,"together":true,"apart":false,"loaners":true,
             "guessS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"unknown":{}}
            """
                .getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void parsesItsOwnJson() throws Submission.InvalidSubmissionException {
    Submission submission = Submission.parse(body());
    assertEquals(submission, Submission.parse(Json.parse(Json.bytes(submission.toJson()))));
    assertNull(submission.zone());
    ObjectNode withoutOptionalFields = body();
    withoutOptionalFields.remove(java.util.List.of("hulls", "basin", "dueS"));
    assertEquals(Double.POSITIVE_INFINITY, Submission.parse(withoutOptionalFields).deadlineS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "ref|\"no\"", "ref|7", "shape|\"ring\"", "rank|\"top\"", "steps|0", "steps|100001",
        "steps|1.5", "vcpus|0", "vcpus|-1", "vcpus|\"8\"", "memoryGb|1e400", "together|1",
        "hulls|\"g\"", "hulls|[1]", "dueS|-1", "imageGb|null", "owner|\"\"", "basin|4"
      })
  void errorNamesTheInvalidField(String field, String value) {
    ObjectNode invalidBody = body();
    invalidBody.set(field, Json.parse(("[" + value + "]").getBytes(StandardCharsets.UTF_8)).get(0));
    String message =
        assertThrows(
                Submission.InvalidSubmissionException.class, () -> Submission.parse(invalidBody))
            .getMessage();
    assertTrue(message.startsWith(field + ":"), message);
  }
}
