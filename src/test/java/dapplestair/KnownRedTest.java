package dapplestair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** KNOWN-RED.txt is short, and names only tests that exist. */
class KnownRedTest {
  private static final int MOST = 3;

  @Test
  void theListNamesTestsThatExist() throws ClassNotFoundException {
    assertTrue(KnownRed.entries().size() <= MOST, "more than " + MOST + " lines");
    for (KnownRed.Entry entry : KnownRed.entries()) {
      long methods =
          Arrays.stream(Class.forName(entry.className()).getDeclaredMethods())
              .filter(m -> m.getName().equals(entry.method()))
              .count();
      assertEquals(1, methods, entry.className() + "." + entry.method());
    }
  }
}
