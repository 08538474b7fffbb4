package dapplestair.ledger;

/** The reason for which a task is asked to stop. */
public enum StopReason {
  /** The task's job is over. */
  JOB_OVER,
  /** Work that takes precedence needs the task's resources. */
  ROOM_NEEDED,
  /** A rider of a lane takes the task's resources. */
  LANE,
  /** The cloud is about to reclaim the task's machine. */
  NOTICE,
  /** The task's machine or zone is being drained. */
  DRAIN,
  /** Another member of the task's gang is missing. */
  GANG;

  /** Returns the form shown to people. */
  public String shown() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
