package dapplestair.cancellations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Up to when a controller knows all, case by case (docs/cancellations.md). */
class CancellationWatermarkTest {
  private long now = 100_000;
  private long records = CancellationWatermark.NEVER;
  private final Clock clock =
      new Clock() {
        @Override
        public long now() {
          return now;
        }

        @Override
        public long wall() {
          return now;
        }
      };
  private final CancellationWatermark watermark =
      new CancellationWatermark(clock, () -> records, List.of("b", "c"));

  private void tells(String member, long log) {
    CancellationWatermark.PeerLog p = watermark.peerLog(member);
    if (p.logId != log) {
      watermark.startNewLog(p, log);
    }
    watermark.recordComplete(p, now);
  }

  private void allTellAfterTheRecordsWereRead() {
    tells("b", 1);
    tells("c", 1);
    records = now;
    now += 10;
    tells("b", 1);
    tells("c", 1);
  }

  @Test
  void nothingIsKnownBeforeTheRecordsWereRead() {
    tells("b", 1);
    tells("c", 1);
    assertTrue(watermark.ageMs() > Integer.MAX_VALUE);
  }

  /** In an outage of all it goes on as long as all tell, and stands still when one does not. */
  @Test
  void theLeastOfAllPeers() {
    allTellAfterTheRecordsWereRead();
    now += 30_000;
    tells("b", 1);
    assertEquals(30_000, watermark.ageMs(), "one is dead or cut off, which cannot be told");
    tells("c", 1);
    assertEquals(0, watermark.ageMs());
  }

  /** Its new life does not know what the former one confirmed: only the records do. */
  @Test
  void aPeerThatIsBackAtOnceRemembersNothing() {
    allTellAfterTheRecordsWereRead();
    now += 500;
    tells("b", 2);
    tells("c", 1);
    now += 5000;
    tells("b", 2);
    tells("c", 1);
    assertEquals(5500, watermark.ageMs());
    records = now;
    now += 7;
    tells("b", 2);
    tells("c", 1);
    assertEquals(0, watermark.ageMs());
  }

  @Test
  void theWindowLeavesALeaseAndASixteenth() {
    assertEquals(
        66_000 - 36_000 - 2250,
        Cancellations.renewalWindowMs(new Settings.Workers(6000, 36_000, 66_000)));
    assertEquals(
        12_000,
        Cancellations.renewalWindowMs(new Settings.Workers(6000, 36_000, 30_000)),
        "the least");
  }
}
