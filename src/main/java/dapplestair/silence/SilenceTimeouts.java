package dapplestair.silence;

import dapplestair.settings.Settings;

/**
 * Decides how long to wait for a silent machine, by the costs of waiting and of giving up
 * (docs/silence.md). Nothing here proves that a machine is gone: a machine that is given up is
 * returned to the cloud, and the cloud's response is the proof.
 */
public final class SilenceTimeouts {
  // Clocks drift by less than this factor, and a report arrives later than it was sent.
  private static final double CLOCK_DRIFT_FACTOR = 1.01;

  // Number of leases after which work is lost in a zone with a controller: a controller behind the
  // same cut renews the leases of its zone's machines.
  private static final int LEASES_WITH_CONTROLLER = 3;

  private final Settings settings;

  /** Creates timeouts that are multiples of the intervals in {@code settings}. */
  public SilenceTimeouts(Settings settings) {
    this.settings = settings;
  }

  /** Returns whether a controller runs in the zone; it may renew leases there behind a cut. */
  private boolean hasController(String zone) {
    return settings.peers().stream().anyMatch(p -> p.zone().equals(zone));
  }

  /** Returns how long after a zone was last heard the work that runs in it is lost. */
  public long lostAfterMs(String zone) {
    int leases = hasController(zone) ? LEASES_WITH_CONTROLLER : 1;
    return Math.round(CLOCK_DRIFT_FACTOR * leases * settings.workers().leaseMs());
  }

  /**
   * Returns how long a zone must be silent before capacity for its replicas is rented elsewhere:
   * until every machine of the zone has missed a report. The replicas need only a few machines,
   * which must boot before the leases end.
   */
  public long prepareAfterMs() {
    return Math.round(1.35 * settings.workers().reportMs());
  }

  /**
   * Returns whether to give up a machine that is silent while its zone is heard. A machine with
   * replicas is given up at once, since replicas on a hanging machine serve nobody. Any other
   * machine may continue its work until its lease expires, and is waited for no longer than its
   * successor would take to boot.
   */
  public boolean shouldGiveUpHanging(long silentMs, boolean hasReplicas, double bootS) {
    double maxSilentMs = Math.min(CLOCK_DRIFT_FACTOR * settings.workers().leaseMs(), 1000 * bootS);
    return hasReplicas || silentMs > maxSilentMs;
  }

  /**
   * Returns whether to give up a machine in a silent zone. No machine is given up before the work
   * in its zone is lost.
   *
   * <p>A machine with replicas is then given up, since each second counts and its release is the
   * proof that lets the replicas start elsewhere. A machine with other work is then given up if
   * there is free room for that work, since it completes earlier elsewhere. Without such room, the
   * release would bring only another boot and the minimum charge. The machine is then waited for as
   * long as its successor would take to boot and to become as useful, which is twice the boot time
   * after the work is lost, and longer while the cloud has no such machine to replace it. After a
   * silence of three leases it is given up in any case; in a zone with a controller that is as soon
   * as the work is lost.
   *
   * @param silentMs how long the machine has not been heard
   * @param hasReplicas whether replicas run on it
   * @param hasRoomElsewhere whether there is free room elsewhere for what runs on it
   * @param isReplaceable whether the cloud has such machines elsewhere
   * @param bootS how many seconds its successor would take to boot
   */
  public boolean shouldGiveUp(
      String zone,
      long silentMs,
      boolean hasReplicas,
      boolean hasRoomElsewhere,
      boolean isReplaceable,
      double bootS) {
    long lostAfterMs = lostAfterMs(zone);
    if (silentMs <= lostAfterMs) {
      return false;
    }
    return hasReplicas
        || hasRoomElsewhere
        || (isReplaceable && silentMs > lostAfterMs + Math.round(2000 * bootS))
        || silentMs > LEASES_WITH_CONTROLLER * settings.workers().leaseMs();
  }
}
