package dapplestair.fleet;

import java.util.List;

/**
 * Machines that are on their way for a waiting job, and the refusals that affect it.
 *
 * @param booting number of machines that suit the job and are not up yet
 * @param nextS seconds until the first of these machines is due, or -1 if there is none
 * @param refusals recent refusals of machines that would suit the job
 */
public record PendingCapacity(int booting, double nextS, List<CapacityRefusal> refusals) {

  /** A refusal by the cloud, which is asked again after {@code retryInS} seconds. */
  public record CapacityRefusal(String type, String zone, boolean spot, double retryInS) {}
}
