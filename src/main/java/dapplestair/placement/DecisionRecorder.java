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
 * Writes down what a turn of placing decides about the jobs that somebody asked for. It exists only
 * while a question is open; without one, placing does nothing for it.
 */
final class DecisionRecorder {
  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final Calendars calendars;
  private final Map<String, List<Consumer<PlacementExplanation>>> asked = new LinkedHashMap<>();
  private final Map<String, Map<PlacementVerdict, Integer>> found = new LinkedHashMap<>();
  private final Object2IntOpenHashMap<String> gangRoom = new Object2IntOpenHashMap<>();

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
    gangRoom.defaultReturnValue(-1);
  }

  void ask(String ref, Consumer<PlacementExplanation> answer) {
    asked.computeIfAbsent(ref, r -> new ArrayList<>()).add(answer);
  }

  /** The turn decided this about the job as a whole. */
  void found(Job job, PlacementVerdict verdict, int count) {
    if (asked.containsKey(job.spec().ref())) {
      found
          .computeIfAbsent(job.spec().ref(), r -> new EnumMap<>(PlacementVerdict.class))
          .merge(verdict, count, Integer::sum);
    }
  }

  void gangRoom(Job job, int room) {
    if (asked.containsKey(job.spec().ref())) {
      gangRoom.mergeInt(job.spec().ref(), room, Math::max);
    }
  }

  /** Ends the turn: {@code judge} is the same that placed. Nothing is asked afterwards. */
  void answer(BiFunction<Job, Host, PlacementVerdict> filter) {
    asked.forEach(
        (ref, answers) -> {
          PlacementExplanation explanation = explain(ref, filter);
          answers.forEach(a -> a.accept(explanation));
        });
  }

  /** Nothing is placed here any more: every answer is null. */
  void giveUp() {
    asked.values().forEach(answers -> answers.forEach(a -> a.accept(null)));
  }

  private PlacementExplanation explain(String ref, BiFunction<Job, Host, PlacementVerdict> filter) {
    Job job = ledger.job(ref);
    if (job == null || job.waiting() == 0) {
      return PlacementExplanation.nothingWaits();
    }
    Map<PlacementVerdict, Integer> machines = new EnumMap<>(PlacementVerdict.class);
    double free = -1;
    for (Host host : workers.hosts()) {
      PlacementVerdict verdict = filter.apply(job, host);
      machines.merge(verdict, 1, Integer::sum);
      if (verdict == PlacementVerdict.FULL) {
        double s = freeInS(job.spec(), host);
        free = free < 0 || s >= 0 && s < free ? s : free;
      }
    }
    Map<PlacementVerdict, Integer> whole = new EnumMap<>(PlacementVerdict.class);
    whole.putAll(found.getOrDefault(ref, Map.of()));
    double heldBack = Math.max(0, job.heldBackUntil() - clock.now()) / 1000.0;
    if (calendars.holds(job)) {
      whole.put(PlacementVerdict.CYCLE, job.waiting());
    }
    if (heldBack > 0) {
      whole.put(PlacementVerdict.BACKED_OFF, job.waiting());
    } else if (job.suspected()) {
      whole.put(PlacementVerdict.PROBING, job.waiting());
    } else if (job.heldSteps() > 0) {
      whole.put(PlacementVerdict.STEPS_BACKED_OFF, job.heldSteps());
    }
    int byLimit = job.waiting() - Math.min(job.waiting(), ledger.teamRoom(job.spec(), false));
    if (!ledger.teamAllows(job.spec())) {
      whole.put(PlacementVerdict.TEAM_LIMIT, Math.max(1, byLimit));
    }
    return new PlacementExplanation(
        job.waiting(), machines, whole, free, heldBack, gangRoom.getInt(ref));
  }

  /** When enough is expected to have ended on a full machine, or -1. */
  private double freeInS(Submission submission, Host host) {
    double cpus = submission.cpus() - host.cpusFree();
    double memory = submission.memoryGb() - host.memoryFree();
    double gpus = submission.gpus() - host.gpusFree();
    List<Attempt> ending = new ArrayList<>();
    for (Attempt a : host.attempts()) {
      if (!a.exited() && (!a.spec().isService() || a.halting())) {
        ending.add(a);
      }
    }
    long now = clock.now();
    ending.sort(Comparator.comparingDouble(a -> endsInS(a, host, now)));
    for (Attempt a : ending) {
      cpus -= a.spec().cpus();
      memory -= a.spec().memoryGb();
      gpus -= a.spec().gpus();
      if (cpus <= 1e-9 && memory <= 1e-9 && gpus <= 1e-9) {
        return endsInS(a, host, now);
      }
    }
    return -1;
  }

  private double endsInS(Attempt attempt, Host host, long now) {
    return attempt.halting()
        ? attempt.windDownS() / 2
        : Math.max(0, estimates.leftS(attempt, host, now));
  }
}
