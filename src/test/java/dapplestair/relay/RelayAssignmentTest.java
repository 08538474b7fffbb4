package dapplestair.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.relay.RelayAssignment.Candidate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that machines are assigned evenly, that the end of a controller moves only its own
 * machines, and that controllers in the zone of a machine are preferred.
 */
class RelayAssignmentTest {
  private static final int MACHINES = 3600;
  private static final List<String> ZONES = List.of("a", "b", "c");

  /** Returns controllers in the first two of three zones. */
  private static List<Candidate> controllers(int count) {
    List<Candidate> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new Candidate("node-" + i, ZONES.get(i % 2)));
    }
    return all;
  }

  private static String machine(int i) {
    return String.format("n-%06d", i);
  }

  private static String assignedController(int i, List<Candidate> candidates) {
    return RelayAssignment.controllerFor(machine(i), ZONES.get(i % 3), candidates);
  }

  @ParameterizedTest(name = "{0} controllers")
  @ValueSource(ints = {1, 2, 3, 5, 7})
  void machinesAreSpreadEvenly(int count) {
    List<Candidate> candidates = controllers(count);
    Multiset<String> load = HashMultiset.create();
    for (int i = 0; i < MACHINES; i++) {
      load.add(assignedController(i, candidates));
    }
    double mean = (double) MACHINES / count;
    candidates.forEach(
        candidate ->
            assertTrue(
                load.count(candidate.member()) < 1.3 * mean,
                candidate + ": " + load.count(candidate.member())));
  }

  @Test
  void onlyMachinesOfAnEndedControllerMove() {
    List<Candidate> all = controllers(5);
    List<Candidate> remaining = new ArrayList<>(all);
    Candidate ended = remaining.remove(2);
    for (int i = 0; i < MACHINES; i++) {
      String before = assignedController(i, all);
      if (!before.equals(ended.member())) {
        assertEquals(before, assignedController(i, remaining));
      }
    }
  }

  @Test
  void controllersInTheMachinesZoneHaveDoubleWeight() {
    List<Candidate> candidates = controllers(2);
    long inZone = 0;
    for (int i = 0; i < MACHINES; i++) {
      inZone += RelayAssignment.controllerFor(machine(i), "a", candidates).equals("node-0") ? 1 : 0;
    }
    assertEquals(2.0 / 3, (double) inZone / MACHINES, 0.03);
  }

  @Test
  void noCandidateGivesNull() {
    assertNull(RelayAssignment.controllerFor("n-000001", "a", List.of()));
  }
}
