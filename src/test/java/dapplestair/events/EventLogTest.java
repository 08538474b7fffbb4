package dapplestair.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.Iterables;
import dapplestair.ports.Clock;
import org.junit.jupiter.api.Test;

/** Tests where a reader continues in a log of events. */
class EventLogTest {
  private static EventLog log(String id, long term, int events) {
    EventLog log = new EventLog(new ZeroClock(), id);
    log.beginTerm(term);
    for (int i = 0; i < events; i++) {
      log.publish(Events.Kind.STARTED, fields -> {});
    }
    return log;
  }

  private static final class ZeroClock implements Clock {
    @Override
    public long now() {
      return 0;
    }

    @Override
    public long wall() {
      return 0;
    }
  }

  private static long lastNumber(EventLog log) {
    return Iterables.getLast(log.after(0)).number();
  }

  private static int countAfter(EventLog log, long number, String logId) {
    return Iterables.size(log.after(log.resumeAfter(number, logId)));
  }

  /** Guards against followers that see no events after a restart in which the records were lost. */
  @Test
  void readerOfAnEarlierLogSeesAllEventsOfTheNext() {
    EventLog earlier = log("a", 1, 30);
    EventLog next = log("b", 1, 20);
    assertEquals(20, countAfter(next, lastNumber(earlier), earlier.id()));
    assertEquals(20, countAfter(log("c", 1, 20), lastNumber(log("a", 4, 30)), "a"));
  }

  /** Guards against events that are shown twice or left out while the records are kept. */
  @Test
  void readerContinuesInTheSameLogAndInThatOfALaterTerm() {
    EventLog log = log("a", 1, 30);
    assertEquals(0, countAfter(log, lastNumber(log), log.id()));
    assertEquals(0, countAfter(log, lastNumber(log), null));
    assertEquals(20, countAfter(log("b", 2, 20), lastNumber(log), log.id()));
    log.beginTerm(3);
    log.publish(Events.Kind.STARTED, fields -> {});
    assertEquals(1, countAfter(log, lastNumber(log("b", 2, 20)), "b"));
  }
}
