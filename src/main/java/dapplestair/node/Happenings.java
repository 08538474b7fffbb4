package dapplestair.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;

/** How attempts and jobs appear in events. */
final class Happenings {
  private Happenings() {}

  static ObjectNode of(ObjectNode o, Attempt a) {
    return o.put("task", a.key())
        .put("job", a.spec().ref())
        .put("machine", a.host())
        .put("zone", a.zone())
        .put("team", a.spec().team())
        .put("try", a.number());
  }

  static ObjectNode of(ObjectNode o, Job job) {
    return o.put("job", job.spec().ref())
        .put("team", job.spec().team())
        .put("tasks", job.spec().steps());
  }
}
