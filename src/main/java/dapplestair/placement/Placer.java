package dapplestair.placement;

import dapplestair.calendar.Calendars;
import dapplestair.disruption.DisruptionGate;
import dapplestair.lane.Lanes;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Starts each waiting task where it completes earliest, the most pressing first. */
public final class Placer {
  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final Ranking ranking;
  private final long pauseMs;
  private final DoubleSupplier roomForServices;
  private final Evictions evictions;
  private final Lanes lanes;
  private final Calendars calendars;
  private final SteadyCapacity steady = new SteadyCapacity();
  private final StarvationGuard starvationGuard;
  private final Reservations reservations;
  private final PlacementFilter filter;
  private final EarliestFinishSelector earliestFinish;
  private boolean awaitsImage;
  private boolean due;
  private DecisionRecorder recorder;

  /** Places what the ledger holds on what the desk knows. */
  public Placer(
      Clock clock,
      Timers timers,
      Settings settings,
      Ledger ledger,
      WorkerManager workers,
      RuntimeEstimates estimates,
      DisruptionGate disruptionGate,
      Lanes lanes,
      Calendars calendars,
      DoubleSupplier roomForServices,
      long beginWithinMs) {
    this.roomForServices = roomForServices;
    this.lanes = lanes;
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.ledger = ledger;
    this.workers = workers;
    this.estimates = estimates;
    this.starvationGuard = new StarvationGuard(clock, ledger, beginWithinMs);
    this.reservations = new Reservations(ledger, workers);
    this.filter =
        new PlacementFilter(
            clock,
            settings.workers().reportMs(),
            ledger,
            workers,
            estimates,
            steady,
            reservations,
            lanes);
    this.earliestFinish =
        new EarliestFinishSelector(clock, ledger, estimates, steady, filter, reservations);
    this.evictions =
        new Evictions(clock, settings, ledger, workers, disruptionGate, starvationGuard, filter);
    this.calendars = calendars;
    this.ranking = new Ranking(clock, settings, ledger, estimates, calendars);
    this.pauseMs = settings.workers().reportMs() / 60;
  }

  /** Something changed: look again soon, once for all changes of the moment. */
  public void nudge() {
    if (!due) {
      due = true;
      timers.after(
          pauseMs,
          () -> {
            due = false;
            place();
          });
    }
  }

  /**
   * Answers what the next turn, brought forward, finds in the way of a job; null when this
   * controller places nothing.
   */
  public void explain(String ref, Consumer<PlacementExplanation> answer) {
    if (!ledger.armed()) {
      answer.accept(null);
      return;
    }
    boolean first = recorder == null;
    if (first) {
      recorder = new DecisionRecorder(clock, ledger, workers, estimates, calendars);
    }
    recorder.ask(ref, answer);
    if (first) {
      timers.after(0, this::place);
    }
  }

  private void place() {
    if (ledger.armed()) {
      turn();
    } else {
      reservations.clear();
    }
    if (recorder != null) {
      if (ledger.armed()) {
        // Judged once more with the state in which the turn left everything.
        recorder.answer(filter::judgeAny);
      } else {
        recorder.giveUp();
      }
      recorder = null;
    }
  }

  private void turn() {
    List<Job> waiting = ranking.ordered();
    if (waiting.isEmpty()) {
      return;
    }
    // In a full cluster few machines have any room: the others are not looked at for each task.
    double least = waiting.stream().mapToDouble(j -> j.spec().cpus()).min().orElse(0);
    List<Host> usable = new ArrayList<>();
    double cpus = 0;
    steady.clear();
    for (Host host : workers.hosts()) {
      if (!host.closed() && workers.isResponsive(host)) {
        cpus += host.type().cpus();
        if (host.cpusFree() >= least - 1e-9) {
          usable.add(host);
          steady.add(host, host.cpusFree());
        }
      }
    }
    filter.begin(roomForServices.getAsDouble());
    earliestFinish.begin();
    evictions.begin();
    reservations.begin(starvationGuard);
    lanes.begin(usable);
    List<Job> others = placeAhead(waiting, usable);
    placeFirst(others, usable, cpus);
    placeInOrder(others, usable);
  }

  /** Critical services and riders, who wait for nobody; returns the others. */
  private List<Job> placeAhead(List<Job> waiting, List<Host> usable) {
    List<Job> others = new ArrayList<>();
    List<Job> riders = new ArrayList<>();
    for (Job job : waiting) {
      boolean rides = lanes.rides(job.spec());
      if (!rides && !StarvationGuard.critical(job.spec())) {
        others.add(job);
        continue;
      }
      place(job, usable, Integer.MAX_VALUE);
      if (rides && job.waiting() > 0) {
        riders.add(job);
      }
    }
    if (!riders.isEmpty()) {
      lanes.claim(riders);
    }
    return others;
  }

  /** True for an attempt that has waited for long before it ran: it is stopped last. */
  public boolean shelters(Attempt attempt) {
    return starvationGuard.shelters(attempt);
  }

  /** Who has waited for long begins before the others, with a few tasks (docs/known.md). */
  private void placeFirst(List<Job> waiting, List<Host> usable, double cpus) {
    Map<Job, Integer> first = starvationGuard.first(waiting, cpus);
    List<Job> order = new ArrayList<>(first.keySet());
    // Machines may be kept for it: found before anything else is looked for.
    order.sort(Comparator.comparing(j -> !reservations.holds(j)));
    for (Job job : order) {
      place(job, usable, first.get(job));
      int lacking = job.spec().isService() || job.spec().isGang() ? job.waiting() : 1;
      if (job.waiting() > 0 && (StarvationGuard.idle(job) || job.spec().isService())) {
        reservations.keep(job, lacking, cpus);
      }
    }
  }

  private void placeInOrder(List<Job> waiting, List<Host> usable) {
    for (Job job : waiting) {
      if (!place(job, usable, Integer.MAX_VALUE) && starving(job)) {
        // Machines must empty for it: what is less pressing would fill them again for ever.
        noteBehind(waiting, job);
        return;
      }
    }
  }

  /** Starts up to {@code most} of a job's tasks; false when it is a gang and has no room. */
  private boolean place(Job job, List<Host> usable, int most) {
    if (job.spec().isGang()) {
      return placeGang(job, usable);
    }
    if (job.spec().together()) {
      placeTogether(job, usable, most);
    } else {
      placeEach(job, usable, most);
    }
    return true;
  }

  private void noteBehind(List<Job> order, Job gang) {
    if (recorder != null) {
      order.stream()
          .skip(order.indexOf(gang) + 1L)
          .forEach(j -> recorder.found(j, PlacementVerdict.BEHIND_GANG, j.waiting()));
    }
  }

  private boolean starving(Job job) {
    return job.held() == 0
        && ledger.teamAllows(job.spec(), job.waiting())
        && clock.wall() - job.acceptedWall() > 10 * settings.workers().reportMs();
  }

  /** The first task chooses the zone for all: the one with the most room for them. */
  private void placeTogether(Job job, List<Host> usable, int most) {
    String best = null;
    int largest = 0;
    for (Map.Entry<String, List<Host>> zone : PlacementFilter.byZone(usable).entrySet()) {
      int room = filter.room(job, zone.getValue());
      if (room > largest) {
        largest = room;
        best = zone.getKey();
      }
    }
    if (best != null) {
      placeEach(job, PlacementFilter.byZone(usable).get(best), most);
    }
  }

  /** Starts up to {@code most} of a job's tasks, each where it completes earliest. */
  private void placeEach(Job job, List<Host> usable, int most) {
    awaitsImage = false;
    int waited = job.waiting();
    int step = job.nextFree(0);
    while (step >= 0 && waited - job.waiting() < most) {
      Host best = earliestFinish.best(job, usable, recorder != null);
      if (best == null || !lanes.rides(job.spec()) && awaitsImage(job, best)) {
        break;
      }
      int before = step;
      step = fill(job, step, best, most - (waited - job.waiting()));
      if (step == before || probes(job)) {
        break;
      }
    }
    if (awaitsImage && recorder != null) {
      recorder.found(job, PlacementVerdict.AWAITS_IMAGE, job.waiting());
    }
    // Others do not make room for a job that fails wherever it runs.
    boolean whole = most == Integer.MAX_VALUE;
    // A rider claims its room by its lane.
    whole &= !lanes.rides(job.spec());
    if (step >= 0 && whole && ledger.teamAllows(job.spec()) && !awaitsImage && !job.suspected()) {
      int onItsWay = evictions.makeRoom(job, ranking.guaranteed(job));
      if (onItsWay > 0 && recorder != null) {
        recorder.found(job, PlacementVerdict.ROOM_ON_ITS_WAY, onItsWay);
      }
    }
  }

  /**
   * True when a replica had better wait for room at a machine that has its image than start with a
   * fetch here. Only for as long as the fetch would take: later, any start is better than none.
   */
  private boolean awaitsImage(Job job, Host best) {
    Submission submission = job.spec();
    double fetchS = best.imageWaitS(submission, clock.now());
    double age = (clock.wall() - job.acceptedWall()) / 1000.0;
    awaitsImage =
        submission.isService()
            && fetchS > 0
            && age < fetchS / 2
            && evictions.makeRoomAtImage(job) > 0;
    return awaitsImage;
  }

  /** Starts as many of a job's tasks on a machine as fit; returns the next step, or -1. */
  private int fill(Job job, int from, Host host, int most) {
    int step = from;
    int left = most;
    while (step >= 0
        && left-- > 0
        && filter.leavesRoom(job.spec(), host)
        && ledger.launch(job, step, host)) {
      steady.add(host, -job.spec().cpus());
      lanes.add(host, -job.spec().cpus());
      step = job.nextFree(step + 1);
      if (probes(job) || host.isOnProbation(clock.now())) {
        break;
      }
    }
    return step;
  }

  /** One task alone tells whether a job still fails wherever it runs; of a gang it takes all. */
  private static boolean probes(Job job) {
    return job.suspected() && !job.spec().isGang();
  }

  /** A gang starts only when all of it fits now, in one zone where its job wants that. */
  private boolean placeGang(Job job, List<Host> usable) {
    Submission submission = job.spec();
    if (!ledger.teamAllows(submission, job.waiting()) || job.held() > 0) {
      return false;
    }
    List<List<Host>> choices =
        submission.together()
            ? List.copyOf(PlacementFilter.byZone(usable).values())
            : List.of(usable);
    for (List<Host> machines : choices) {
      int room = filter.room(job, machines);
      if (recorder != null) {
        recorder.gangRoom(job, room);
      }
      if (room >= job.waiting()) {
        placeEach(job, machines, Integer.MAX_VALUE);
        return true;
      }
    }
    if (recorder != null) {
      recorder.found(job, PlacementVerdict.GANG, job.waiting());
    }
    return false;
  }
}
