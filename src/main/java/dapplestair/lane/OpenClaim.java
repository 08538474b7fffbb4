package dapplestair.lane;

/** A claim that has not been completed or dropped. */
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

  /** Returns the time at which the claim was made or taken over by this leader, in steady time. */
  long sinceMs() {
    return sinceMs;
  }

  /** Returns whether the claim is known to be on record, so that its victims may be stopped. */
  boolean isRecorded() {
    return isRecorded;
  }

  void setRecorded() {
    isRecorded = true;
  }
}
