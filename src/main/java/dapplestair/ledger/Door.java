package dapplestair.ledger;

import dapplestair.work.Submission;

/** The one door that every launch passes, whoever proposes it. */
final class Door {
  private final Office office;
  private final TeamUse use;
  private final Attempts attempts;
  private final ChunkWriter writer;

  Door(Office office, TeamUse use, Attempts attempts, ChunkWriter writer) {
    this.office = office;
    this.use = use;
    this.attempts = attempts;
    this.writer = writer;
  }

  boolean open() {
    return office.armed() && office.leadership.leading();
  }

  /** True when the job's other attempts leave room for one more in this zone. */
  static boolean zoneAllows(Job job, String zone) {
    Submission s = job.spec();
    // Attempts out of reach count as well: they may still be there.
    if (s.apart() && job.inZone(zone) >= s.mostPerZone()) {
      return false;
    }
    return !s.together() || job.held() == 0 || job.inZone(zone) == job.held();
  }

  /** True when the job's rules let one more of its tasks start on this machine now. */
  boolean mayStart(Job job, Machine host) {
    Submission s = job.spec();
    return host.allowed(s) && host.fits(s) && zoneAllows(job, host.zone()) && use.allows(s, 1);
  }

  /** Plans an attempt; refused unless every rule holds in the latest view. */
  boolean launch(Job job, int step, Machine host) {
    if (!open() || job.over() || host.closed() || !mayStart(job, host)) {
      return false;
    }
    Chunk c = job.chunkOf(step);
    // An earlier attempt without proof of absence may still run somewhere.
    if (!c.free(step) || (job.spec().gang() && !joinsGang(job, step))) {
      return false;
    }
    long number = number(job, c);
    long now = office.clock.now();
    attempts.enter(c, new Attempt(job, step, number, host.id(), host.zone(), host.session(), now));
    writer.dirty(job, c, true);
    return true;
  }

  /** A number that no earlier attempt at this task has; a gang's members share theirs. */
  private static long number(Job job, Chunk c) {
    c.lastNumber = job.spec().gang() ? job.gangNumber : c.lastNumber + 1;
    return c.lastNumber;
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
