package dapplestair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** KNOWN-RED.txt names only tests that exist, and passes over only what it says. */
class KnownRedTest {
  private static final String LINE =
      "dapplestair.world.BurstTest.aRefusalIsKnownAtOnce[seed 5016 & seed 5019]"
          + " | mvn test -Dtest=BurstTest | 5016 | \"of the 360 machines\" too few are rented | issue 41";

  @Test
  void theListNamesTestsThatExist() throws ClassNotFoundException {
    for (KnownRedEntry entry : KnownRed.readEntries()) {
      long methods =
          Arrays.stream(Class.forName(entry.className()).getDeclaredMethods())
              .filter(m -> m.getName().equals(entry.method()))
              .count();
      assertEquals(1, methods, entry.className() + "." + entry.method());
    }
  }

  @Test
  void anEntryCoversItsInvocationsAlone() {
    KnownRedEntry entry = KnownRedEntry.parse(LINE);
    String className = "dapplestair.world.BurstTest";
    assertTrue(entry.covers(className, "aRefusalIsKnownAtOnce", "seed 5016"));
    assertTrue(entry.covers(className, "aRefusalIsKnownAtOnce", "seed 5019"));
    assertFalse(entry.covers(className, "aRefusalIsKnownAtOnce", "seed 5011"));
    assertFalse(entry.covers(className, "aNewLeaderRentsAsSoon", "seed 5016"));
    assertEquals(41, entry.issue());
  }

  @Test
  void anotherFailureOfTheSameTestIsNotPassedOver() {
    KnownRedEntry entry = KnownRedEntry.parse(LINE);
    assertTrue(entry.covers(new AssertionError("216 of the 360 machines that the cloud has")));
    assertFalse(entry.covers(new AssertionError("ran_twice: wk-000001/3")));
    assertFalse(entry.covers(new NullPointerException()));
  }

  /** Without the test's invocation, its command, its seed, its message or its issue. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "dapplestair.T.m | mvn test | 1 | \"a\" b | issue 1",
        "dapplestair.T.m[seed 1] | 1 | \"a\" b | issue 1",
        "dapplestair.T.m[seed 1] | mvn test | \"a\" b | issue 1",
        "dapplestair.T.m[seed 1] | mvn test | 1 | b | issue 1",
        "dapplestair.T.m[seed 1] | mvn test | 1 | \"a\" b",
        ""
      })
  void anEntryIsWhole(String line) {
    assertThrows(IllegalArgumentException.class, () -> KnownRedEntry.parse(line));
  }
}
