package dapplestair.ledger;

import dapplestair.work.Submission;

/** The one gate that every launch passes, whoever proposes it. */
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
    return context.isReady() && context.leadership.leading();
  }

  /** True when the job's other attempts leave room for one more in this zone. */
  static boolean zoneAllows(Job job, String zone) {
    Submission submission = job.spec();
    // Attempts out of reach count as well: they may still be there.
    if (submission.apart() && job.attemptsInZone(zone) >= submission.mostPerZone()) {
      return false;
    }
    return !submission.together()
        || job.heldAttempts() == 0
        || job.attemptsInZone(zone) == job.heldAttempts();
  }

  /** True when the job's rules let one more of its tasks start on this machine now. */
  boolean mayStart(Job job, Machine host) {
    Submission submission = job.spec();
    return host.isAllowedBy(submission)
        && host.fits(submission)
        && zoneAllows(job, host.zone())
        && teamUsage.allows(submission, 1);
  }

  /** Plans an attempt; refused unless every rule holds in the latest view. */
  boolean launch(Job job, int step, Machine host) {
    if (!isOpen() || job.isOver() || host.closed() || !mayStart(job, host)) {
      return false;
    }
    Chunk chunk = job.chunkOf(step);
    // An earlier attempt without proof of absence may still run somewhere.
    if (!chunk.isFree(step) || (job.spec().gang() && !tryJoinGang(job, step))) {
      return false;
    }
    long number = assignNumber(job, chunk);
    long now = context.clock.now();
    attempts.register(
        chunk, new Attempt(job, step, number, host.id(), host.zone(), host.session(), now));
    writer.markDirty(job, chunk, true);
    return true;
  }

  /** A number that no earlier attempt at this task has; a gang's members share theirs. */
  private static long assignNumber(Job job, Chunk chunk) {
    chunk.lastNumber = job.spec().gang() ? job.gangNumber : chunk.lastNumber + 1;
    return chunk.lastNumber;
  }

  /**
   * Workers let only members with equal numbers meet, so a gang starts as a whole: a member lost
   * later cannot be replaced under the old number, which its lost attempt has used.
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
