package dapplestair.accepted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests the messages that announce accepted jobs: malformed ones and those of another version are
 * rejected.
 */
class AcceptedJobsCodecTest {
  private static final Map<String, Long> JOBS = Map.of("wk-000412", 7L, "wk-000413", 1L << 40);

  @Test
  void decodedJobsEqualTheEncodedOnes() {
    assertEquals(JOBS, AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(JOBS)));
    assertEquals(Map.of(), AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of())));
  }

  @Test
  void invalidMessagesAreRejected() {
    byte[] validMessage = AcceptedJobsCodec.encode(JOBS);
    assertNull(AcceptedJobsCodec.decode(new byte[0]));
    for (int length = 1; length < validMessage.length; length++) {
      assertNull(
          AcceptedJobsCodec.decode(Arrays.copyOf(validMessage, length)),
          "truncated to length " + length);
    }
    assertNull(AcceptedJobsCodec.decode(Arrays.copyOf(validMessage, validMessage.length + 1)));
    byte[] otherVersion = validMessage.clone();
    otherVersion[0]++;
    assertNull(AcceptedJobsCodec.decode(otherVersion));
    assertNull(AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of("no job id", 7L))));
    assertNull(AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of("wk-1", 0L))));
    Map<String, Long> tooMany = new LinkedHashMap<>();
    for (int i = 0; i <= AcceptedJobsCodec.MAX_JOBS; i++) {
      tooMany.put("wk-" + i, 1L);
    }
    assertNull(AcceptedJobsCodec.encode(tooMany));
  }

  /** Guards against exceptions from corrupted messages, which could end a controller. */
  @Test
  void corruptedBytesCauseNoExceptions() {
    SplittableRandom random = new SplittableRandom(11);
    byte[] validMessage = AcceptedJobsCodec.encode(JOBS);
    for (int i = 0; i < 20_000; i++) {
      byte[] corrupted = validMessage.clone();
      for (int k = 0; k < 3; k++) {
        corrupted[random.nextInt(1, corrupted.length)] = (byte) random.nextInt(256);
      }
      AcceptedJobsCodec.decode(corrupted);
    }
  }
}
