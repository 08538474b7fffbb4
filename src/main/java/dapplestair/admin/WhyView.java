package dapplestair.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.blame.FaultAttribution;
import dapplestair.disruption.DisruptionGate;
import dapplestair.disruption.DisruptionRefusal;
import dapplestair.fleet.Fleet;
import dapplestair.fleet.PendingCapacity;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.placement.PlacementExplanation;
import dapplestair.placement.PlacementVerdict;
import dapplestair.placement.Placer;
import dapplestair.settings.Settings;
import java.util.function.Consumer;

/**
 * Explains why a job waits, from the findings of a placement turn and from the capacity that the
 * fleet has pending.
 */
final class WhyView {
  private final Settings settings;
  private final Ledger ledger;
  private final Placer placer;
  private final Fleet fleet;
  private final DisruptionGate disruptionGate;
  private final FaultAttribution faultAttribution;
  private final JobViews jobs;
  private final AsOfStamp asOf;
  private final double planIntervalS;

  WhyView(ControllerComponents components, JobViews jobs, AsOfStamp asOf, double planIntervalS) {
    this.settings = components.settings();
    this.ledger = components.ledger();
    this.placer = components.placer();
    this.fleet = components.fleet();
    this.disruptionGate = components.disruptionGate();
    this.faultAttribution = components.faultAttribution();
    this.jobs = jobs;
    this.asOf = asOf;
    this.planIntervalS = planIntervalS;
  }

  void explain(String ref, Consumer<AdminResponse> done) {
    Job job = ledger.job(ref);
    if (job == null || job.isOver()) {
      jobs.readFinished(
          ref,
          done,
          finishedJob -> AdminResponse.of(emptyJson(ref, finishedJob.path("status").asText())));
      return;
    }
    placer.explain(
        ref,
        explanation -> {
          Job current = ledger.job(ref);
          if (explanation == null) {
            done.accept(AdminResponse.retryLater("this controller leads no more"));
          } else if (current == null || current.isOver()) {
            done.accept(AdminResponse.retryLater("the job has just ended"));
          } else {
            done.accept(AdminResponse.of(explanationJson(current, explanation)));
          }
        });
  }

  private ObjectNode emptyJson(String ref, String status) {
    ObjectNode object =
        asOf.newObject().put("ref", ref).put("status", status).put("waiting_tasks", 0);
    object.putArray("reasons");
    return object;
  }

  private ObjectNode explanationJson(Job job, PlacementExplanation explanation) {
    String ref = job.spec().ref();
    int[] counts = ledger.taskCounts(job);
    ObjectNode object = emptyJson(ref, JobViews.statusOf(counts));
    object.put("waiting_tasks", explanation.waitingTasks());
    DisruptionRefusal refusal = disruptionGate.lastRefusal(job);
    if (refusal != null) {
      object.put("not_moved", refusal.describe());
    }
    FaultAttribution.JobFailureStatus failureStatus = faultAttribution.failureStatus(job);
    if (failureStatus != null) {
      object
          .putObject("failing")
          .put("failures", failureStatus.failures())
          .put("machines", failureStatus.machines())
          .put("one_at_a_time", failureStatus.suspected())
          .put("next_s", failureStatus.nextAttemptS());
    }
    if (explanation.waitingTasks() == 0) {
      return object;
    }
    PendingCapacity pendingCapacity = fleet.pendingCapacity(job.spec());
    ArrayNode reasons = object.putArray("reasons");
    explanation
        .jobVerdicts()
        .forEach((v, n) -> addReason(reasons, v, "tasks", n, job, explanation));
    explanation
        .machineVerdicts()
        .forEach((v, n) -> addReason(reasons, v, "machines", n, job, explanation));
    if (pendingCapacity.booting() > 0) {
      reasons
          .addObject()
          .put("reason", "booting")
          .put("machines", pendingCapacity.booting())
          .put("words", "machines are on their way")
          .put("in_s", pendingCapacity.nextS());
    }
    for (PendingCapacity.CapacityRefusal capacityRefusal : pendingCapacity.refusals()) {
      reasons
          .addObject()
          .put("reason", "cloud-refused")
          .put("type", capacityRefusal.type())
          .put("zone", capacityRefusal.zone())
          .put("spot", capacityRefusal.spot())
          .put("words", "the cloud had none to give")
          .put("in_s", capacityRefusal.retryInS());
    }
    if (reasons.isEmpty()) {
      reasons
          .addObject()
          .put("reason", "no-machines")
          .put("words", "there is no machine at all: the next plan rents some")
          .put("in_s", planIntervalS);
    }
    double startS = expectedStartS(explanation, pendingCapacity);
    if (startS >= 0) {
      object.put("expected_start_s", startS);
    }
    return object;
  }

  private void addReason(
      ArrayNode reasons,
      PlacementVerdict verdict,
      String countField,
      int count,
      Job job,
      PlacementExplanation explanation) {
    ObjectNode object =
        reasons
            .addObject()
            .put("reason", verdict.code())
            .put(countField, count)
            .put("words", verdict.description());
    Settings.Team team = settings.teams().get(job.spec().team());
    if (verdict == PlacementVerdict.TEAM_LIMIT && team != null) {
      object.put("limit_cpus", team.cpusMax()).put("use_cpus", ledger.teamCpus(team.name()));
    } else if (verdict == PlacementVerdict.BACKED_OFF) {
      object.put("in_s", explanation.heldBackS());
    } else if (verdict == PlacementVerdict.GANG && explanation.gangCapacity() >= 0) {
      object.put("room_for", explanation.gangCapacity());
    } else if (verdict == PlacementVerdict.FULL && explanation.freeInS() >= 0) {
      object.put("in_s", explanation.freeInS());
    }
  }

  /**
   * Returns the seconds until the earliest capacity for the job is expected, or until the job's
   * backoff ends if that is later; -1 if that time is not known.
   */
  private double expectedStartS(PlacementExplanation explanation, PendingCapacity pendingCapacity) {
    double earliestS = Double.POSITIVE_INFINITY;
    if (explanation.machineVerdicts().containsKey(PlacementVerdict.FITS)
        || explanation.jobVerdicts().containsKey(PlacementVerdict.ROOM_ON_ITS_WAY)) {
      earliestS = 0;
    }
    if (explanation.freeInS() >= 0) {
      earliestS = Math.min(earliestS, explanation.freeInS());
    }
    if (pendingCapacity.booting() > 0) {
      earliestS = Math.min(earliestS, pendingCapacity.nextS());
    }
    for (PendingCapacity.CapacityRefusal refusal : pendingCapacity.refusals()) {
      earliestS = Math.min(earliestS, refusal.retryInS());
    }
    boolean isTeamLimited = explanation.jobVerdicts().containsKey(PlacementVerdict.TEAM_LIMIT);
    if (isTeamLimited && explanation.freeInS() < 0 || Double.isInfinite(earliestS)) {
      return -1;
    }
    return Math.max(earliestS, explanation.heldBackS());
  }
}
