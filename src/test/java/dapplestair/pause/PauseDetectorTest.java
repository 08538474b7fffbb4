package dapplestair.pause;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Clock;
import org.junit.jupiter.api.Test;

/** Tests what a process may do after it did not run for a while. */
class PauseDetectorTest {
  private static final long MAX_GAP_MS = 550;
  private static final long UNANSWERED_MS = 4000;

  private long nowMs = 10_000;
  private long recordsAsOfMs = 9000;

  private final PauseDetector pauses =
      new PauseDetector(
          new Clock() {
            @Override
            public long now() {
              return nowMs;
            }

            @Override
            public long wall() {
              return nowMs;
            }
          },
          (delayMs, task) -> () -> {},
          MAX_GAP_MS,
          UNANSWERED_MS,
          () -> recordsAsOfMs);

  /** Guards against a timer that acts on old knowledge since it runs before all others. */
  @Test
  void afterAPauseTheRecordsMustBeReadAgain() {
    pauses.start();
    nowMs += 42_000;
    assertFalse(pauses.isKnowledgeCurrent());
    assertFalse(pauses.mayActOnDeadline());
    assertEquals(1, pauses.pauseCount());
    recordsAsOfMs = nowMs - 1;
    assertFalse(pauses.isKnowledgeCurrent(), "a read that was requested before the pause counts");
    nowMs += 100;
    recordsAsOfMs = nowMs;
    assertTrue(pauses.isKnowledgeCurrent());
    assertTrue(pauses.mayActOnDeadline());
  }

  /** Guards against cancelled work that never ends because the records cannot be read. */
  @Test
  void deadlinesAreKeptWhileTheRecordsCannotBeRead() {
    pauses.start();
    nowMs += 42_000;
    pauses.pauseCount();
    for (long elapsedMs = 0; elapsedMs < UNANSWERED_MS; elapsedMs += 500) {
      assertFalse(pauses.mayActOnDeadline());
      nowMs += 500;
    }
    assertTrue(pauses.mayActOnDeadline());
    assertFalse(pauses.isKnowledgeCurrent());
    assertEquals(1, pauses.pauseCount());
  }

  /** Guards against machines that are kept because of every garbage collection. */
  @Test
  void aShortGapIsNoPause() {
    pauses.start();
    nowMs += 100;
    assertTrue(pauses.isKnowledgeCurrent());
    nowMs += MAX_GAP_MS;
    assertTrue(pauses.isKnowledgeCurrent());
    assertEquals(0, pauses.pauseCount());
  }
}
