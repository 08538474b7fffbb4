package dapplestair.placement;

import dapplestair.calendar.Calendars;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Records what a placement turn decides about the jobs for which an explanation was requested. An
 * instance exists only while such a request is open; otherwise placement does no work for it.
 */
final class DecisionRecorder {
  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final Calendars calendars;
  private final Map<String, List<Consumer<PlacementExplanation>>> callbacksByJob =
      new LinkedHashMap<>();
  private final Map<String, Map<PlacementVerdict, Integer>> jobVerdicts = new LinkedHashMap<>();
  private final Object2IntOpenHashMap<String> gangCapacityByJob = new Object2IntOpenHashMap<>();

  DecisionRecorder(
      Clock clock,
      Ledger ledger,
      WorkerManager workers,
      RuntimeEstimates estimates,
      Calendars calendars) {
    this.calendars = calendars;
    this.clock = clock;
    this.ledger = ledger;
    this.workers = workers;
    this.estimates = estimates;
    gangCapacityByJob.defaultReturnValue(-1);
  }

  void addRequest(String ref, Consumer<PlacementExplanation> callback) {
    callbacksByJob.computeIfAbsent(ref, r -> new ArrayList<>()).add(callback);
  }

  /** Records an obstacle that the turn found for the job as a whole. */
  void recordJobVerdict(Job job, PlacementVerdict verdict, int count) {
    if (callbacksByJob.containsKey(job.spec().ref())) {
      jobVerdicts
          .computeIfAbsent(job.spec().ref(), r -> new EnumMap<>(PlacementVerdict.class))
          .merge(verdict, count, Integer::sum);
    }
  }

  void recordGangCapacity(Job job, int taskCount) {
    if (callbacksByJob.containsKey(job.spec().ref())) {
      gangCapacityByJob.mergeInt(job.spec().ref(), taskCount, Math::max);
    }
  }

  /**
   * Answers all requests at the end of the turn; {@code filter} is the filter that the turn used.
   * No request is added afterwards.
   */
  void answerRequests(BiFunction<Job, Host, PlacementVerdict> filter) {
    callbacksByJob.forEach(
        (ref, callbacks) -> {
          PlacementExplanation explanation = explain(ref, filter);
          callbacks.forEach(callback -> callback.accept(explanation));
        });
  }

  /** Answers all requests with null, because this controller no longer places tasks. */
  void cancelRequests() {
    callbacksByJob.values().forEach(answers -> answers.forEach(a -> a.accept(null)));
  }

  private PlacementExplanation explain(String ref, BiFunction<Job, Host, PlacementVerdict> filter) {
    Job job = ledger.job(ref);
    if (job == null || job.waitingTasks() == 0) {
      return PlacementExplanation.noWaitingTasks();
    }
    Map<PlacementVerdict, Integer> machineVerdicts = new EnumMap<>(PlacementVerdict.class);
    double earliestFreeS = -1;
    for (Host host : workers.hosts()) {
      PlacementVerdict verdict = filter.apply(job, host);
      machineVerdicts.merge(verdict, 1, Integer::sum);
      if (verdict == PlacementVerdict.FULL) {
        double hostFreeS = secondsUntilRoom(job.spec(), host);
        earliestFreeS =
            earliestFreeS < 0 || hostFreeS >= 0 && hostFreeS < earliestFreeS
                ? hostFreeS
                : earliestFreeS;
      }
    }
    Map<PlacementVerdict, Integer> obstacles = new EnumMap<>(PlacementVerdict.class);
    obstacles.putAll(jobVerdicts.getOrDefault(ref, Map.of()));
    double heldBackS = Math.max(0, job.startsDelayedUntilMs() - clock.now()) / 1000.0;
    if (calendars.isHeld(job)) {
      obstacles.put(PlacementVerdict.CYCLE, job.waitingTasks());
    }
    if (heldBackS > 0) {
      obstacles.put(PlacementVerdict.BACKED_OFF, job.waitingTasks());
    } else if (job.isSuspected()) {
      obstacles.put(PlacementVerdict.PROBING, job.waitingTasks());
    } else if (job.delayedStepCount() > 0) {
      obstacles.put(PlacementVerdict.STEPS_BACKED_OFF, job.delayedStepCount());
    }
    int blockedByLimit =
        job.waitingTasks()
            - Math.min(job.waitingTasks(), ledger.maxAdditionalTeamTasks(job.spec(), false));
    if (!ledger.teamAllows(job.spec())) {
      obstacles.put(PlacementVerdict.TEAM_LIMIT, Math.max(1, blockedByLimit));
    }
    return new PlacementExplanation(
        job.waitingTasks(),
        machineVerdicts,
        obstacles,
        earliestFreeS,
        heldBackS,
        gangCapacityByJob.getInt(ref));
  }

  /** Returns the seconds until enough tasks are expected to have ended on a full machine, or -1. */
  private double secondsUntilRoom(Submission submission, Host host) {
    double cpus = submission.cpus() - host.cpusFree();
    double memory = submission.memoryGb() - host.memoryFreeGb();
    double gpus = submission.gpus() - host.gpusFree();
    List<Attempt> endingAttempts = new ArrayList<>();
    for (Attempt attempt : host.attempts()) {
      if (!attempt.exited() && (!attempt.spec().isService() || attempt.halting())) {
        endingAttempts.add(attempt);
      }
    }
    long nowMs = clock.now();
    endingAttempts.sort(Comparator.comparingDouble(a -> secondsUntilEnd(a, host, nowMs)));
    for (Attempt attempt : endingAttempts) {
      cpus -= attempt.spec().cpus();
      memory -= attempt.spec().memoryGb();
      gpus -= attempt.spec().gpus();
      if (cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9) {
        return secondsUntilEnd(attempt, host, nowMs);
      }
    }
    return -1;
  }

  private double secondsUntilEnd(Attempt attempt, Host host, long nowMs) {
    return attempt.halting()
        ? attempt.windDownS() / 2
        : Math.max(0, estimates.remainingRunS(attempt, host, nowMs));
  }
}
