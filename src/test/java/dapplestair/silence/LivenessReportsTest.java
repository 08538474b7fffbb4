package dapplestair.silence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A report that arrives late, twice or out of order must never make a silence look longer. */
class LivenessReportsTest {
  private static LivenessReport reportOf(long term, long number, Map<String, Long> late) {
    return new LivenessReport(term, number, Map.of("a", 100L), late, Map.of());
  }

  @Test
  void decodesWhatWasEncoded() {
    Map<String, Long> late = new HashMap<>();
    for (int i = 0; i < 700; i++) {
      late.put(String.format("n-%06d", 3 * i), 1000L + i);
    }
    LivenessReport livenessReport =
        new LivenessReport(7, 12, Map.of("a", 5L, "b", 70_000L), late, Map.of("n-000001", 400L));
    byte[] bytes = livenessReport.encode();
    assertEquals(livenessReport, LivenessReport.decode(bytes));
    assertTrue(bytes.length < 10 * late.size(), bytes.length + " bytes for 700 machines");
  }

  /** Reports of another version are ignored, and no malformed report makes the decoder throw. */
  @Test
  void malformedOrOtherFormIsIgnored() {
    byte[] validBytes = reportOf(3, 4, Map.of("n-1", 5L, "n-2", 6L)).encode();
    byte[] otherFormBytes = validBytes.clone();
    otherFormBytes[0] = LivenessReport.FORM + 1;
    assertNull(LivenessReport.decode(otherFormBytes));
    assertNull(LivenessReport.decode(new byte[0]));
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 20_000; i++) {
      byte[] corruptBytes = validBytes.clone();
      for (int k = 0; k < 3; k++) {
        corruptBytes[1 + random.nextInt(corruptBytes.length - 1)] = (byte) random.nextInt(256);
      }
      LivenessReport.decode(Arrays.copyOf(corruptBytes, random.nextInt(corruptBytes.length + 1)));
    }
  }

  @Test
  void olderLeaderReportIsIgnored() {
    LivenessReports livenessReports = new LivenessReports();
    livenessReports.add(reportOf(2, 10, Map.of("n-1", 4000L)), 100_000);
    livenessReports.add(reportOf(2, 11, Map.of()), 101_000);
    // Reordered, duplicated, and from a former leader: in each report, the machine is overdue
    // although it was heard since.
    livenessReports.add(reportOf(2, 10, Map.of("n-1", 4000L)), 101_500);
    livenessReports.add(reportOf(1, 99, Map.of("n-1", 90_000L)), 101_600);
    assertEquals(101_000, livenessReports.machineHeardAtMs("n-1"));
  }

  /** With any order and delay, a machine was heard no earlier than the newest report states. */
  @Test
  void silenceIsNeverOverestimated() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LivenessReports livenessReports = new LivenessReports();
      List<Long> heardAtByReportNumber = new ArrayList<>(List.of(0L));
      PriorityQueue<long[]> messagesInFlight =
          new PriorityQueue<>(Comparator.comparingLong(m -> m[0]));
      long heardAt = 1000;
      int newestReceived = 0;
      for (long now = 1000; now < 60_000; now += 500) {
        heardAt = random.nextInt(10) < 4 ? now : heardAt;
        heardAtByReportNumber.add(heardAt);
        int number = heardAtByReportNumber.size() - 1;
        for (int copies = 1 + random.nextInt(2); copies > 0; copies--) {
          messagesInFlight.add(new long[] {now + random.nextInt(20_000), number, now - heardAt});
        }
        while (!messagesInFlight.isEmpty() && messagesInFlight.peek()[0] <= now) {
          long[] message = messagesInFlight.poll();
          newestReceived = Math.max(newestReceived, (int) message[1]);
          livenessReports.add(
              reportOf(1, message[1], message[2] > 2000 ? Map.of("n-1", message[2]) : Map.of()),
              now);
        }
        assertTrue(
            newestReceived == 0
                || livenessReports.machineHeardAtMs("n-1")
                    >= heardAtByReportNumber.get(newestReceived),
            "seed " + seed + " at " + now);
      }
    }
  }

  @Test
  void nonLeaderReportsOnlyZones() {
    LivenessReports livenessReports = new LivenessReports();
    livenessReports.add(
        new LivenessReport(0, 5, Map.of("b", 200L), Map.of("n-1", 9000L), Map.of()), 10_000);
    assertEquals(9800, livenessReports.zoneHeardAtMs("b"));
    assertTrue(livenessReports.leaderReportAtMs() < 0);
    assertFalse(livenessReports.isReportedGone("n-1"));
  }
}
