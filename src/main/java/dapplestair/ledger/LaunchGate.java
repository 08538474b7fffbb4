package dapplestair.ledger;

import dapplestair.work.Submission;

/** Checks every launch against the rules, whichever component proposes it. */
final class LaunchGate {
  private final LedgerContext context;
  private final TeamUsage teamUsage;
  private final Attempts attempts;
  private final ChunkWriter writer;

  LaunchGate(LedgerContext context, TeamUsage teamUsage, Attempts attempts, ChunkWriter writer) {
    this.context = context;
    this.teamUsage = teamUsage;
    this.attempts = attempts;
    this.writer = writer;
  }

  boolean isOpen() {
    return context.isReady() && context.leadership.isLeading();
  }

  /** Returns true if the job's zone rules allow one more attempt in this zone beside its others. */
  static boolean zoneAllows(Job job, String zone) {
    Submission submission = job.spec();
    // Attempts on machines out of contact count as well: they may still be running.
    if (submission.apart() && job.attemptsInZone(zone) >= submission.maxTasksPerZone()) {
      return false;
    }
    return !submission.together()
        || job.heldAttempts() == 0
        || job.attemptsInZone(zone) == job.heldAttempts();
  }

  /** Returns true if the job's rules allow one more of its tasks to start on this machine now. */
  boolean mayStart(Job job, Machine host) {
    Submission submission = job.spec();
    return host.isAllowedBy(submission)
        && host.fits(submission)
        && zoneAllows(job, host.zone())
        && teamUsage.allows(submission, 1);
  }

  /** Plans an attempt. Returns false unless every rule holds in the latest view. */
  boolean launch(Job job, int step, Machine host) {
    if (!isOpen() || job.isOver() || host.closed() || !mayStart(job, host)) {
      return false;
    }
    Chunk chunk = job.chunkOf(step);
    // An earlier attempt whose absence is not proved may still run somewhere.
    if (!chunk.isFree(step) || (job.spec().isGang() && !tryJoinGang(job, step))) {
      return false;
    }
    long number = assignNumber(job, chunk);
    long now = context.clock.now();
    attempts.register(
        chunk, new Attempt(job, step, number, host.id(), host.zone(), host.session(), now));
    writer.markDirty(job, chunk, true);
    return true;
  }

  /** Assigns a number that no earlier attempt of this task has; a gang's members share theirs. */
  private static long assignNumber(Job job, Chunk chunk) {
    chunk.lastNumber = job.spec().isGang() ? job.gangNumber : chunk.lastNumber + 1;
    return chunk.lastNumber;
  }

  /**
   * Adds a step to the gang's present start, if the step has not used the start's number. Workers
   * connect only members with equal numbers, so a gang starts as a whole: a member lost later
   * cannot be replaced under the old number, which its lost attempt has used.
   */
  private static boolean tryJoinGang(Job job, int step) {
    if (job.heldAttempts == 0) {
      long highestNumber =
          job.chunks.values().stream().mapToLong(c -> c.lastNumber).max().orElse(0);
      job.gangNumber = highestNumber + 1;
      job.gangSteps.clear();
    }
    return job.gangNumber > 0 && job.gangSteps.add(step);
  }
}
