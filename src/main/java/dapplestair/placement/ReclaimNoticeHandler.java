package dapplestair.placement;

import dapplestair.disruption.DisruptionGate;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.StopReason;
import dapplestair.ports.Clock;
import dapplestair.workers.Host;
import java.util.List;

/**
 * Stops what cannot end on a machine before the cloud takes it, so that it begins elsewhere at once
 * instead of after the machine is gone. What may still end there stays.
 */
public final class ReclaimNoticeHandler {
  // Owners' guesses are often wrong by half: unsaved work is given up only when it is well over.
  private static final double SURELY_LATE = 1.5;

  private final Clock clock;
  private final DisruptionGate disruptionGate;
  private final RuntimeEstimates estimates;

  /** Judges by these estimates. */
  public ReclaimNoticeHandler(
      Clock clock, DisruptionGate disruptionGate, RuntimeEstimates estimates) {
    this.clock = clock;
    this.disruptionGate = disruptionGate;
    this.estimates = estimates;
  }

  /** A notice has come for this machine. */
  public void leave(Host host) {
    double noticeS = (host.recallAt() - clock.now()) / 1000.0;
    for (Attempt attempt : List.copyOf(host.attempts())) {
      if (attempt.exited() || attempt.halting() || attempt.spec().gang()) {
        continue;
      }
      double saveS = attempt.spec().saves() ? attempt.spec().saveS() : 0;
      double left =
          attempt.spec().service() ? noticeS : estimates.leftS(attempt, host, clock.now());
      double most = attempt.spec().saves() ? noticeS - saveS : SURELY_LATE * noticeS;
      if (left > most) {
        disruptionGate.forceStop(
            attempt, Math.max(0, Math.min(2 * saveS, noticeS)), StopReason.NOTICE);
      }
    }
  }
}
