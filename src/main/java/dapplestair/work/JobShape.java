package dapplestair.work;

/** How the tasks of a job belong together. */
public enum JobShape {
  /** Independent tasks, each runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion side by side, none before all are there. */
  GANG("gang"),
  /** Replicas that run until the job is cancelled. */
  SERVICE("daemon");

  private final String wire;

  JobShape(String wire) {
    this.wire = wire;
  }

  static JobShape fromWire(String wire) {
    for (JobShape shape : values()) {
      if (shape.wire.equals(wire)) {
        return shape;
      }
    }
    return null;
  }

  /** The word on the wire. */
  public String wire() {
    return wire;
  }
}
