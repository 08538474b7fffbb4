package dapplestair.silence;

import dapplestair.settings.Settings;

/**
 * How long a silent machine is waited for, as a decision with its costs (docs/silence.md). Nothing
 * here is a proof: what is given up is returned to the cloud, and the cloud's answer proves.
 */
public final class SilenceTimeouts {
  // Clocks drift by less than this, and a report is heard later than it was sent.
  private static final double CLOCK_DRIFT_FACTOR = 1.01;

  // A controller behind the same cut keeps the leases of its zone's machines.
  private static final int LEASES_WITH_CONTROLLER = 3;

  private final Settings settings;

  /** Ratios to these settings. */
  public SilenceTimeouts(Settings settings) {
    this.settings = settings;
  }

  /** True when a controller lives in the zone, which may keep its leases behind a cut. */
  private boolean hasController(String zone) {
    return settings.peers().stream().anyMatch(p -> p.zone().equals(zone));
  }

  /** When what runs in a silent zone is lost, counted from when the zone was last heard. */
  public long lostAfterMs(String zone) {
    int leases = hasController(zone) ? LEASES_WITH_CONTROLLER : 1;
    return Math.round(CLOCK_DRIFT_FACTOR * leases * settings.workers().leaseMs());
  }

  /**
   * When room is made elsewhere for replicas that run in a silent zone: as soon as every machine
   * has missed a report. It is a few machines, and they have to boot before the leases end.
   */
  public long prepareAfterMs() {
    return Math.round(1.35 * settings.workers().reportMs());
  }

  /**
   * Whether a machine is given up that hangs while its zone is heard. A replica that hangs serves
   * nobody, so one with replicas at once. Any other may go on with its work until its lease has run
   * out; it is waited for no longer than the next one would take to boot.
   */
  public boolean shouldGiveUpHanging(long silentMs, boolean hasReplicas, double bootS) {
    double maxSilentMs = Math.min(CLOCK_DRIFT_FACTOR * settings.workers().leaseMs(), 1000 * bootS);
    return hasReplicas || silentMs > maxSilentMs;
  }

  /**
   * Whether a machine in a silent zone is given up.
   *
   * <p>With replicas: once they are lost, since each second counts and its release is the proof
   * that lets them start. With other work: at once while there is free room for what is lost, since
   * then it completes earlier elsewhere. Without such room its release would bring nothing but a
   * boot and the shortest charge; so it is waited for as long as the next one would take to boot
   * and to become as useful, twice its boot, and for longer while the cloud has none to give in its
   * place.
   *
   * @param silentMs how long nothing was heard of the machine
   * @param hasReplicas whether replicas run on it
   * @param hasRoomElsewhere whether what runs on it has free room elsewhere
   * @param isReplaceable whether the cloud has such machines elsewhere
   * @param bootS how long the next one would take to boot
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
