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

/** Why a job waits: what placement wrote down of a turn, and what the fleet has in store. */
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

  void why(String ref, Consumer<AdminResponse> done) {
    Job job = ledger.job(ref);
    if (job == null || job.isOver()) {
      jobs.over(ref, done, r -> AdminResponse.of(nothing(ref, r.path("status").asText())));
      return;
    }
    placer.explain(
        ref,
        e -> {
          Job now = ledger.job(ref);
          if (e == null) {
            done.accept(AdminResponse.later("this controller leads no more"));
          } else if (now == null || now.isOver()) {
            done.accept(AdminResponse.later("the job has just ended"));
          } else {
            done.accept(AdminResponse.of(explained(now, e)));
          }
        });
  }

  private ObjectNode nothing(String ref, String status) {
    ObjectNode object = asOf.object().put("ref", ref).put("status", status).put("waiting_tasks", 0);
    object.putArray("reasons");
    return object;
  }

  private ObjectNode explained(Job job, PlacementExplanation explanation) {
    String ref = job.spec().ref();
    int[] counts = ledger.taskCounts(job);
    ObjectNode object = nothing(ref, JobViews.status(counts));
    object.put("waiting_tasks", explanation.waitingTasks());
    DisruptionRefusal refusal = disruptionGate.lastRefusal(job);
    if (refusal != null) {
      object.put("not_moved", refusal.describe());
    }
    FaultAttribution.JobFailureStatus standing = faultAttribution.failureStatus(job);
    if (standing != null) {
      object
          .putObject("failing")
          .put("failures", standing.failures())
          .put("machines", standing.machines())
          .put("one_at_a_time", standing.suspected())
          .put("next_s", standing.nextAttemptS());
    }
    if (explanation.waitingTasks() == 0) {
      return object;
    }
    PendingCapacity pendingCapacity = fleet.pendingCapacity(job.spec());
    ArrayNode reasons = object.putArray("reasons");
    explanation.jobVerdicts().forEach((v, n) -> add(reasons, v, "tasks", n, job, explanation));
    explanation
        .machineVerdicts()
        .forEach((v, n) -> add(reasons, v, "machines", n, job, explanation));
    if (pendingCapacity.booting() > 0) {
      reasons
          .addObject()
          .put("reason", "booting")
          .put("machines", pendingCapacity.booting())
          .put("words", "machines are on their way")
          .put("in_s", pendingCapacity.nextS());
    }
    for (PendingCapacity.CapacityRefusal r : pendingCapacity.refusals()) {
      reasons
          .addObject()
          .put("reason", "cloud-refused")
          .put("type", r.type())
          .put("zone", r.zone())
          .put("spot", r.spot())
          .put("words", "the cloud had none to give")
          .put("in_s", r.retryInS());
    }
    if (reasons.isEmpty()) {
      reasons
          .addObject()
          .put("reason", "no-machines")
          .put("words", "there is no machine at all: the next plan rents some")
          .put("in_s", planIntervalS);
    }
    double start = expected(explanation, pendingCapacity);
    if (start >= 0) {
      object.put("expected_start_s", start);
    }
    return object;
  }

  private void add(
      ArrayNode to,
      PlacementVerdict verdict,
      String of,
      int count,
      Job job,
      PlacementExplanation explanation) {
    ObjectNode object =
        to.addObject()
            .put("reason", verdict.code())
            .put(of, count)
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

  /** The earliest of what is on its way, but not before the job may start at all; -1: unknown. */
  private double expected(PlacementExplanation explanation, PendingCapacity pendingCapacity) {
    double first = Double.POSITIVE_INFINITY;
    if (explanation.machineVerdicts().containsKey(PlacementVerdict.FITS)
        || explanation.jobVerdicts().containsKey(PlacementVerdict.ROOM_ON_ITS_WAY)) {
      first = 0;
    }
    if (explanation.freeInS() >= 0) {
      first = Math.min(first, explanation.freeInS());
    }
    if (pendingCapacity.booting() > 0) {
      first = Math.min(first, pendingCapacity.nextS());
    }
    for (PendingCapacity.CapacityRefusal refusal : pendingCapacity.refusals()) {
      first = Math.min(first, refusal.retryInS());
    }
    boolean limited = explanation.jobVerdicts().containsKey(PlacementVerdict.TEAM_LIMIT);
    if (limited && explanation.freeInS() < 0 || Double.isInfinite(first)) {
      return -1;
    }
    return Math.max(first, explanation.heldBackS());
  }
}
