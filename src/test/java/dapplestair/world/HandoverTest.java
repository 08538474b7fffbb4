package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs are cancelled in the seconds in which the leader's work changes hands: some run, some are
 * being launched, and of some the last task ends just then.
 */
class HandoverTest {
  /** Cancelled so many milliseconds after the change begins, or before it. */
  @ParameterizedTest(name = "seed {0}, {1}, cancelled at {2} ms")
  @CsvSource({
    "11101,PLANNED,-400",
    "11102,PLANNED,-5",
    "11103,PLANNED,0",
    "11104,PLANNED,5",
    "11105,PLANNED,100",
    "11106,PLANNED,1700",
    "11107,CRASH,-30",
    "11108,CRASH,0",
    "11109,CRASH,30",
    "11110,CRASH,400",
    "11111,CRASH,3000",
    "11112,BACK_AT_ONCE,-30",
    "11113,BACK_AT_ONCE,0",
    "11114,BACK_AT_ONCE,300",
    "11115,BACK_AT_ONCE,1200",
    "11116,THERE_AND_BACK,0",
    "11117,THERE_AND_BACK,1200",
    "11118,THERE_AND_BACK,2500",
    "11119,THERE_AND_BACK,2530",
    "11120,FROZEN,0",
    "11121,FROZEN,1700",
    "11122,FROZEN,5000",
    "11123,ALONE,30",
    "11124,ALONE,2000",
    "11125,REFUSED,30",
    "11126,REFUSED,2000"
  })
  void cancelledWhileTheLeadChanges(long seed, LeaderChange change, long cancelledMs) {
    play(seed, change, cancelledMs);
  }

  static SimulatedCluster play(long seed, LeaderChange change, long cancelledMs) {
    CancellationOutageTest.Day d = new CancellationOutageTest.Day(seed);
    SimulatedCluster w = d.w;
    long at = w.sim.now() + 6000;
    List<SimulatedUsers.KnownJob> ending = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      // Tasks last a tenth more or less than their users guess, and begin about a second later.
      ending.add(w.users.submitArray("one", "high", 1 + i % 3, 5));
    }
    w.sim.after(at - 400 - w.sim.now(), () -> launch(w, d.cancelled));
    w.sim.after(at - w.sim.now(), () -> change.inject(w));
    w.sim.after(
        at + cancelledMs - w.sim.now(),
        () -> {
          d.cancelled.forEach(w.users::cancel);
          ending.forEach(w.users::cancel);
        });
    w.run(30_000);
    d.cancelled.forEach(t -> assertTrue(t.aborted, t.ref + " is not cancelled"));
    ending.forEach(t -> assertTrue(t.aborted || t.done, t.ref + " is neither done nor cancelled"));
    w.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(0, d.running(d.cancelled), "cancelled tasks");
    w.run(60_000);
    SeededDaysTest.settle(w);
    return w;
  }

  /**
   * Nobody leads when users are told, and the state service is out some milliseconds after the next
   * leader has won: it may not have read yet what jobs that are over have on machines.
   */
  @ParameterizedTest(name = "out {0} ms after the next leader has won")
  @ValueSource(ints = {3, 5, 9, 11})
  void outAsTheNextOneBegins(int ms) {
    CancellationOutageTest.Day d = new CancellationOutageTest.Day(12200 + ms);
    SimulatedCluster w = d.w;
    d.stallEveryThird();
    d.old.crash(9000);
    d.cancelled.forEach(t -> w.users.cancelAt(t, d.second));
    w.run(150);
    while (w.leader() == null || w.leader() == d.old) {
      w.run(1);
    }
    w.run(ms);
    w.state.beginOutage();
    w.run(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
    w.state.endOutage();
    w.run(90_000);
    SeededDaysTest.settle(w);
  }

  /** Arrays, a gang, a service and jobs of one task, whose launches are on their way. */
  private static void launch(SimulatedCluster w, List<SimulatedUsers.KnownJob> to) {
    to.add(w.users.submitArray("one", "high", 4, 150));
    to.add(w.users.submitModifiedArray("two", 3, 150, b -> b.put("shape", "gang")));
    to.add(w.users.submitService("two", 3));
    for (int i = 0; i < 4; i++) {
      to.add(w.users.submitArray("two", "high", 1, 150));
    }
  }
}
