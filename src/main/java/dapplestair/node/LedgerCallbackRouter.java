package dapplestair.node;

import dapplestair.blame.FaultAttribution;
import dapplestair.calendar.Calendars;
import dapplestair.events.Events;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.LedgerCallbacks;
import dapplestair.ledger.Machine;
import dapplestair.ledger.StopReason;
import dapplestair.metrics.Metrics;
import dapplestair.placement.Placer;
import dapplestair.placement.RuntimeEstimates;
import dapplestair.planning.DemandView;
import dapplestair.ports.Clock;
import dapplestair.state.Txn;
import dapplestair.submissions.SubmissionHandler;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;

/** Routes the callbacks of the ledger to the components that handle them. */
final class LedgerCallbackRouter implements LedgerCallbacks {
  private final Clock clock;
  private final Metrics metrics;
  private final RuntimeEstimates estimates;
  private WorkerManager workers;
  private DemandView demand;
  private Placer placer;
  private SubmissionHandler submissions;
  private Events events;
  private FaultAttribution faultAttribution;
  private Calendars calendars;

  LedgerCallbackRouter(Clock clock, Metrics metrics, RuntimeEstimates estimates) {
    this.clock = clock;
    this.metrics = metrics;
    this.estimates = estimates;
  }

  /** Sets the components that are called; they are created after the ledger. */
  void wire(CoreComponents core, SchedulingComponents scheduling) {
    workers = core.workerManager;
    submissions = core.submissionHandler;
    events = core.events;
    demand = scheduling.demand;
    placer = scheduling.placer;
    faultAttribution = scheduling.faultAttribution;
    calendars = scheduling.calendars;
  }

  @Override
  public void launch(Attempt attempt) {
    workers.launch(attempt);
  }

  @Override
  public void halt(Attempt attempt, double windDownS) {
    workers.halt(attempt, windDownS);
  }

  @Override
  public void clear(String host, String key, long number) {
    workers.clearAttempt(host, key, number);
  }

  @Override
  public void onFirstStopRequest(Attempt attempt, StopReason reason) {
    events.publish(
        Events.Kind.STOPPING, o -> EventFields.of(o, attempt).put("reason", reason.shown()));
  }

  @Override
  public void onAttemptLost(Attempt attempt) {
    events.publish(Events.Kind.LOST, o -> EventFields.of(o, attempt));
  }

  @Override
  public void onJobAccepted(Job job) {
    demand.addArrival(job.spec());
    events.publish(Events.Kind.ACCEPTED, o -> EventFields.of(o, job));
  }

  @Override
  public void onChanged() {
    placer.scheduleTurn();
  }

  @Override
  public void onJobCancelled(Job job) {
    faultAttribution.closeJob(job.spec().ref());
    events.publish(Events.Kind.OVER, o -> EventFields.of(o, job).put("status", "aborted"));
  }

  @Override
  public void addToFinishTxn(Job job, Txn txn) {
    calendars.addDeliveryMarks(job, txn);
  }

  @Override
  public int maxFinishOperations() {
    return calendars.maxDeliveryMarks();
  }

  @Override
  public void onJobEnded(String ref, boolean done) {
    faultAttribution.closeJob(ref);
    submissions.recordEnd(ref, done);
    events.publish(
        Events.Kind.OVER, o -> o.put("job", ref).put("status", done ? "done" : "aborted"));
  }

  @Override
  public void onTaskStarted(Attempt attempt) {
    metrics.recordTaskStart(clock.wall() - attempt.job().firstRequestWallMs());
    events.publish(Events.Kind.STARTED, o -> EventFields.of(o, attempt));
  }

  @Override
  public void onTaskCompleted(Attempt attempt, Machine machine, double runS) {
    double totalRunS = runS > 0 ? runS + attempt.savedS() : 0;
    events.publish(Events.Kind.COMPLETED, o -> EventFields.of(o, attempt));
    Host host = workers.getOrCreateHost(machine.id());
    host.taskCompleted();
    double expectedRunS = estimates.expectedRunS(attempt.spec());
    if (expectedRunS > 0 && totalRunS > 0) {
      host.observeSlowness(totalRunS / expectedRunS);
    }
    estimates.recordRunTime(attempt.spec(), totalRunS);
    faultAttribution.recordCompletion(attempt, host);
  }

  @Override
  public void onTaskFailed(Attempt attempt, Machine machine) {
    metrics.recordFailedAttempt();
    events.publish(Events.Kind.FAILED, o -> EventFields.of(o, attempt));
    faultAttribution.recordFailure(attempt, workers.getOrCreateHost(machine.id()));
  }

  @Override
  public Host host(String id) {
    return workers.getOrCreateHost(id);
  }
}
