package dapplestair.ledger;

import java.util.List;
import java.util.function.Consumer;

/** The lives of attempts, from entering a machine until nothing of them is left on it. */
final class Attempts {
  private static final double START_COUNTS_S = 30;

  private final Office office;
  private final TeamUse use;
  private final ChunkWriter writer;
  private Consumer<Job> emptied = j -> {};

  Attempts(Office office, TeamUse use, ChunkWriter writer) {
    this.office = office;
    this.use = use;
    this.writer = writer;
  }

  /** {@code listener} is told when a job that is over has one attempt less. */
  void whenEmptied(Consumer<Job> listener) {
    emptied = listener;
  }

  void enter(Chunk c, Attempt a) {
    c.live.put(a.step, a);
    a.job.held++;
    a.job.perZone.addTo(a.zone, 1);
    use.add(a.spec());
    office.hooks.host(a.host).hold(a);
  }

  /** Asks for a stop; repeated by the workers' duty until it is proved. */
  void halt(Attempt a, double windDownS, StopReason why) {
    if (!a.sent()) {
      retire(a);
      return;
    }
    if (!a.halting) {
      a.haltAt = office.clock.now();
      takeBackStart(a, why);
      office.hooks.stopping(a, why);
    }
    a.halting = true;
    office.hooks.halt(a, windDownS);
    stopRestOfGang(a);
  }

  /**
   * Workers let only members of one start meet. Without this one the run of the others is of no
   * use, and the gang can begin anew only once all of them are gone: so they are stopped with it,
   * whether it was stopped, lost or failed (GangTest).
   */
  private void stopRestOfGang(Attempt missing) {
    Job job = missing.job;
    if (!job.spec().gang() || job.over() || missing.done || job.gangStopping) {
      return;
    }
    job.gangStopping = true;
    double windDownS = job.spec().saves() ? 2 * job.spec().saveS() : 0;
    for (Chunk c : List.copyOf(job.chunks.values())) {
      for (Attempt a : List.copyOf(c.live.values())) {
        if (!a.exited && !a.halting) {
          halt(a, windDownS, StopReason.GANG);
        }
      }
    }
    job.gangStopping = false;
  }

  /** A start that is soon stopped by command is none (PROTOCOL, "How aims are counted"). */
  private void takeBackStart(Attempt a, StopReason why) {
    Job job = a.job;
    if (!job.over
        && why != StopReason.NOTICE
        && a.ranS(office.clock.now()) < START_COUNTS_S
        && job.doneCount() == 0
        && job.chunks.values().stream()
            .flatMap(c -> c.live.values().stream())
            .noneMatch(o -> o != a && o.began && !o.halting)) {
      job.begun = false;
    }
  }

  /** An attempt stops counting: it has exited, or its absence is proved. */
  void vacate(Attempt a) {
    if (a.exited) {
      return;
    }
    a.exited = true;
    Job job = a.job;
    if (a.spec().service() && ranS(a) > office.settings.workers().reportMs() / 500.0) {
      job.worked++;
    }
    if (!a.done) {
      job.keep(a.step, a.keptS(ranS(a)));
    }
    job.perZone.addTo(a.zone, -1);
    use.subtract(a.spec());
    office.hooks.host(a.host).vacate(a, office.clock.now());
  }

  private double ranS(Attempt a) {
    return Math.max(a.ranBeforeExitS, a.ranS(office.clock.now()));
  }

  /** Nothing of it is left on its machine. */
  void retire(Attempt a) {
    vacate(a);
    Chunk c = a.job.chunkOf(a.step);
    if (c.live.get(a.step) == a) {
      c.live.remove(a.step);
      if (!a.done && (a.began || a.adopted)) {
        c.interrupted(a.step);
      }
      a.job.held--;
    }
    office.hooks.host(a.host).forget(a);
    if (a.job.over) {
      emptied.accept(a.job);
    } else {
      writer.dirty(a.job, c, false);
      stopRestOfGang(a);
    }
    office.hooks.changed();
  }

  /** The attempt of a job that is over needs nothing more. */
  void drop(Attempt a) {
    retire(a);
    if (a.done) {
      office.hooks.clear(a.host, a.key(), a.number);
    }
  }

  /** Its absence is proved, though nobody saw it end. */
  void absent(Attempt a) {
    if (a.sent() && !a.exited && !a.halting && !a.job.over) {
      office.hooks.lost(a);
    }
    retire(a);
  }

  /** The machine is proved to be gone: so is all that was on it. */
  void allAbsent(Machine machine) {
    List.copyOf(machine.attempts()).forEach(this::absent);
  }
}
