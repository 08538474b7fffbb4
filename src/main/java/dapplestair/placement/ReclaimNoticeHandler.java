package dapplestair.placement;

import dapplestair.disruption.DisruptionGate;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.StopReason;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import java.util.List;

/**
 * Stops tasks that cannot end before the cloud reclaims their machine, so that they restart
 * elsewhere at once instead of after the machine is gone. Tasks that may still end in time keep
 * running.
 */
public final class ReclaimNoticeHandler {
  // Owners' runtime guesses are often wrong by half, so unsaved work is given up only when its
  // remaining time clearly exceeds the notice.
  private static final double SURELY_LATE_FACTOR = 1.5;

  private final Clock clock;
  private final DisruptionGate disruptionGate;
  private final RuntimeEstimates estimates;

  /** Creates a handler that decides by these runtime estimates. */
  public ReclaimNoticeHandler(
      Clock clock, DisruptionGate disruptionGate, RuntimeEstimates estimates) {
    this.clock = clock;
    this.disruptionGate = disruptionGate;
    this.estimates = estimates;
  }

  /** Handles the reclaim notice that the cloud gave for this machine. */
  public void handleNotice(Host host) {
    double noticeS = (host.reclaimAt() - clock.now()) / 1000.0;
    for (Attempt attempt : List.copyOf(host.attempts())) {
      if (attempt.exited() || attempt.halting() || attempt.spec().isGang()) {
        continue;
      }
      double saveS = attempt.spec().savesProgress() ? attempt.spec().saveDurationS() : 0;
      double remainingS =
          attempt.spec().isService()
              ? noticeS
              : estimates.remainingRunS(attempt, host, clock.now());
      double maxRemainingS =
          attempt.spec().savesProgress() ? noticeS - saveS : SURELY_LATE_FACTOR * noticeS;
      if (remainingS > maxRemainingS) {
        disruptionGate.forceStop(
            attempt, Math.max(0, Math.min(2 * saveS, noticeS)), StopReason.NOTICE);
      }
    }
  }
}
