package dapplestair.peers;

import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Identifies one process of a controller. A controller that restarts keeps its member name and gets
 * a new incarnation.
 */
public record Incarnation(UUID id) {
  /** Draws the incarnation of a new process. */
  public static Incarnation draw(UniformRandomProvider random) {
    return new Incarnation(new UUID(random.nextLong(), random.nextLong()));
  }

  /** Returns a number that distinguishes this process from other ones in messages. */
  public long processId() {
    return id.getMostSignificantBits();
  }

  @Override
  public String toString() {
    return id.toString();
  }
}
