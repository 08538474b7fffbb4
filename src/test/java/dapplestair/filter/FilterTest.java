package dapplestair.filter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FilterTest {
  private static final Row JOB =
      Map.<String, Object>of(
              "ref",
              "wk-000412",
              "team",
              "entoles",
              "status",
              "queued",
              "waiting",
              45.0,
              "tasks",
              3.0,
              "spot",
              true)
          ::get;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "team = \"entoles\" and waiting > 30s and not status in (done, aborted) | true",
        "team = entoles and waiting > 1m | false",
        "waiting >= 45000ms | true",
        "team = a or tasks < 4 and spot | true",
        "(team = a or tasks < 4) and not spot | false",
        "not not spot | true",
        "status not in (done, queued) | false",
        "ref ~ 0412 | true",
        "zone = a | false",
        "zone != a | true",
        "spot = false | false",
      })
  void filterMatchesAsExpected(String filter, boolean expected) throws FilterException {
    assertEquals(expected, Filter.read(filter, Schema.JOBS).test(JOB));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "team = | 6",
        "teem = a | 0",
        "team = a and | 12",
        "team = a b | 9",
        "waiting > abc | 10",
        "team > 3 | 5",
        "spot and status | 9",
        "team = 'x' | 7",
        "status in (done | 15",
      })
  void errorsPointAtTheirPosition(String filter, int position) {
    FilterException e = assertThrows(FilterException.class, () -> Filter.read(filter, Schema.JOBS));
    assertEquals(position, e.position(), e.getMessage());
    String[] lines = e.annotate(filter).split("\n");
    assertEquals(position, lines[1].indexOf('^'));
  }

  @Test
  void overlongAndDeeplyNestedFiltersAreRejected() {
    String longFilter = "tasks = 1 or ".repeat(770) + "tasks = 1";
    FilterException e =
        assertThrows(FilterException.class, () -> Filter.read(longFilter, Schema.JOBS));
    assertTrue(longFilter.length() > 10_000 && e.getMessage().contains("2000"), e.getMessage());
    assertTrue(e.annotate(longFilter).lines().allMatch(l -> l.length() < 200));
    String deepFilter = "(".repeat(900) + "spot" + ")".repeat(900);
    assertThrows(FilterException.class, () -> Filter.read(deepFilter, Schema.JOBS));
  }

  @Test
  void repeatedNegationsNeedNoNesting() throws FilterException {
    assertTrue(Filter.read("not ".repeat(450) + "spot", Schema.JOBS).test(JOB));
  }
}
