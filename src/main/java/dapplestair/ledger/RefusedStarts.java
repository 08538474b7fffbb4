package dapplestair.ledger;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts that machines refuse. One that is full though the records say that it has room gets
 * nothing for a while, longer each time until it takes a start again.
 */
final class RefusedStarts {
  private static final Logger LOG = LoggerFactory.getLogger(RefusedStarts.class);

  private static final String FULL = "full";

  /** Causes with which a machine says that it has not started a task (PROTOCOL). */
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

  /** How many there were since this process began, by cause. */
  Map<String, Long> byCause() {
    return byCause;
  }

  /** An attempt has exited on a machine with this cause. */
  void onExited(Machine machine, String cause) {
    if (CAUSES.contains(cause)) {
      byCause.addTo(cause, 1);
    }
    // All that one command brought is refused at the same moment: one pause for all of it.
    if (cause.equals(FULL) && !machine.isOverfull()) {
      pause(machine);
    }
  }

  private void pause(Machine machine) {
    long pauseMs = firstPauseMs << Math.min(MAX_DOUBLINGS, machine.consecutiveOverfullCount());
    LOG.warn(
        "{} has less room than the records say ({} CPUs free): no starts there for {} ms",
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

  /** A machine has taken a start. */
  void onStartAccepted(Machine machine) {
    machine.resetOverfullCount();
  }
}
