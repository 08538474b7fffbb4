package dapplestair.ledger;

/** Why a task is told to stop. */
public enum StopReason {
  /** Its job is over. */
  JOB_OVER,
  /** Its room is needed by work that goes first. */
  ROOM_NEEDED,
  /** A rider of a lane goes over it. */
  LANE,
  /** The cloud is about to take its machine. */
  NOTICE,
  /** Its machine or zone is being emptied. */
  DRAIN,
  /** Another member of its gang is missing. */
  GANG;

  /** The form shown to people. */
  public String shown() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
