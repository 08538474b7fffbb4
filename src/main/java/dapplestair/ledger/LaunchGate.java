package dapplestair.ledger;

import dapplestair.work.Submission;

/** The one gate that every launch passes, whoever proposes it. */
final class LaunchGate {
  private final LedgerContext context;
  private final TeamUsage use;
  private final Attempts attempts;
  private final ChunkWriter writer;

  LaunchGate(LedgerContext context, TeamUsage use, Attempts attempts, ChunkWriter writer) {
    this.context = context;
    this.use = use;
    this.attempts = attempts;
    this.writer = writer;
  }

  boolean open() {
    return context.armed() && context.leadership.leading();
  }

  /** True when the job's other attempts leave room for one more in this zone. */
  static boolean zoneAllows(Job job, String zone) {
    Submission submission = job.spec();
    // Attempts out of reach count as well: they may still be there.
    if (submission.apart() && job.inZone(zone) >= submission.maxTasksPerZone()) {
      return false;
    }
    return !submission.together() || job.held() == 0 || job.inZone(zone) == job.held();
  }

  /** True when the job's rules let one more of its tasks start on this machine now. */
  boolean mayStart(Job job, Machine host) {
    Submission submission = job.spec();
    return host.allowed(submission)
        && host.fits(submission)
        && zoneAllows(job, host.zone())
        && use.allows(submission, 1);
  }

  /** Plans an attempt; refused unless every rule holds in the latest view. */
  boolean launch(Job job, int step, Machine host) {
    if (!open() || job.over() || host.closed() || !mayStart(job, host)) {
      return false;
    }
    Chunk chunk = job.chunkOf(step);
    // An earlier attempt without proof of absence may still run somewhere.
    if (!chunk.free(step) || (job.spec().isGang() && !joinsGang(job, step))) {
      return false;
    }
    long number = number(job, chunk);
    long now = context.clock.now();
    attempts.enter(
        chunk, new Attempt(job, step, number, host.id(), host.zone(), host.session(), now));
    writer.dirty(job, chunk, true);
    return true;
  }

  /** A number that no earlier attempt at this task has; a gang's members share theirs. */
  private static long number(Job job, Chunk chunk) {
    chunk.lastNumber = job.spec().isGang() ? job.gangNumber : chunk.lastNumber + 1;
    return chunk.lastNumber;
  }

  /**
   * Workers let only members with equal numbers meet, so a gang starts as a whole: a member lost
   * later cannot be replaced under the old number, which its lost attempt has used.
   */
  private static boolean joinsGang(Job job, int step) {
    if (job.held == 0) {
      long highest = job.chunks.values().stream().mapToLong(c -> c.lastNumber).max().orElse(0);
      job.gangNumber = highest + 1;
      job.gangSteps.clear();
    }
    return job.gangNumber > 0 && job.gangSteps.add(step);
  }
}
