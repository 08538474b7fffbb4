package dapplestair.cancellations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the time up to which a controller knows all cancellations, case by case
 * (docs/cancellations.md).
 */
class CancellationWatermarkTest {
  private long nowMs = 100_000;
  private long stateReadAtMs = CancellationWatermark.NEVER;
  private final Clock clock =
      new Clock() {
        @Override
        public long now() {
          return nowMs;
        }

        @Override
        public long wall() {
          return nowMs;
        }
      };
  private final CancellationWatermark watermark =
      new CancellationWatermark(clock, () -> stateReadAtMs, List.of("b", "c"));

  private void receiveCompleteLog(String member, long logId) {
    CancellationWatermark.PeerLog peerLog = watermark.peerLog(member);
    if (peerLog.logId != logId) {
      watermark.startNewLog(peerLog, logId);
    }
    watermark.recordComplete(peerLog, nowMs);
  }

  private void receiveAllLogsAfterStateRead() {
    receiveCompleteLog("b", 1);
    receiveCompleteLog("c", 1);
    stateReadAtMs = nowMs;
    nowMs += 10;
    receiveCompleteLog("b", 1);
    receiveCompleteLog("c", 1);
  }

  @Test
  void nothingIsKnownBeforeTheStateWasRead() {
    receiveCompleteLog("b", 1);
    receiveCompleteLog("c", 1);
    assertTrue(watermark.ageMs() > Integer.MAX_VALUE);
  }

  /**
   * While the state service is down, the watermark advances as long as all peers send their logs,
   * and stays when one of them does not.
   */
  @Test
  void ageIsThatOfThePeerWithTheOldestLog() {
    receiveAllLogsAfterStateRead();
    nowMs += 30_000;
    receiveCompleteLog("b", 1);
    assertEquals(
        30_000, watermark.ageMs(), "peer c is dead or disconnected, which cannot be distinguished");
    receiveCompleteLog("c", 1);
    assertEquals(0, watermark.ageMs());
  }

  /**
   * A restarted peer does not know what its former process confirmed. Only the records show that,
   * so the watermark stays until they are read again.
   */
  @Test
  void restartedPeerCountsOnlyAfterTheStateWasReadAgain() {
    receiveAllLogsAfterStateRead();
    nowMs += 500;
    receiveCompleteLog("b", 2);
    receiveCompleteLog("c", 1);
    nowMs += 5000;
    receiveCompleteLog("b", 2);
    receiveCompleteLog("c", 1);
    assertEquals(5500, watermark.ageMs());
    stateReadAtMs = nowMs;
    nowMs += 7;
    receiveCompleteLog("b", 2);
    receiveCompleteLog("c", 1);
    assertEquals(0, watermark.ageMs());
  }

  @Test
  void renewalWindowLeavesTimeForOneLeaseAndASixteenth() {
    assertEquals(
        66_000 - 36_000 - 2250, RenewalWindow.ofMs(new Settings.Workers(6000, 36_000, 66_000)));
    assertEquals(
        12_000, RenewalWindow.ofMs(new Settings.Workers(6000, 36_000, 30_000)), "minimum window");
  }
}
