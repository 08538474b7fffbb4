package dapplestair.ledger;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the starts that machines refuse. A machine that is full though the records say that it has
 * room gets no starts for a while; the pause doubles, up to a maximum, until the machine accepts a
 * start again.
 */
final class RefusedStarts {
  private static final Logger LOG = LoggerFactory.getLogger(RefusedStarts.class);

  private static final String FULL = "full";

  /** The causes with which a machine reports that it has not started a task (PROTOCOL). */
  private static final Set<String> CAUSES = Set.of(FULL, "busy", "unknown");

  private static final int PAUSES_PER_REPORT = 3;
  private static final int MAX_DOUBLINGS = 4;

  private final LedgerContext context;
  private final long firstPauseMs;
  private final Object2LongOpenHashMap<String> byCause = new Object2LongOpenHashMap<>();

  RefusedStarts(LedgerContext context) {
    this.context = context;
    this.firstPauseMs = context.settings.workers().reportMs() / PAUSES_PER_REPORT;
  }

  /** Returns the number of refused starts since this process began, by cause. */
  Map<String, Long> byCause() {
    return byCause;
  }

  /** Handles an attempt's exit on a machine with this cause. */
  void onExited(Machine machine, String cause) {
    if (CAUSES.contains(cause)) {
      byCause.addTo(cause, 1);
    }
    // All starts of one command are refused at the same moment, and cause one pause only.
    if (cause.equals(FULL) && !machine.isOverfull()) {
      pause(machine);
    }
  }

  private void pause(Machine machine) {
    long pauseMs = firstPauseMs << Math.min(MAX_DOUBLINGS, machine.consecutiveOverfullCount());
    LOG.warn(
        "machine {} refused a start as full, though {} of its CPUs are free by the records; no starts there for {} ms",
        machine.id(),
        machine.cpusFree(),
        pauseMs);
    machine.setOverfull(true);
    context.timers.after(
        pauseMs,
        () -> {
          machine.setOverfull(false);
          context.callbacks.onChanged();
        });
  }

  /** Handles a start that a machine has accepted. */
  void onStartAccepted(Machine machine) {
    machine.resetOverfullCount();
  }
}
