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

/** An account that comes late, twice or out of order never makes a silence look longer. */
class LivenessReportsTest {
  private static LivenessReport of(long term, long number, Map<String, Long> late) {
    return new LivenessReport(term, number, Map.of("a", 100L), late, Map.of());
  }

  @Test
  void comesBackAsItWas() {
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

  /** Another form says nothing, and whatever comes, nothing is thrown. */
  @Test
  void garbledOrOfAnotherFormIsNothing() {
    byte[] good = of(3, 4, Map.of("n-1", 5L, "n-2", 6L)).encode();
    byte[] other = good.clone();
    other[0] = LivenessReport.FORM + 1;
    assertNull(LivenessReport.decode(other));
    assertNull(LivenessReport.decode(new byte[0]));
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 20_000; i++) {
      byte[] bad = good.clone();
      for (int k = 0; k < 3; k++) {
        bad[1 + random.nextInt(bad.length - 1)] = (byte) random.nextInt(256);
      }
      LivenessReport.decode(Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
    }
  }

  @Test
  void anOlderAccountChangesNothing() {
    LivenessReports livenessReports = new LivenessReports();
    livenessReports.said(of(2, 10, Map.of("n-1", 4000L)), 100_000);
    livenessReports.said(of(2, 11, Map.of()), 101_000);
    // Reordered, doubled, and from a former leader: each calls a machine late that was heard since.
    livenessReports.said(of(2, 10, Map.of("n-1", 4000L)), 101_500);
    livenessReports.said(of(1, 99, Map.of("n-1", 90_000L)), 101_600);
    assertEquals(101_000, livenessReports.machineHeardAt("n-1"));
  }

  /** Whatever the order and the delays: heard no earlier than the newest speaker knew it to be. */
  @Test
  void silenceNeverLooksLongerThanItIs() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LivenessReports livenessReports = new LivenessReports();
      List<Long> heardWhenSaid = new ArrayList<>(List.of(0L));
      PriorityQueue<long[]> underWay = new PriorityQueue<>(Comparator.comparingLong(m -> m[0]));
      long heard = 1000;
      int newest = 0;
      for (long now = 1000; now < 60_000; now += 500) {
        heard = random.nextInt(10) < 4 ? now : heard;
        heardWhenSaid.add(heard);
        int number = heardWhenSaid.size() - 1;
        for (int copies = 1 + random.nextInt(2); copies > 0; copies--) {
          underWay.add(new long[] {now + random.nextInt(20_000), number, now - heard});
        }
        while (!underWay.isEmpty() && underWay.peek()[0] <= now) {
          long[] m = underWay.poll();
          newest = Math.max(newest, (int) m[1]);
          livenessReports.said(of(1, m[1], m[2] > 2000 ? Map.of("n-1", m[2]) : Map.of()), now);
        }
        assertTrue(
            newest == 0 || livenessReports.machineHeardAt("n-1") >= heardWhenSaid.get(newest),
            "seed " + seed + " at " + now);
      }
    }
  }

  @Test
  void whoeverDoesNotLeadSaysNothingOfMachines() {
    LivenessReports livenessReports = new LivenessReports();
    livenessReports.said(
        new LivenessReport(0, 5, Map.of("b", 200L), Map.of("n-1", 9000L), Map.of()), 10_000);
    assertEquals(9800, livenessReports.zoneHeardAt("b"));
    assertTrue(livenessReports.at() < 0);
    assertFalse(livenessReports.saidGone("n-1"));
  }
}
