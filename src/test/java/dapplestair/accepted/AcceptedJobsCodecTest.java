package dapplestair.accepted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Accepted jobs told between controllers: what is garbled or of another form is refused. */
class AcceptedJobsCodecTest {
  private static final Map<String, Long> JOBS = Map.of("wk-000412", 7L, "wk-000413", 1L << 40);

  @Test
  void whatIsWrittenIsRead() {
    assertEquals(JOBS, AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(JOBS)));
    assertEquals(Map.of(), AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of())));
  }

  @Test
  void anythingElseIsRefused() {
    byte[] good = AcceptedJobsCodec.encode(JOBS);
    assertNull(AcceptedJobsCodec.decode(new byte[0]));
    for (int length = 1; length < good.length; length++) {
      assertNull(AcceptedJobsCodec.decode(Arrays.copyOf(good, length)), "cut to " + length);
    }
    assertNull(AcceptedJobsCodec.decode(Arrays.copyOf(good, good.length + 1)));
    byte[] otherForm = good.clone();
    otherForm[0]++;
    assertNull(AcceptedJobsCodec.decode(otherForm));
    assertNull(AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of("no job id", 7L))));
    assertNull(AcceptedJobsCodec.decode(AcceptedJobsCodec.encode(Map.of("wk-1", 0L))));
    Map<String, Long> tooMany = new LinkedHashMap<>();
    for (int i = 0; i <= AcceptedJobsCodec.MOST_JOBS; i++) {
      tooMany.put("wk-" + i, 1L);
    }
    assertNull(AcceptedJobsCodec.encode(tooMany));
  }

  /** Random bytes end no process, whatever they happen to say. */
  @Test
  void randomBytesThrowNothing() {
    SplittableRandom random = new SplittableRandom(11);
    byte[] good = AcceptedJobsCodec.encode(JOBS);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = good.clone();
      for (int k = 0; k < 3; k++) {
        bytes[random.nextInt(1, bytes.length)] = (byte) random.nextInt(256);
      }
      AcceptedJobsCodec.decode(bytes);
    }
  }
}
