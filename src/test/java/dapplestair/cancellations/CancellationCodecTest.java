package dapplestair.cancellations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CancellationCodecTest {
  private static CancellationCodec.LogResponse answer(int entries, int places) {
    List<CancellationCodec.LogEntry> out = new ArrayList<>();
    for (int i = 1; i <= entries; i++) {
      List<Cancellation.TaskLocation> at = new ArrayList<>();
      for (int k = 0; k < places; k++) {
        at.add(new Cancellation.TaskLocation(String.format("n-%06d", k), 1 + k % 3, k, 7));
      }
      out.add(new CancellationCodec.LogEntry(i, "wk-" + i, 40L * i, at));
    }
    return new CancellationCodec.LogResponse(-5, 3, Long.MIN_VALUE + 1, 12, true, out);
  }

  @Test
  void messagesComeBackAsTheyWere() {
    CancellationCodec.LogRequest request = new CancellationCodec.LogRequest(-77, 4, 99, 1000);
    assertEquals(request, CancellationCodec.decodeRequest(CancellationCodec.encode(request)));
    CancellationCodec.LogResponse response = answer(5, 40);
    assertEquals(response, CancellationCodec.decodeResponse(CancellationCodec.encode(response)));
  }

  /** Whatever comes, nothing is thrown; forms, terms and sizes that are not ours are refused. */
  @Test
  void whatIsNotOursIsRefused() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] good = CancellationCodec.encode(answer(4, 10));
    byte[] ask = CancellationCodec.encode(new CancellationCodec.LogRequest(1, 2, 3, 4));
    for (int i = 0; i < 5000; i++) {
      byte[] bad = good.clone();
      for (int k = 0; k < 4; k++) {
        bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
      }
      CancellationCodec.decodeResponse(Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
      CancellationCodec.decodeRequest(Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
    }
    assertNull(CancellationCodec.decodeResponse(Arrays.copyOf(good, good.length - 1)), "cut short");
    assertNull(
        CancellationCodec.decodeResponse(Arrays.copyOf(good, good.length + 1)),
        "something after it");
    assertNull(CancellationCodec.decodeRequest(new byte[0]));
    good[0] = CancellationCodec.FORMAT_VERSION + 1;
    ask[0] = CancellationCodec.FORMAT_VERSION + 1;
    assertNull(CancellationCodec.decodeResponse(good), "another form");
    assertNull(CancellationCodec.decodeRequest(ask), "another form");
    CancellationCodec.LogResponse term =
        new CancellationCodec.LogResponse(1, 1, 1, 1L << 50, true, List.of());
    assertNull(
        CancellationCodec.decodeResponse(CancellationCodec.encode(term)), "no term of any leader");
    CancellationCodec.LogResponse large = answer(2, CancellationCodec.MAX_LOCATIONS / 2 + 1);
    assertNull(
        CancellationCodec.decodeResponse(CancellationCodec.encode(large)), "too many places");
  }
}
