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

/** Starts each waiting task on the machine where it completes earliest, in order of urgency. */
public final class Placer {
  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final RuntimeEstimates estimates;
  private final Ranking ranking;
  private final long batchDelayMs;
  private final DoubleSupplier cpusForServices;
  private final Evictions evictions;
  private final Lanes lanes;
  private final Calendars calendars;
  private final SteadyCapacity steadyCapacity = new SteadyCapacity();
  private final StarvationGuard starvationGuard;
  private final Reservations reservations;
  private final PlacementFilter filter;
  private final EarliestFinishSelector earliestFinish;
  private boolean awaitingImage;
  private boolean turnScheduled;
  private DecisionRecorder recorder;

  /**
   * Creates a placer that starts the ledger's waiting tasks on the machines of the worker manager.
   */
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
      DoubleSupplier cpusForServices,
      long beginWithinMs) {
    this.cpusForServices = cpusForServices;
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
            steadyCapacity,
            reservations,
            lanes);
    this.earliestFinish =
        new EarliestFinishSelector(clock, ledger, estimates, steadyCapacity, filter, reservations);
    this.evictions =
        new Evictions(clock, settings, ledger, workers, disruptionGate, starvationGuard, filter);
    this.calendars = calendars;
    this.ranking = new Ranking(clock, settings, ledger, estimates, calendars);
    this.batchDelayMs = settings.workers().reportMs() / 60;
  }

  /** Schedules a placement turn after a short delay; all changes until then share that turn. */
  public void scheduleTurn() {
    if (!turnScheduled) {
      turnScheduled = true;
      timers.after(
          batchDelayMs,
          () -> {
            turnScheduled = false;
            runTurn();
          });
    }
  }

  /**
   * Runs a placement turn at once and passes the obstacles that it finds for a job to the callback;
   * passes null when this controller does not place tasks.
   */
  public void explain(String ref, Consumer<PlacementExplanation> callback) {
    if (!ledger.canLaunch()) {
      callback.accept(null);
      return;
    }
    boolean firstRequest = recorder == null;
    if (firstRequest) {
      recorder = new DecisionRecorder(clock, ledger, workers, estimates, calendars);
    }
    recorder.addRequest(ref, callback);
    if (firstRequest) {
      timers.after(0, this::runTurn);
    }
  }

  private void runTurn() {
    if (ledger.canLaunch()) {
      placeWaitingJobs();
    } else {
      reservations.clear();
    }
    if (recorder != null) {
      if (ledger.canLaunch()) {
        // Filters all machines again, with the state that the turn has left behind.
        recorder.answerRequests(filter::filterAnyHost);
      } else {
        recorder.cancelRequests();
      }
      recorder = null;
    }
  }

  private void placeWaitingJobs() {
    List<Job> waitingJobs = ranking.orderedJobs();
    if (waitingJobs.isEmpty()) {
      return;
    }
    // In a full cluster few machines have free capacity; the others are left out here, so that they
    // are not checked for each task.
    double minCpus = waitingJobs.stream().mapToDouble(j -> j.spec().cpus()).min().orElse(0);
    List<Host> usableHosts = new ArrayList<>();
    double clusterCpus = 0;
    steadyCapacity.clear();
    for (Host host : workers.hosts()) {
      if (!host.closed() && workers.isResponsive(host)) {
        clusterCpus += host.type().cpus();
        if (host.cpusFree() >= minCpus - 1e-9) {
          usableHosts.add(host);
          steadyCapacity.addFreeCpus(host, host.cpusFree());
        }
      }
    }
    filter.beginTurn(cpusForServices.getAsDouble());
    earliestFinish.beginTurn();
    evictions.beginTurn();
    reservations.beginTurn(starvationGuard);
    lanes.beginTurn(usableHosts);
    List<Job> otherJobs = placeCriticalAndRiders(waitingJobs, usableHosts);
    placeLongWaiting(otherJobs, usableHosts, clusterCpus);
    placeInOrder(otherJobs, usableHosts);
  }

  /**
   * Places critical services and lane riders, which wait for no other job; returns the other jobs.
   */
  private List<Job> placeCriticalAndRiders(List<Job> waitingJobs, List<Host> usableHosts) {
    List<Job> otherJobs = new ArrayList<>();
    List<Job> riders = new ArrayList<>();
    for (Job job : waitingJobs) {
      boolean rider = lanes.isRider(job.spec());
      if (!rider && !StarvationGuard.isCritical(job.spec())) {
        otherJobs.add(job);
        continue;
      }
      placeJob(job, usableHosts, Integer.MAX_VALUE);
      if (rider && job.waitingTasks() > 0) {
        riders.add(job);
      }
    }
    if (!riders.isEmpty()) {
      lanes.claimRoom(riders);
    }
    return otherJobs;
  }

  /**
   * Returns whether the attempt belongs to a job that waited for long before it ran; such attempts
   * are evicted last.
   */
  public boolean isProtectedFromEviction(Attempt attempt) {
    return starvationGuard.isProtectedFromEviction(attempt);
  }

  /**
   * Starts a few tasks of each job that has waited for long, ahead of all other jobs
   * (docs/known.md).
   */
  private void placeLongWaiting(List<Job> waitingJobs, List<Host> usableHosts, double clusterCpus) {
    Map<Job, Integer> quotas = starvationGuard.assignQuotas(waitingJobs, clusterCpus);
    List<Job> quotaJobs = new ArrayList<>(quotas.keySet());
    // Jobs with reserved machines come first, so that they get this capacity before other jobs are
    // placed.
    quotaJobs.sort(Comparator.comparing(j -> !reservations.hasReservation(j)));
    for (Job job : quotaJobs) {
      placeJob(job, usableHosts, quotas.get(job));
      int missingTasks = job.spec().isService() || job.spec().isGang() ? job.waitingTasks() : 1;
      if (job.waitingTasks() > 0 && (StarvationGuard.hasNotBegun(job) || job.spec().isService())) {
        reservations.reserve(job, missingTasks, clusterCpus);
      }
    }
  }

  private void placeInOrder(List<Job> waitingJobs, List<Host> usableHosts) {
    for (Job job : waitingJobs) {
      if (!placeJob(job, usableHosts, Integer.MAX_VALUE) && isStarving(job)) {
        // Machines must become free for this starving gang; less urgent jobs would keep filling
        // them.
        recordBehindGang(waitingJobs, job);
        return;
      }
    }
  }

  /**
   * Starts up to {@code maxTasks} of a job's tasks; returns false when the job is a gang that does
   * not fit.
   */
  private boolean placeJob(Job job, List<Host> usableHosts, int maxTasks) {
    if (job.spec().isGang()) {
      return placeGang(job, usableHosts);
    }
    if (job.spec().together()) {
      placeTogether(job, usableHosts, maxTasks);
    } else {
      placeEach(job, usableHosts, maxTasks);
    }
    return true;
  }

  private void recordBehindGang(List<Job> orderedJobs, Job gang) {
    if (recorder != null) {
      orderedJobs.stream()
          .skip(orderedJobs.indexOf(gang) + 1L)
          .forEach(
              j -> recorder.recordJobVerdict(j, PlacementVerdict.BEHIND_GANG, j.waitingTasks()));
    }
  }

  private boolean isStarving(Job job) {
    return job.heldAttempts() == 0
        && ledger.teamAllows(job.spec(), job.waitingTasks())
        && clock.wall() - job.acceptedWallMs() > 10 * settings.workers().reportMs();
  }

  /**
   * Starts tasks that must share a zone; while none of them has started, the zone with capacity for
   * most of them is chosen.
   */
  private void placeTogether(Job job, List<Host> usableHosts, int maxTasks) {
    String bestZone = null;
    int bestRoom = 0;
    for (Map.Entry<String, List<Host>> zone : PlacementFilter.groupByZone(usableHosts).entrySet()) {
      int room = filter.countFitting(job, zone.getValue());
      if (room > bestRoom) {
        bestRoom = room;
        bestZone = zone.getKey();
      }
    }
    if (bestZone != null) {
      placeEach(job, PlacementFilter.groupByZone(usableHosts).get(bestZone), maxTasks);
    }
  }

  /**
   * Starts up to {@code maxTasks} of a job's tasks, each on the machine where it completes
   * earliest.
   */
  private void placeEach(Job job, List<Host> usableHosts, int maxTasks) {
    awaitingImage = false;
    int waitingBefore = job.waitingTasks();
    int step = job.nextStartableStep(0);
    while (step >= 0 && waitingBefore - job.waitingTasks() < maxTasks) {
      Host host = earliestFinish.selectHost(job, usableHosts, recorder != null);
      if (host == null || !lanes.isRider(job.spec()) && shouldAwaitImage(job, host)) {
        break;
      }
      int previousStep = step;
      step = startOnHost(job, step, host, maxTasks - (waitingBefore - job.waitingTasks()));
      if (step == previousStep || isProbing(job)) {
        break;
      }
    }
    if (awaitingImage && recorder != null) {
      recorder.recordJobVerdict(job, PlacementVerdict.AWAITS_IMAGE, job.waitingTasks());
    }
    // No other work is evicted for a job that fails wherever it runs.
    boolean mayMakeRoom = maxTasks == Integer.MAX_VALUE;
    // Capacity for riders is claimed through their lane instead.
    mayMakeRoom &= !lanes.isRider(job.spec());
    if (step >= 0
        && mayMakeRoom
        && ledger.teamAllows(job.spec())
        && !awaitingImage
        && !job.isSuspected()) {
      int roomComing = evictions.makeRoom(job, ranking.isWithinGuarantee(job));
      if (roomComing > 0 && recorder != null) {
        recorder.recordJobVerdict(job, PlacementVerdict.ROOM_ON_ITS_WAY, roomComing);
      }
    }
  }

  /**
   * Returns whether a replica should wait for capacity on a machine that has its image, instead of
   * fetching the image here. It waits at most for as long as half of the fetch takes; after that,
   * any start is better than none.
   */
  private boolean shouldAwaitImage(Job job, Host host) {
    Submission submission = job.spec();
    double fetchS = host.imageWaitS(submission, clock.now());
    double ageS = (clock.wall() - job.acceptedWallMs()) / 1000.0;
    awaitingImage =
        submission.isService()
            && fetchS > 0
            && ageS < fetchS / 2
            && evictions.makeRoomAtImage(job) > 0;
    return awaitingImage;
  }

  /** Starts as many of a job's tasks on a machine as fit; returns the next waiting step, or -1. */
  private int startOnHost(Job job, int firstStep, Host host, int maxTasks) {
    int step = firstStep;
    int remainingTasks = maxTasks;
    while (step >= 0
        && remainingTasks-- > 0
        && filter.leavesReservedRoom(job.spec(), host)
        && ledger.launch(job, step, host)) {
      steadyCapacity.addFreeCpus(host, -job.spec().cpus());
      lanes.addFreeCpus(host, -job.spec().cpus());
      step = job.nextStartableStep(step + 1);
      if (isProbing(job) || host.isOnProbation(clock.now())) {
        break;
      }
    }
    return step;
  }

  /**
   * Returns whether the job may run one task only, as a probe of whether it still fails wherever it
   * runs. A gang cannot be probed by one task, so all of it starts.
   */
  private static boolean isProbing(Job job) {
    return job.isSuspected() && !job.spec().isGang();
  }

  /** Starts a gang if all of its tasks fit now, within one zone if the job requires that. */
  private boolean placeGang(Job job, List<Host> usableHosts) {
    Submission submission = job.spec();
    if (!ledger.teamAllows(submission, job.waitingTasks()) || job.heldAttempts() > 0) {
      return false;
    }
    List<List<Host>> hostGroups =
        submission.together()
            ? List.copyOf(PlacementFilter.groupByZone(usableHosts).values())
            : List.of(usableHosts);
    for (List<Host> hosts : hostGroups) {
      int room = filter.countFitting(job, hosts);
      if (recorder != null) {
        recorder.recordGangCapacity(job, room);
      }
      if (room >= job.waitingTasks()) {
        placeEach(job, hosts, Integer.MAX_VALUE);
        return true;
      }
    }
    if (recorder != null) {
      recorder.recordJobVerdict(job, PlacementVerdict.GANG, job.waitingTasks());
    }
    return false;
  }
}
