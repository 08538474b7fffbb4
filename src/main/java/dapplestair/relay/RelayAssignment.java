package dapplestair.relay;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Assigns the connections of each machine to a controller by weighted rendezvous hashing (Thaler
 * and Ravishankar, 1998), so that a controller that ends or returns moves only its own machines.
 */
public final class RelayAssignment {
  /**
   * Weight of a controller in the machine's own zone, relative to other zones. During a partition
   * between zones most machines then stay on the side of their controller, while machines of zones
   * without a controller are still spread evenly.
   */
  private static final double SAME_ZONE_WEIGHT = 2;

  // A dedicated seed, so that the order of machine names does not affect the assignment.
  private static final HashFunction HASH = Hashing.murmur3_128(0x5eed);

  private RelayAssignment() {}

  /** A controller that can hold connections. */
  public record Candidate(String member, String zone) {}

  /** Returns the controller for a machine, or null if there is no candidate. */
  public static String controllerFor(
      String machine, String zone, Collection<Candidate> candidates) {
    String best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double weight = candidate.zone().equals(zone) ? SAME_ZONE_WEIGHT : 1;
      double score = -weight / Math.log(fraction(machine, candidate.member()));
      if (score > bestScore) {
        bestScore = score;
        best = candidate.member();
      }
    }
    return best;
  }

  /** Returns a uniformly distributed hash of the pair, between 0 and 1, both excluded. */
  private static double fraction(String machine, String member) {
    long bits =
        HASH.newHasher()
            .putString(machine, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(member, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return ((bits >>> 11) + 0.5) / (1L << 53);
  }
}
