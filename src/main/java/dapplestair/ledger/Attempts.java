package dapplestair.ledger;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks attempts from their registration on a machine until nothing of them is left there. */
final class Attempts {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
  private static final double MIN_RUN_FOR_START_S = 30;

  private final LedgerContext context;
  private final TeamUsage teamUsage;
  private final ChunkWriter writer;
  private Consumer<Job> attemptRemovedListener = j -> {};

  Attempts(LedgerContext context, TeamUsage teamUsage, ChunkWriter writer) {
    this.context = context;
    this.teamUsage = teamUsage;
    this.writer = writer;
  }

  /**
   * Sets a listener that is called with a job that is over whenever one of its attempts is removed.
   */
  void setAttemptRemovedListener(Consumer<Job> listener) {
    attemptRemovedListener = listener;
  }

  void register(Chunk chunk, Attempt attempt) {
    chunk.attemptsByStep.put(attempt.step, attempt);
    attempt.job.heldAttempts++;
    attempt.job.attemptsPerZone.addTo(attempt.zone, 1);
    teamUsage.add(attempt.spec());
    context.callbacks.host(attempt.host).reserve(attempt);
  }

  /**
   * Asks for an attempt's stop; the worker manager repeats the request until the attempt's absence
   * is proved.
   */
  void halt(Attempt attempt, double windDownS, StopReason reason) {
    if (!attempt.isSent()) {
      remove(attempt);
      return;
    }
    if (!attempt.halting) {
      attempt.firstHaltAtMs = context.clock.now();
      retractStart(attempt, reason);
      context.callbacks.onFirstStopRequest(attempt, reason);
    }
    attempt.halting = true;
    context.callbacks.halt(attempt, windDownS);
    stopRestOfGang(attempt);
  }

  /**
   * Stops the other members of a gang when one is missing. Workers connect only members of the same
   * start, so the run of the others is useless without this one, and the gang can begin anew only
   * once all of them are gone. So they are stopped with it, whether it was stopped, lost or failed
   * (GangTest).
   */
  private void stopRestOfGang(Attempt missingMember) {
    Job job = missingMember.job;
    if (!job.spec().isGang() || job.isOver() || missingMember.done || job.stoppingGang) {
      return;
    }
    job.stoppingGang = true;
    double windDownS = job.spec().savesProgress() ? 2 * job.spec().saveDurationS() : 0;
    for (Chunk chunk : List.copyOf(job.chunks.values())) {
      for (Attempt attempt : List.copyOf(chunk.attemptsByStep.values())) {
        if (!attempt.exited && !attempt.halting) {
          halt(attempt, windDownS, StopReason.GANG);
        }
      }
    }
    job.stoppingGang = false;
  }

  /**
   * Retracts the start of a job without completed tasks if its last running attempt is stopped by
   * command, other than for a reclaim notice, within {@link #MIN_RUN_FOR_START_S} seconds: such a
   * start does not count (PROTOCOL, "How aims are counted").
   */
  private void retractStart(Attempt attempt, StopReason reason) {
    Job job = attempt.job;
    if (!job.ended
        && reason != StopReason.NOTICE
        && attempt.runTimeS(context.clock.now()) < MIN_RUN_FOR_START_S
        && job.doneCount() == 0
        && job.chunks.values().stream()
            .flatMap(c -> c.attemptsByStep.values().stream())
            .noneMatch(o -> o != attempt && o.seenRunning && !o.halting)) {
      job.hasBegun = false;
    }
  }

  /** Releases an attempt's resources, after it has exited or its absence was proved. */
  void releaseResources(Attempt attempt) {
    if (attempt.exited) {
      return;
    }
    attempt.exited = true;
    Job job = attempt.job;
    if (attempt.spec().isService()
        && runTimeS(attempt) > context.settings.workers().reportMs() / 500.0) {
      job.interruptedReplicas++;
    }
    if (!attempt.done) {
      job.addSavedTime(attempt.step, attempt.checkpointedS(runTimeS(attempt)));
    }
    job.attemptsPerZone.addTo(attempt.zone, -1);
    teamUsage.subtract(attempt.spec());
    context.callbacks.host(attempt.host).release(attempt, context.clock.now());
  }

  private double runTimeS(Attempt attempt) {
    return Math.max(attempt.runTimeBeforeExitS, attempt.runTimeS(context.clock.now()));
  }

  /** Removes an attempt of which nothing is left on its machine. */
  void remove(Attempt attempt) {
    releaseResources(attempt);
    Chunk chunk = attempt.job.chunkOf(attempt.step);
    if (chunk.attemptsByStep.get(attempt.step) == attempt) {
      chunk.attemptsByStep.remove(attempt.step);
      if (!attempt.done && (attempt.seenRunning || attempt.adopted)) {
        chunk.markInterrupted(attempt.step);
      }
      attempt.job.heldAttempts--;
    }
    context.callbacks.host(attempt.host).forget(attempt);
    if (attempt.job.ended) {
      attemptRemovedListener.accept(attempt.job);
    } else {
      writer.markDirty(attempt.job, chunk, false);
      stopRestOfGang(attempt);
    }
    context.callbacks.onChanged();
  }

  /** Removes an attempt of a job that is over, and its report if it has completed. */
  void discard(Attempt attempt) {
    remove(attempt);
    if (attempt.done) {
      context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
    }
  }

  /** Removes an attempt whose absence is proved although no report showed its end. */
  void markAbsent(Attempt attempt) {
    if (attempt.isSent() && !attempt.exited && !attempt.halting && !attempt.job.ended) {
      context.callbacks.onAttemptLost(attempt);
    }
    remove(attempt);
  }

  /** Removes all attempts of a machine that is proved to be gone. */
  void markAllAbsent(Machine machine) {
    if (!machine.attempts().isEmpty()) {
      LOG.debug(
          "machine {} is gone; its attempts are absent: {}",
          machine.id(),
          machine.attempts().stream().map(a -> a.key() + " attempt " + a.number).toList());
    }
    List.copyOf(machine.attempts()).forEach(this::markAbsent);
  }
}
