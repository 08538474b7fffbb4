package dapplestair.lane;

/** A claim that has not been carried to its end. */
final class OpenClaim {
  private final Claim claim;
  private final long since;
  private boolean recorded;

  OpenClaim(Claim claim, long since, boolean recorded) {
    this.claim = claim;
    this.since = since;
    this.recorded = recorded;
  }

  Claim claim() {
    return claim;
  }

  /** When it was made, or taken over. */
  long since() {
    return since;
  }

  /** True once it is known to be on record, so that others may be stopped for it. */
  boolean recorded() {
    return recorded;
  }

  void setRecorded() {
    recorded = true;
  }
}
