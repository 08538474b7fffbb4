package dapplestair.node;

import dapplestair.blame.FaultAttribution;
import dapplestair.events.Events;
import dapplestair.ledger.Job;
import dapplestair.workers.Host;

/**
 * Publishes findings about failing jobs and machines as events, and runs {@code onCapacityLost}
 * when a machine is found faulty.
 */
record FaultAttributionEvents(Events events, Runnable onCapacityLost)
    implements FaultAttribution.Listener {
  @Override
  public void onFaultyMachine(Host host) {
    events.publish(
        Events.Kind.FAULTY,
        o -> o.put("machine", host.id()).put("zone", host.zone()).put("failures", host.failures()));
    onCapacityLost.run();
  }

  @Override
  public void onSuspectedJob(Job job, int failures, int machines, long pauseMs) {
    events.publish(
        Events.Kind.SUSPECTED,
        o ->
            EventFields.of(o, job)
                .put("failures", failures)
                .put("machines", machines)
                .put("next_s", pauseMs / 1000.0));
  }

  @Override
  public void onJobCleared(Job job) {
    events.publish(Events.Kind.WORKS, o -> EventFields.of(o, job));
  }
}
