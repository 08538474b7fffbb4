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

/** What the ledger tells and asks, brought to the duties whose it is. */
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

  /** The ledger is made before those that hear of it. */
  void wire(CoreComponents core, SchedulingComponents scheduling) {
    workers = core.workers;
    submissions = core.submissions;
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
    workers.clear(host, key, number);
  }

  @Override
  public void stopping(Attempt attempt, StopReason why) {
    events.note(Events.Kind.STOPPING, o -> EventFields.of(o, attempt).put("reason", why.shown()));
  }

  @Override
  public void lost(Attempt attempt) {
    events.note(Events.Kind.LOST, o -> EventFields.of(o, attempt));
  }

  @Override
  public void arrived(Job job) {
    demand.arrived(job.spec());
    events.note(Events.Kind.ACCEPTED, o -> EventFields.of(o, job));
  }

  @Override
  public void changed() {
    placer.nudge();
  }

  @Override
  public void cancelled(Job job) {
    faultAttribution.over(job.spec().ref());
    events.note(Events.Kind.OVER, o -> EventFields.of(o, job).put("status", "aborted"));
  }

  @Override
  public void finishing(Job job, Txn txn) {
    calendars.finishing(job, txn);
  }

  @Override
  public int mostWithFinish() {
    return calendars.mostMarks();
  }

  @Override
  public void ended(String ref, boolean done) {
    faultAttribution.over(ref);
    submissions.recordEnd(ref, done);
    events.note(Events.Kind.OVER, o -> o.put("job", ref).put("status", done ? "done" : "aborted"));
  }

  @Override
  public void started(Attempt attempt) {
    metrics.started(clock.wall() - attempt.job().askedWall());
    events.note(Events.Kind.STARTED, o -> EventFields.of(o, attempt));
  }

  @Override
  public void completed(Attempt attempt, Machine machine, double ranS) {
    double seconds = ranS > 0 ? ranS + attempt.savedS() : 0;
    events.note(Events.Kind.COMPLETED, o -> EventFields.of(o, attempt));
    Host host = workers.host(machine.id());
    host.taskCompleted();
    double expected = estimates.runS(attempt.spec());
    if (expected > 0 && seconds > 0) {
      host.observeSlowness(seconds / expected);
    }
    estimates.observe(attempt.spec(), seconds);
    faultAttribution.completed(attempt, host);
  }

  @Override
  public void failed(Attempt attempt, Machine machine) {
    metrics.lost();
    events.note(Events.Kind.FAILED, o -> EventFields.of(o, attempt));
    faultAttribution.failed(attempt, workers.host(machine.id()));
  }

  @Override
  public Host host(String id) {
    return workers.host(id);
  }
}
