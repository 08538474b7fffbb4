package dapplestair.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;

/** Adds the fields of attempts and jobs to events. */
final class EventFields {
  private EventFields() {}

  static ObjectNode of(ObjectNode object, Attempt attempt) {
    return object
        .put("task", attempt.key())
        .put("job", attempt.spec().ref())
        .put("machine", attempt.host())
        .put("zone", attempt.zone())
        .put("team", attempt.spec().team())
        .put("try", attempt.number());
  }

  static ObjectNode of(ObjectNode object, Job job) {
    return object
        .put("job", job.spec().ref())
        .put("team", job.spec().team())
        .put("tasks", job.spec().taskCount());
  }
}
