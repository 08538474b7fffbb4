package dapplestair.lane;

/** A claim that has not been carried to its end. */
final class OpenClaim {
  private final Claim claim;
  private final long sinceMs;
  private boolean isRecorded;

  OpenClaim(Claim claim, long sinceMs, boolean recorded) {
    this.claim = claim;
    this.sinceMs = sinceMs;
    this.isRecorded = recorded;
  }

  Claim claim() {
    return claim;
  }

  /** When it was made, or taken over. */
  long sinceMs() {
    return sinceMs;
  }

  /** True once it is known to be on record, so that others may be stopped for it. */
  boolean isRecorded() {
    return isRecorded;
  }

  void setRecorded() {
    isRecorded = true;
  }
}
