package dapplestair.fleet;

import java.util.List;

/**
 * What the fleet holds in store for a job that waits.
 *
 * @param booting machines that suit it and are not up yet
 * @param nextS seconds until the first of them is due, or -1
 * @param refusals where the cloud refused machines that would suit it
 */
public record PendingCapacity(int booting, double nextS, List<CapacityRefusal> refusals) {

  /** The cloud had none; it is asked again after so many seconds. */
  public record CapacityRefusal(String type, String zone, boolean spot, double retryInS) {}
}
