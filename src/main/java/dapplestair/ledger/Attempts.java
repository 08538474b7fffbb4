package dapplestair.ledger;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The lives of attempts, from entering a machine until nothing of them is left on it. */
final class Attempts {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
  private static final double START_COUNTS_S = 30;

  private final LedgerContext context;
  private final TeamUsage use;
  private final ChunkWriter writer;
  private Consumer<Job> emptied = j -> {};

  Attempts(LedgerContext context, TeamUsage use, ChunkWriter writer) {
    this.context = context;
    this.use = use;
    this.writer = writer;
  }

  /** {@code listener} is told when a job that is over has one attempt less. */
  void whenEmptied(Consumer<Job> listener) {
    emptied = listener;
  }

  void enter(Chunk chunk, Attempt attempt) {
    chunk.live.put(attempt.step, attempt);
    attempt.job.held++;
    attempt.job.perZone.addTo(attempt.zone, 1);
    use.add(attempt.spec());
    context.callbacks.host(attempt.host).hold(attempt);
  }

  /** Asks for a stop; repeated by the workers' duty until it is proved. */
  void halt(Attempt attempt, double windDownS, StopReason why) {
    if (!attempt.sent()) {
      retire(attempt);
      return;
    }
    if (!attempt.halting) {
      attempt.haltAt = context.clock.now();
      takeBackStart(attempt, why);
      context.callbacks.stopping(attempt, why);
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
    if (!job.spec().isGang() || job.over() || missing.done || job.gangStopping) {
      return;
    }
    job.gangStopping = true;
    double windDownS = job.spec().savesProgress() ? 2 * job.spec().saveDurationS() : 0;
    for (Chunk chunk : List.copyOf(job.chunks.values())) {
      for (Attempt attempt : List.copyOf(chunk.live.values())) {
        if (!attempt.exited && !attempt.halting) {
          halt(attempt, windDownS, StopReason.GANG);
        }
      }
    }
    job.gangStopping = false;
  }

  /** A start that is soon stopped by command is none (PROTOCOL, "How aims are counted"). */
  private void takeBackStart(Attempt attempt, StopReason why) {
    Job job = attempt.job;
    if (!job.over
        && why != StopReason.NOTICE
        && attempt.ranS(context.clock.now()) < START_COUNTS_S
        && job.doneCount() == 0
        && job.chunks.values().stream()
            .flatMap(c -> c.live.values().stream())
            .noneMatch(o -> o != attempt && o.began && !o.halting)) {
      job.begun = false;
    }
  }

  /** An attempt stops counting: it has exited, or its absence is proved. */
  void vacate(Attempt attempt) {
    if (attempt.exited) {
      return;
    }
    attempt.exited = true;
    Job job = attempt.job;
    if (attempt.spec().isService()
        && ranS(attempt) > context.settings.workers().reportMs() / 500.0) {
      job.worked++;
    }
    if (!attempt.done) {
      job.keep(attempt.step, attempt.keptS(ranS(attempt)));
    }
    job.perZone.addTo(attempt.zone, -1);
    use.subtract(attempt.spec());
    context.callbacks.host(attempt.host).vacate(attempt, context.clock.now());
  }

  private double ranS(Attempt attempt) {
    return Math.max(attempt.ranBeforeExitS, attempt.ranS(context.clock.now()));
  }

  /** Nothing of it is left on its machine. */
  void retire(Attempt attempt) {
    vacate(attempt);
    Chunk chunk = attempt.job.chunkOf(attempt.step);
    if (chunk.live.get(attempt.step) == attempt) {
      chunk.live.remove(attempt.step);
      if (!attempt.done && (attempt.began || attempt.adopted)) {
        chunk.interrupted(attempt.step);
      }
      attempt.job.held--;
    }
    context.callbacks.host(attempt.host).forget(attempt);
    if (attempt.job.over) {
      emptied.accept(attempt.job);
    } else {
      writer.dirty(attempt.job, chunk, false);
      stopRestOfGang(attempt);
    }
    context.callbacks.changed();
  }

  /** The attempt of a job that is over needs nothing more. */
  void drop(Attempt attempt) {
    retire(attempt);
    if (attempt.done) {
      context.callbacks.clear(attempt.host, attempt.key(), attempt.number);
    }
  }

  /** Its absence is proved, though nobody saw it end. */
  void absent(Attempt attempt) {
    if (attempt.sent() && !attempt.exited && !attempt.halting && !attempt.job.over) {
      context.callbacks.lost(attempt);
    }
    retire(attempt);
  }

  /** The machine is proved to be gone: so is all that was on it. */
  void allAbsent(Machine machine) {
    if (!machine.attempts().isEmpty()) {
      LOG.debug(
          "{} is gone, and with it {}",
          machine.id(),
          machine.attempts().stream().map(a -> a.key() + " try " + a.number).toList());
    }
    List.copyOf(machine.attempts()).forEach(this::absent);
  }
}
