package dapplestair.work;

/** How the tasks of a job belong together. */
public enum Shape {
  /** Independent tasks, each runs to completion. */
  ARRAY("sweep"),
  /** Tasks that run to completion side by side, none before all are there. */
  GANG("gang"),
  /** Replicas that run until the job is withdrawn. */
  SERVICE("daemon");

  private final String wire;

  Shape(String wire) {
    this.wire = wire;
  }

  static Shape of(String wire) {
    for (Shape s : values()) {
      if (s.wire.equals(wire)) {
        return s;
      }
    }
    return null;
  }

  /** The word on the wire. */
  public String wire() {
    return wire;
  }
}
