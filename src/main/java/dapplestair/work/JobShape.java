package dapplestair.work;

/** How the tasks of a job belong together. */
public enum JobShape {
  /** Independent tasks, each runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion side by side, none before all are there. */
  GANG("gang"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("daemon");

  private final String wireName;

  JobShape(String wireName) {
    this.wireName = wireName;
  }

  static JobShape fromWire(String wireName) {
    for (JobShape shape : values()) {
      if (shape.wireName.equals(wireName)) {
        return shape;
      }
    }
    return null;
  }

  /** The word on the wire. */
  public String wireName() {
    return wireName;
  }
}
