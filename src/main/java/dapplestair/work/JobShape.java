package dapplestair.work;

/** How the tasks of a job depend on each other. */
public enum JobShape {
  /** Independent tasks, each of which runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion side by side; none begins before all can run. */
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

  /** Returns the name of this shape on the wire. */
  public String wireName() {
    return wireName;
  }
}
