package dapplestair.ledger;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The lives of attempts, from entering a machine until nothing of them is left on it. */
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

  /** {@code listener} is told when a job that is over has one attempt less. */
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

  /** Asks for a stop; repeated by the workers' duty until it is proved. */
  void halt(Attempt attempt, double windDownS, StopReason why) {
    if (!attempt.isSent()) {
      remove(attempt);
      return;
    }
    if (!attempt.halting) {
      attempt.firstHaltAtMs = context.clock.now();
      retractStart(attempt, why);
      context.callbacks.onFirstStopRequest(attempt, why);
    }
    attempt.halting = true;
    context.callbacks.halt(attempt, windDownS);
    stopRestOfGang(attempt);
  }

  /**
   * Workers let only members of one start meet. Without this one the run of the others is of no
   * use, and the gang can begin anew only once all of them are gone: so they are stopped with it,
   * whether it was stopped, lost or failed (GangTest).
   */
  private void stopRestOfGang(Attempt missing) {
    Job job = missing.job;
    if (!job.spec().gang() || job.isOver() || missing.done || job.stoppingGang) {
      return;
    }
    job.stoppingGang = true;
    double windDownS = job.spec().saves() ? 2 * job.spec().saveS() : 0;
    for (Chunk chunk : List.copyOf(job.chunks.values())) {
      for (Attempt attempt : List.copyOf(chunk.attemptsByStep.values())) {
        if (!attempt.exited && !attempt.halting) {
          halt(attempt, windDownS, StopReason.GANG);
        }
      }
    }
    job.stoppingGang = false;
  }

  /** A start that is soon stopped by command is none (PROTOCOL, "How aims are counted"). */
  private void retractStart(Attempt attempt, StopReason why) {
    Job job = attempt.job;
    if (!job.ended
        && why != StopReason.NOTICE
        && attempt.runTimeS(context.clock.now()) < MIN_RUN_FOR_START_S
        && job.doneCount() == 0
        && job.chunks.values().stream()
            .flatMap(c -> c.attemptsByStep.values().stream())
            .noneMatch(o -> o != attempt && o.seenRunning && !o.halting)) {
      job.hasBegun = false;
    }
  }

  /** An attempt stops counting: it has exited, or its absence is proved. */
  void releaseResources(Attempt attempt) {
    if (attempt.exited) {
      return;
    }
    attempt.exited = true;
    Job job = attempt.job;
    if (attempt.spec().service()
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

  /** Nothing of it is left on its machine. */
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

  /** The attempt of a job that is over needs nothing more. */
  void discard(Attempt attempt) {
    remove(attempt);
    if (attempt.done) {
      context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
    }
  }

  /** Its absence is proved, though nobody saw it end. */
  void markAbsent(Attempt attempt) {
    if (attempt.isSent() && !attempt.exited && !attempt.halting && !attempt.job.ended) {
      context.callbacks.onAttemptLost(attempt);
    }
    remove(attempt);
  }

  /** The machine is proved to be gone: so is all that was on it. */
  void markAllAbsent(Machine machine) {
    if (!machine.attempts().isEmpty()) {
      LOG.debug(
          "{} is gone, and with it {}",
          machine.id(),
          machine.attempts().stream().map(a -> a.key() + " try " + a.number).toList());
    }
    List.copyOf(machine.attempts()).forEach(this::markAbsent);
  }
}
