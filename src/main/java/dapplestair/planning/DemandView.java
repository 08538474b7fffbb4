package dapplestair.planning;

import dapplestair.fleet.Fleet;
import dapplestair.fleet.MachineKind;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineType;
import dapplestair.machines.MachineTypes;
import dapplestair.placement.RuntimeEstimates;
import dapplestair.planning.FleetProblem.DryTasks;
import dapplestair.planning.FleetProblem.MachineKindState;
import dapplestair.ports.Clock;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Builds the immutable optimization problem of a planning round from the work and the fleet. */
public final class DemandView {
  private static final int RECLAIM_WINDOWS = 10;

  private final Clock clock;
  private final Ledger ledger;
  private final WorkerManager workers;
  private final Fleet fleet;
  private final MachineTypes types;
  private final RuntimeEstimates estimates;
  private final ArrivalForecast arrivalForecast;
  private final CapacityFloors floors;
  private final long windowMs;

  /** Creates a view of the leader's components. */
  public DemandView(
      Clock clock,
      Settings settings,
      Ledger ledger,
      WorkerManager workers,
      Fleet fleet,
      MachineTypes types,
      RuntimeEstimates estimates) {
    this.clock = clock;
    this.ledger = ledger;
    this.workers = workers;
    this.fleet = fleet;
    this.types = types;
    this.estimates = estimates;
    this.windowMs = 20 * settings.workers().reportMs();
    this.arrivalForecast = new ArrivalForecast(2 * windowMs);
    this.floors = new CapacityFloors(clock, ledger);
  }

  /** Creates the view of jobs that wait for capacity in a single zone. */
  ZoneDemand zoneDemand() {
    return new ZoneDemand(clock, ledger, workers, fleet, types);
  }

  /** Adds a job that was just accepted to the arrival forecast. */
  public void addArrival(Submission submission) {
    arrivalForecast.addArrival(submission, clock.now());
  }

  /**
   * Returns the CPUs that services are expected to request while a machine boots, plus those of one
   * more replica, the largest.
   */
  public double cpusForServices() {
    long bootMs =
        Math.round(1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0));
    double cpus = 0;
    double largestCpus = 0;
    for (Submission submission : arrivalForecast.expectedJobs(clock.now(), bootMs)) {
      if (submission.isService()) {
        cpus += submission.cpus() * submission.taskCount();
        largestCpus = Math.max(largestCpus, submission.cpus());
      }
    }
    return cpus + largestCpus;
  }

  /**
   * Returns the CPUs of tasks that have waited for longer than a machine boots, divided by the CPUs
   * of the held machines. Jobs that have just arrived do not count, because most of them are placed
   * a moment later.
   */
  double pressure() {
    double bootMs = 1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0);
    double waitingCpus = 0;
    for (Job job : ledger.jobs()) {
      if (clock.wall() - job.acceptedWallMs() > bootMs) {
        waitingCpus += tasksToPlan(job) * job.spec().cpus();
      }
    }
    double heldCpus = 0;
    for (Host host : workers.hosts()) {
      heldCpus += host.type() == null ? 0 : host.type().cpus();
    }
    return heldCpus == 0 ? 1 : waitingCpus / heldCpus;
  }

  /**
   * Returns the number of a job's tasks to plan for. A job suspected of failing on any machine is
   * tried on the existing machines: no machine is rented for it, unless there is none at all or the
   * job is a gang, where a single task shows nothing about the job.
   */
  private int tasksToPlan(Job job) {
    boolean onExistingMachines =
        job.isSuspected() && !job.spec().isGang() && !workers.hosts().isEmpty();
    return onExistingMachines ? 0 : job.wantedTasks(clock.now());
  }

  /** Returns the CPUs of all tasks that wait for capacity. */
  public double waitingCpus() {
    return neededCpus(List.of());
  }

  /** Sets the check for whether drained machines hold replicas that have nowhere to go. */
  public void setDrainsLackCapacity(BooleanSupplier check) {
    floors.setDrainsLackCapacity(check);
  }

  boolean isReady() {
    return ledger.canLaunch();
  }

  FleetProblem problem(OperatorSettings operatorSettings) {
    List<MachineType> allTypes = List.copyOf(types.all());
    double longestBootS = allTypes.stream().mapToDouble(MachineType::bootS).max().orElse(0);
    List<Submission> expectedJobs =
        arrivalForecast.expectedJobs(clock.now(), Math.round(longestBootS * 1000));
    double taskSlotCpus = taskSlotCpus(expectedJobs);
    double neededCpus = neededCpus(expectedJobs);
    List<MachineKindState> kinds = new ArrayList<>();
    for (MachineType type : allTypes) {
      kinds.add(kindState(type, false, taskSlotCpus, neededCpus));
      kinds.add(kindState(type, true, taskSlotCpus, neededCpus));
    }
    kinds = floors.forGangs(floors.forServices(kinds, expectedJobs), windowMs / 4);
    List<DryTasks> tasks = dryTasks(kinds, expectedJobs, taskSlotCpus, longestBootS);
    return new FleetProblem(
        kinds, tasks, taskSlotCpus, budgetPerHour(operatorSettings, kinds, expectedJobs));
  }

  /**
   * Returns the CPUs that a task slot represents, half of those of a median task: small enough to
   * pack tasks well, large enough to keep the dry run fast.
   */
  private double taskSlotCpus(List<Submission> expectedJobs) {
    double[] sizes =
        java.util.stream.Stream.concat(
                ledger.jobs().stream().filter(j -> !j.isOver()).map(Job::spec),
                expectedJobs.stream())
            .filter(s -> !s.isService())
            .mapToDouble(Submission::cpus)
            .sorted()
            .toArray();
    return sizes.length == 0 ? 1 : Math.max(0.25, sizes[sizes.length / 2] / 2);
  }

  private MachineKindState kindState(
      MachineType type, boolean spot, double taskSlotCpus, double neededCpus) {
    MachineKind kind = new MachineKind(type.name(), spot);
    List<Host> upHosts = new ArrayList<>();
    List<double[]> slotsFreeAtS = new ArrayList<>();
    int slotsPerMachine = Math.max(1, (int) Math.floor(type.cpus() / taskSlotCpus + 1e-9));
    List<Double> bootingReadyS = new ArrayList<>();
    int busyCount = 0;
    for (Host host : workers.hosts()) {
      if (!fleet.isUsableAs(host, kind)) {
        continue;
      }
      if (host.isUp()) {
        upHosts.add(host);
        // Tasks of arrays that overflowed onto steady machines must not keep these forever: a plan
        // may drop such a machine, which then gets no new work and is returned once it is idle.
        if (spot ? !host.isIdle() : host.serviceCpus() > 0) {
          busyCount++;
        }
      } else {
        double ageS = (clock.now() - host.rentedAt()) / 1000.0;
        bootingReadyS.add(
            Math.max(expectedBackS(host), Math.max(1, type.bootS() - Math.max(0, ageS))));
      }
    }
    // Busy machines come first, because a smaller plan gives up the idle ones.
    upHosts.sort(
        Comparator.comparingDouble(Host::serviceCpus)
            .thenComparingDouble(Host::cpusUsed)
            .reversed());
    bootingReadyS.sort(Comparator.naturalOrder());
    double horizonS = 2 * type.bootS();
    for (Host host : upHosts) {
      double[] busyUntilS = busyUntilS(host, taskSlotCpus, slotsPerMachine);
      double backAtS = expectedBackS(host);
      for (int i = 0; i < busyUntilS.length; i++) {
        busyUntilS[i] = Math.max(busyUntilS[i], backAtS);
      }
      for (double slotFreeAtS : busyUntilS) {
        horizonS =
            slotFreeAtS < HeldTaskSlots.NEVER_FREE_S ? Math.max(horizonS, slotFreeAtS) : horizonS;
      }
      slotsFreeAtS.add(busyUntilS);
    }
    for (double readyS : bootingReadyS) {
      double[] busyUntilS = new double[slotsPerMachine];
      Arrays.fill(busyUntilS, readyS);
      slotsFreeAtS.add(busyUntilS);
    }
    // The upper bound allows renting for all waiting work in one round. A bound that grows with the
    // held machines would take many rounds when the fleet starts from nothing.
    int countForAllWork =
        (int) Math.ceil(neededCpus / type.cpus() / Math.max(1, type.zones().size()));
    int maxCount = Math.max(busyCount, fleet.capacity(kind, Math.max(2, countForAllWork)));
    return new MachineKindState(
        type,
        spot,
        busyCount,
        maxCount,
        new HeldTaskSlots(slotsFreeAtS, horizonS),
        upHosts.size(),
        fleet.spotHistory().price(type, spot),
        fleet.spotHistory().reclaimProbability(kind, windowMs, RECLAIM_WINDOWS));
  }

  /**
   * Returns in how many seconds a silent machine that is still waited for is expected back, which
   * is as long as it has been silent so far; 0 for other machines.
   */
  private double expectedBackS(Host host) {
    return host.zoneSilentMs() > 0 || host.isHanging() ? workers.silentMs(host) / 1000.0 : 0;
  }

  /** Returns for each task slot of a machine the time in seconds from now until it is free. */
  private double[] busyUntilS(Host host, double taskSlotCpus, int slotsPerMachine) {
    double[] slotsBusyUntilS = new double[slotsPerMachine];
    int usedSlots = 0;
    double serviceCpus = 0;
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.spec().isService()) {
        serviceCpus += attempt.spec().cpus();
        continue;
      }
      double remainingS = Math.max(1, estimates.remainingRunS(attempt, host, clock.now()));
      for (long remainingSlots = Math.max(1, Math.round(attempt.spec().cpus() / taskSlotCpus));
          remainingSlots > 0 && usedSlots < slotsPerMachine;
          remainingSlots--) {
        slotsBusyUntilS[usedSlots++] = remainingS;
      }
    }
    for (long remainingSlots = (long) Math.ceil(serviceCpus / taskSlotCpus);
        remainingSlots > 0 && usedSlots < slotsPerMachine;
        remainingSlots--) {
      slotsBusyUntilS[usedSlots++] = HeldTaskSlots.NEVER_FREE_S;
    }
    return slotsBusyUntilS;
  }

  /** Returns the CPUs of all waiting and expected tasks. */
  private double neededCpus(List<Submission> expectedJobs) {
    double cpus = 0;
    for (Job job : ledger.jobs()) {
      cpus += tasksToPlan(job) * job.spec().cpus();
    }
    for (Submission submission : expectedJobs) {
      cpus += submission.taskCount() * submission.cpus();
    }
    return cpus;
  }

  private List<DryTasks> dryTasks(
      List<MachineKindState> kinds,
      List<Submission> expectedJobs,
      double taskSlotCpus,
      double aheadS) {
    List<DryRunEntries.PendingTasks> pending = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      int count = tasksToPlan(job);
      if (count > 0) {
        double ageS = (clock.wall() - job.acceptedWallMs()) / 1000.0;
        pending.add(
            new DryRunEntries.PendingTasks(job.spec(), count, slackS(job.spec()) - ageS, 0));
      }
    }
    for (int i = 0; i < expectedJobs.size(); i++) {
      double arrivesS = aheadS * (i + 0.5) / expectedJobs.size();
      Submission submission = expectedJobs.get(i);
      pending.add(
          new DryRunEntries.PendingTasks(
              submission, submission.taskCount(), slackS(submission) + arrivesS, arrivesS));
    }
    return new DryRunEntries(kinds, taskSlotCpus, aheadS, windowMs / 1000.0, estimates)
        .entriesFor(pending);
  }

  private double slackS(Submission submission) {
    double runS = estimates.expectedRunS(submission);
    return (Double.isFinite(submission.deadlineS()) ? submission.deadlineS() : 10 * runS + 60)
        - runS;
  }

  /**
   * Returns the operators' budget per hour. If none is set, returns the cost of all present and
   * expected work on its cheapest machine kinds times the budget ratio, but at least the cost of
   * the minimum counts plus one machine.
   */
  private double budgetPerHour(
      OperatorSettings operatorSettings,
      List<MachineKindState> kinds,
      List<Submission> expectedJobs) {
    if (operatorSettings.budgetPerHour() > 0) {
      return operatorSettings.budgetPerHour();
    }
    double floorPerHour = kinds.stream().mapToDouble(s -> s.minCount() * s.pricePerHour()).sum();
    double demandPerHour = 0;
    for (Job job : ledger.jobs()) {
      if (!job.isOver()) {
        demandPerHour +=
            cheapestPricePerCpu(kinds, job.spec())
                * job.spec().cpus()
                * (tasksToPlan(job) + job.heldAttempts());
      }
    }
    for (Submission submission : expectedJobs) {
      demandPerHour +=
          cheapestPricePerCpu(kinds, submission) * submission.cpus() * submission.taskCount();
    }
    double oneMorePerHour =
        kinds.stream().mapToDouble(MachineKindState::pricePerHour).max().orElse(0);
    return Math.max(operatorSettings.budgetRatio() * demandPerHour, floorPerHour + oneMorePerHour);
  }

  private static double cheapestPricePerCpu(List<MachineKindState> kinds, Submission job) {
    return kinds.stream()
        .filter(s -> s.type().suits(job) && (job.spot() || !s.spot()))
        .mapToDouble(CapacityFloors::pricePerCpu)
        .min()
        .orElse(0);
  }
}
