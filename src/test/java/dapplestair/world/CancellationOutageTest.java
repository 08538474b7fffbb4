package dapplestair.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The state service refuses the leader alone, another controller confirms cancellations, then it is
 * out for all for longer than {@code cancel_s} while the workers report to the old leader. That the
 * tasks are gone in time is checked by the checker's {@code ran_cancelled}, from the user's answer
 * on (docs/cancellations.md).
 */
class CancellationOutageTest {
  private static final int MOST_WAITS = 30;

  /** Jobs of every kind that run for longer than the outage. */
  static final class Day {
    final SimulatedCluster w;
    final SimulatedCluster.ControllerNode old;
    final SimulatedCluster.ControllerNode second;
    final SimulatedCluster.ControllerNode third;
    final List<SimulatedUsers.KnownJob> cancelled = new ArrayList<>();
    final List<SimulatedUsers.KnownJob> kept = new ArrayList<>();

    Day(long seed) {
      this(DisruptionTest.begun(seed, 5, 5));
    }

    Day(SimulatedCluster begun) {
      w = begun;
      w.checker.teamDisruptionBudget = null;
      w.run(20_000);
      old = w.leader();
      second = w.nodes.get((old.index + 1) % 3);
      third = w.nodes.get((old.index + 2) % 3);
      for (int i = 0; i < 2; i++) {
        List<SimulatedUsers.KnownJob> to = i == 0 ? cancelled : kept;
        // First, so that it makes its room before the others have theirs.
        to.add(w.users.submitService("one", 3));
        w.run(4000);
        to.add(w.users.submitArray("one", "high", 8, 150));
        if (i == 0) {
          to.add(w.users.submitModifiedArray("two", 6, 150, b -> b.put("shape", "gang")));
        }
        to.add(
            w.users.submitModifiedArray(
                "two", 6, 150, b -> b.put("snapshotEveryS", 20.0).put("snapshotS", 3.0)));
        to.add(w.users.submitArray("one", "high", 1, 150));
      }
      w.run(12_000);
      for (int i = 0; i < MOST_WAITS && cancelled.stream().anyMatch(t -> running(t) == 0); i++) {
        // A gang whose member had to go begins anew as a whole.
        w.run(1000);
      }
      cancelled.forEach(t -> assertTrue(running(t) > 0, t.ref + " does not run"));
    }

    long running(SimulatedUsers.KnownJob job) {
      return w.cloud.machines().stream()
          .filter(m -> !m.isGone())
          .flatMap(m -> m.tasks().stream())
          .filter(t -> t.isOnMachine() && t.key().startsWith(job.ref + "/"))
          .count();
    }

    long running(List<SimulatedUsers.KnownJob> jobs) {
      return jobs.stream().mapToLong(this::running).sum();
    }

    /** Every second machine that runs a task of a job that is to be cancelled. */
    void troubleEverySecond(MachineFault fault, long ms) {
      List<EmulatedWorker> machines =
          w.cloud.machines().stream()
              .filter(m -> !m.isGone() && m.tasks().stream().anyMatch(this::toBeCancelled))
              .toList();
      assertTrue(machines.size() > 1, "hardly a machine runs what is to be cancelled");
      for (int i = 0; i < machines.size(); i += 2) {
        fault.inject(w, machines.get(i), ms);
      }
    }

    private boolean toBeCancelled(EmulatedTask t) {
      return t.isOnMachine() && cancelled.stream().anyMatch(j -> t.key().startsWith(j.ref + "/"));
    }

    /** A part of all machines hang past their lease, with what runs on them. */
    void stallEveryThird() {
      int i = 0;
      for (EmulatedWorker m : List.copyOf(w.cloud.machines())) {
        if (!m.isGone() && i++ % 3 == 0) {
          m.stall(SimulatedCluster.CANCEL_DEADLINE_MS * 3 / 2);
        }
      }
    }

    private void links(
        SimulatedCluster.ControllerNode a, SimulatedCluster.ControllerNode b, String how) {
      if (how.equals("refused") || how.equals("held")) {
        w.network.cut("node-" + a.index, "node-" + b.index, how.equals("held"));
      }
    }

    /** Those of the old leader to both others, and theirs to each other if {@code all}. */
    void links(String how, boolean all) {
      links(old, second, how);
      links(old, third, how);
      if (all) {
        links(second, third, how);
      }
    }

    void healLinks() {
      for (SimulatedCluster.ControllerNode a : w.nodes) {
        for (SimulatedCluster.ControllerNode b : w.nodes) {
          if (a != b) {
            w.network.heal("node-" + a.index, "node-" + b.index);
          }
        }
      }
    }

    void cancel(SimulatedCluster.ControllerNode at) {
      for (int i = 0; i < 55 && cancelled.stream().anyMatch(t -> !t.aborted); i++) {
        if (i % 20 == 0) {
          cancelled.stream().filter(t -> !t.aborted).forEach(t -> w.users.cancelAt(t, at));
        }
        w.run(20);
      }
      cancelled.forEach(
          t ->
              assertTrue(
                  t.aborted,
                  t.ref + " accepted " + t.accepted + " is not confirmed before the outage"));
    }

    /** The outage, for twice as long as cancelled work may live; then all calms down. */
    void outage(Consumer<Day> meanwhile) {
      w.state.beginOutage();
      meanwhile.accept(this);
      w.run(SimulatedCluster.CANCEL_DEADLINE_MS);
      assertEquals(0, running(cancelled), "cancelled tasks");
      w.run(SimulatedCluster.CANCEL_DEADLINE_MS);
      w.state.setRefused("node-" + old.index, false);
      w.state.endOutage();
      healLinks();
      // What was lost with a lease begins again, a gang as a whole.
      w.run(160_000);
      assertEquals(0, running(cancelled), "cancelled tasks");
      SeededDaysTest.settle(w);
    }
  }

  static void refuse(Day d) {
    d.w.state.setRefused("node-" + d.old.index, true);
    d.w.run(200);
  }

  /**
   * The confirming controller is a follower: the outage comes before another one leads. It ends so
   * many milliseconds after it has confirmed, or not at all (-1), and so may the old leader.
   */
  @ParameterizedTest(name = "seed {0}, links {1}, it ends after {2} ms, the old leader after {3}")
  @CsvSource({
    "8001,whole,-1,-1",
    "8002,whole,0,-1",
    "8003,whole,50,-1",
    "8004,whole,250,-1",
    "8005,whole,4000,-1",
    "8006,refused,-1,-1",
    "8007,refused,0,-1",
    "8008,refused,250,-1",
    "8009,held,-1,-1",
    "8010,held,0,-1",
    "8011,held,4000,-1",
    "8012,whole,-1,500",
    "8013,whole,250,500",
    "8014,refused,50,3000",
    "8015,held,-1,500"
  })
  void confirmedByAFollower(long seed, String links, long ends, long oldEnds) {
    Day d = new Day(seed);
    refuse(d);
    d.links(links, true);
    d.cancel(d.second);
    assertEquals(d.old, d.w.leader());
    d.outage(
        x -> {
          if (ends >= 0) {
            d.w.sim.after(ends, () -> d.second.crash(800));
          }
          if (oldEnds >= 0) {
            d.w.sim.after(oldEnds, () -> d.old.crash(800));
          }
        });
  }

  /** The confirming controller leads by now, and reaches no worker before the outage. */
  @ParameterizedTest(name = "seed {0}, links {1}, it ends after {2} ms")
  @CsvSource({
    "8021,whole,-1",
    "8022,whole,50",
    "8023,refused,-1",
    "8024,refused,0",
    "8025,held,250",
    "8026,held,-1"
  })
  void confirmedByTheNextLeader(long seed, String links, long ends) {
    Day d = new Day(seed);
    for (EmulatedWorker m : d.w.cloud.machines()) {
      for (SimulatedCluster.ControllerNode n : List.of(d.second, d.third)) {
        d.w.network.cut("node-" + n.index, m.endpoint(), true);
        d.w.network.cut(SimulatedCluster.clientAddress(n.index), m.endpoint(), true);
      }
    }
    refuse(d);
    d.links(links, false);
    d.w.run(4000);
    SimulatedCluster.ControllerNode leader = d.w.leader();
    assertTrue(leader != null && leader != d.old, "nobody else leads");
    d.cancel(leader);
    d.outage(
        x -> {
          if (ends >= 0) {
            d.w.sim.after(ends, () -> leader.crash(800));
          }
          d.w.sim.after(
              SimulatedCluster.LEASE_MS,
              () -> {
                for (EmulatedWorker m : d.w.cloud.machines()) {
                  for (SimulatedCluster.ControllerNode n : List.of(d.second, d.third)) {
                    d.w.network.heal("node-" + n.index, m.endpoint());
                    d.w.network.heal(SimulatedCluster.clientAddress(n.index), m.endpoint());
                  }
                }
              });
        });
  }

  /** The first layer: who confirms tells, and the old leader ends the tasks at once. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8101, 8102})
  void whoConfirmsTells(long seed) {
    Day d = new Day(seed);
    refuse(d);
    d.cancel(d.second);
    d.w.state.beginOutage();
    d.w.run(SimulatedCluster.REPORT_INTERVAL_MS);
    assertEquals(0, d.running(d.cancelled), "cancelled tasks");
  }

  /** The second layer: nobody can be told, so who confirmed ends the tasks on their machines. */
  @ParameterizedTest(name = "seed {0}, links {1}")
  @CsvSource({"8103,refused", "8104,held"})
  void whoConfirmsActs(long seed, String links) {
    Day d = new Day(seed);
    refuse(d);
    d.links(links, true);
    d.cancel(d.second);
    d.w.state.beginOutage();
    d.w.run(SimulatedCluster.CANCEL_DEADLINE_MS / 2);
    assertEquals(0, d.running(d.cancelled), "cancelled tasks");
  }

  /** Launches are on the wire while their jobs are cancelled, and arrive any time later. */
  @ParameterizedTest(name = "seed {0}, arriving after {1} ms, links {2}")
  @CsvSource({
    "8031,1000,whole",
    "8032,5000,whole",
    "8033,20000,whole",
    "8034,40000,whole",
    "8035,60000,whole",
    "8036,5000,refused",
    "8037,20000,refused",
    "8038,60000,refused",
    "8039,40000,held"
  })
  void launchesInFlight(long seed, long arriveMs, String links) {
    Day d = new Day(seed);
    List<String> machines =
        d.w.cloud.machines().stream().filter(m -> !m.isGone()).map(m -> m.endpoint()).toList();
    machines.forEach(m -> d.w.network.cut("node-" + d.old.index, m, true));
    // As many as a follower's puts take in the time; the others are cancelled in the end.
    List<SimulatedUsers.KnownJob> later = List.copyOf(d.cancelled);
    d.cancelled.clear();
    for (int i = 0; i < 4; i++) {
      d.cancelled.add(d.w.users.submitArray("one", "high", 4, 150));
    }
    d.w.run(1200);
    refuse(d);
    d.links(links, false);
    d.cancel(d.second);
    d.w.sim.after(
        5 * SimulatedCluster.CANCEL_DEADLINE_MS / 2, () -> later.forEach(d.w.users::cancel));
    d.outage(
        x ->
            d.w.sim.after(
                arriveMs, () -> machines.forEach(m -> d.w.network.heal("node-" + d.old.index, m))));
  }

  /** Some machines with cancelled work hear nothing, or hang, or both, in turn. */
  @ParameterizedTest(name = "seed {0}, {1}")
  @CsvSource({"8041,deaf", "8042,deaf", "8043,hang", "8044,hang", "8045,both", "8046,both"})
  void machinesThatDoNotObey(long seed, String how) {
    Day d = new Day(seed);
    refuse(d);
    d.cancel(d.second);
    int i = 0;
    for (EmulatedWorker m : d.w.cloud.machines()) {
      if (!m.isGone() && m.tasks().stream().anyMatch(EmulatedTask::isOnMachine) && i++ % 2 == 0) {
        if (how.equals("hang") || how.equals("both") && i % 4 == 1) {
          m.hang(SimulatedCluster.LEASE_MS * 9 / 10);
        } else {
          m.cutInbound(SimulatedCluster.LEASE_MS * 9 / 10);
        }
      }
    }
    d.outage(x -> {});
  }

  /** The state service does not refuse the old leader, it does not answer it. */
  @ParameterizedTest(name = "seed {0}, held back: {1}")
  @CsvSource({"8051,true", "8052,false", "8053,true"})
  void noAnswerInsteadOfARefusal(long seed, boolean hold) {
    Day d = new Day(seed);
    d.w.network.cut("node-" + d.old.index, "state:1", hold);
    d.w.run(200);
    d.cancel(d.second);
    d.outage(
        x ->
            d.w.sim.after(
                SimulatedCluster.CANCEL_DEADLINE_MS,
                () -> d.w.network.heal("node-" + d.old.index, "state:1")));
  }

  /** All controllers end in the outage: nobody remembers, so no lease is kept that must end. */
  @ParameterizedTest(name = "seed {0}, after {1} ms")
  @CsvSource({"8061,0", "8062,300", "8063,8000"})
  void allEnd(long seed, long after) {
    Day d = new Day(seed);
    refuse(d);
    d.cancel(d.second);
    d.outage(x -> d.w.sim.after(after, () -> d.w.nodes.forEach(n -> n.crash(700))));
  }

  /** In an outage of all, with controllers that reach each other, nothing else is lost. */
  @ParameterizedTest(name = "seed {0}, the leader refused before: {1}")
  @CsvSource({"8071,false", "8072,true", "8073,true"})
  void aCommonOutageCostsNothing(long seed, boolean refused) {
    Day d = new Day(seed);
    int byLease = d.w.cloud.tasksKilledByLease();
    int byRelease = d.w.cloud.tasksKilledByRelease();
    if (refused) {
      refuse(d);
      d.cancel(d.second);
    }
    List<SimulatedUsers.KnownJob> others = refused ? d.kept : d.cancelled;
    long before = d.running(others);
    d.w.state.beginOutage();
    d.w.run(2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    assertEquals(before, d.running(others), "tasks of other jobs");
    assertEquals(byLease, d.w.cloud.tasksKilledByLease(), "tasks killed by the end of a lease");
    assertEquals(byRelease, d.w.cloud.tasksKilledByRelease(), "tasks killed by returns");
    d.w.state.setRefused("node-" + d.old.index, false);
    d.w.state.endOutage();
    SeededDaysTest.settle(d.w);
  }

  /** A controller that is cut off from all others keeps no lease for longer than it may. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {8081, 8082})
  void whoHearsNobodyLetsGo(long seed) {
    Day d = new Day(seed);
    d.w.state.beginOutage();
    new RandomFaults(d.w)
        .isolateFromPeersAndState(d.old, false, 2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    new RandomFaults(d.w)
        .isolateFromPeersAndState(d.second, false, 2 * SimulatedCluster.CANCEL_DEADLINE_MS);
    d.w.run(SimulatedCluster.CANCEL_DEADLINE_MS * 11 / 10);
    assertEquals(0, d.running(d.cancelled) + d.running(d.kept), "tasks on kept leases");
    d.w.state.endOutage();
    d.w.run(SimulatedCluster.CANCEL_DEADLINE_MS);
    SeededDaysTest.settle(d.w);
  }
}
