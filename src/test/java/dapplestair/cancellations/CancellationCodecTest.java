package dapplestair.cancellations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CancellationCodecTest {
  private static CancellationCodec.LogResponse createResponse(int entryCount, int locationCount) {
    List<CancellationCodec.LogEntry> entries = new ArrayList<>();
    for (int i = 1; i <= entryCount; i++) {
      List<Cancellation.TaskLocation> locations = new ArrayList<>();
      for (int k = 0; k < locationCount; k++) {
        locations.add(new Cancellation.TaskLocation(String.format("n-%06d", k), 1 + k % 3, k, 7));
      }
      entries.add(new CancellationCodec.LogEntry(i, "wk-" + i, 40L * i, locations));
    }
    return new CancellationCodec.LogResponse(-5, 3, Long.MIN_VALUE + 1, 12, true, entries);
  }

  @Test
  void decodedMessagesEqualTheEncodedOnes() {
    CancellationCodec.LogRequest request = new CancellationCodec.LogRequest(-77, 4, 99, 1000);
    assertEquals(request, CancellationCodec.decodeRequest(CancellationCodec.encode(request)));
    CancellationCodec.LogResponse response = createResponse(5, 40);
    assertEquals(response, CancellationCodec.decodeResponse(CancellationCodec.encode(response)));
  }

  /**
   * Guards against exceptions from corrupted messages, and against messages with another format
   * version, an impossible term or too many locations being accepted.
   */
  @Test
  void invalidMessagesAreRejectedWithoutExceptions() {
    SplittableRandom random = new SplittableRandom(1);
    byte[] validResponse = CancellationCodec.encode(createResponse(4, 10));
    byte[] validRequest = CancellationCodec.encode(new CancellationCodec.LogRequest(1, 2, 3, 4));
    for (int i = 0; i < 5000; i++) {
      byte[] corrupted = validResponse.clone();
      for (int k = 0; k < 4; k++) {
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
      }
      CancellationCodec.decodeResponse(
          Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 1)));
      CancellationCodec.decodeRequest(
          Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 1)));
    }
    assertNull(
        CancellationCodec.decodeResponse(Arrays.copyOf(validResponse, validResponse.length - 1)),
        "truncated message");
    assertNull(
        CancellationCodec.decodeResponse(Arrays.copyOf(validResponse, validResponse.length + 1)),
        "trailing byte");
    assertNull(CancellationCodec.decodeRequest(new byte[0]));
    validResponse[0] = CancellationCodec.FORMAT_VERSION + 1;
    validRequest[0] = CancellationCodec.FORMAT_VERSION + 1;
    assertNull(CancellationCodec.decodeResponse(validResponse), "another format version");
    assertNull(CancellationCodec.decodeRequest(validRequest), "another format version");
    CancellationCodec.LogResponse termTooHigh =
        new CancellationCodec.LogResponse(1, 1, 1, 1L << 50, true, List.of());
    assertNull(
        CancellationCodec.decodeResponse(CancellationCodec.encode(termTooHigh)),
        "term above the maximum");
    CancellationCodec.LogResponse tooManyLocations =
        createResponse(2, CancellationCodec.MAX_LOCATIONS / 2 + 1);
    assertNull(
        CancellationCodec.decodeResponse(CancellationCodec.encode(tooManyLocations)),
        "too many locations");
  }
}
