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
  private static final int WINDOWS = 10;

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
  ZoneDemand inOneZone() {
    return new ZoneDemand(clock, ledger, workers, fleet, types);
  }

  /** Adds a job that was just accepted to the arrival forecast. */
  public void arrived(Submission submission) {
    arrivalForecast.addArrival(submission, clock.now());
  }

  /**
   * Returns the CPUs that services are expected to request while a machine boots, plus those of one
   * more replica, the largest.
   */
  public double roomForServices() {
    long bootMs =
        Math.round(1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0));
    double sum = 0;
    double largest = 0;
    for (Submission submission : arrivalForecast.expectedJobs(clock.now(), bootMs)) {
      if (submission.service()) {
        sum += submission.cpus() * submission.steps();
        largest = Math.max(largest, submission.cpus());
      }
    }
    return sum + largest;
  }

  /*   * Returns the CPUs of tasks that have waited for longer than a machine boots, divided by the CPUs
   * of the held machines. Jobs that have just arrived do not count, because most of them are placed
   * a moment later.
   */
  double pressure() {
    double bootMs = 1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0);
    double waiting = 0;
    for (Job job : ledger.jobs()) {
      if (clock.wall() - job.acceptedWall() > bootMs) {
        waiting += wanted(job) * job.spec().cpus();
      }
    }
    double held = 0;
    for (Host host : workers.hosts()) {
      held += host.type() == null ? 0 : host.type().cpus();
    }
    return held == 0 ? 1 : waiting / held;
  }

  /*   * Returns the number of a job's tasks to plan for. A job suspected of failing on any machine is
   * tried on the existing machines: no machine is rented for it, unless there is none at all or the
   * job is a gang, where a single task shows nothing about the job.
   */
  private int wanted(Job job) {
    boolean onWhatThereIs = job.suspected() && !job.spec().gang() && !workers.hosts().isEmpty();
    return onWhatThereIs ? 0 : job.wanted(clock.now());
  }

  /** Returns the CPUs of all tasks that wait for capacity. */
  public double waitingCpus() {
    return needCpus(List.of());
  }

  /** Sets the check for whether drained machines hold replicas that have nowhere to go. */
  public void drainsLackRoom(BooleanSupplier lack) {
    floors.drainsLackRoom(lack);
  }

  boolean ready() {
    return ledger.armed();
  }

  FleetProblem problem(OperatorSettings operatorSettings) {
    List<MachineType> kinds = List.copyOf(types.all());
    double longestBootS = kinds.stream().mapToDouble(MachineType::bootS).max().orElse(0);
    List<Submission> soon =
        arrivalForecast.expectedJobs(clock.now(), Math.round(longestBootS * 1000));
    double laneCpus = laneCpus(soon);
    double need = needCpus(soon);
    List<MachineKindState> slots = new ArrayList<>();
    for (MachineType type : kinds) {
      slots.add(slot(type, false, laneCpus, need));
      slots.add(slot(type, true, laneCpus, need));
    }
    slots = floors.forGangs(floors.forServices(slots, soon), windowMs / 4);
    List<DryTasks> tasks = tasks(slots, soon, laneCpus, longestBootS);
    return new FleetProblem(slots, tasks, laneCpus, budget(operatorSettings, slots, soon));
  }

  /**
   * Returns the CPUs that a task slot represents, half of those of a median task: small enough to
   * pack tasks well, large enough to keep the dry run fast.
   */
  private double laneCpus(List<Submission> soon) {
    double[] sizes =
        java.util.stream.Stream.concat(
                ledger.jobs().stream().filter(j -> !j.over()).map(Job::spec), soon.stream())
            .filter(s -> !s.service())
            .mapToDouble(Submission::cpus)
            .sorted()
            .toArray();
    return sizes.length == 0 ? 1 : Math.max(0.25, sizes[sizes.length / 2] / 2);
  }

  private MachineKindState slot(MachineType type, boolean spot, double laneCpus, double needCpus) {
    MachineKind kind = new MachineKind(type.name(), spot);
    List<Host> up = new ArrayList<>();
    List<double[]> lanes = new ArrayList<>();
    int perMachine = Math.max(1, (int) Math.floor(type.cpus() / laneCpus + 1e-9));
    List<Double> booting = new ArrayList<>();
    int busy = 0;
    for (Host host : workers.hosts()) {
      if (!fleet.counts(host, kind)) {
        continue;
      }
      if (host.up()) {
        up.add(host);
        // Tasks of arrays that overflowed onto steady machines must not keep these forever: a plan
        // may drop such a machine, which then gets no new work and is returned once it is idle.
        if (spot ? !host.idle() : host.serviceCpus() > 0) {
          busy++;
        }
      } else {
        double age = (clock.now() - host.rentedAt()) / 1000.0;
        booting.add(Math.max(backS(host), Math.max(1, type.bootS() - Math.max(0, age))));
      }
    }
    // Busy machines come first, because a smaller plan gives up the idle ones.
    up.sort(
        Comparator.comparingDouble(Host::serviceCpus)
            .thenComparingDouble(Host::cpusUsed)
            .reversed());
    booting.sort(Comparator.naturalOrder());
    double horizon = 2 * type.bootS();
    for (Host host : up) {
      double[] until = busyUntil(host, laneCpus, perMachine);
      double backS = backS(host);
      for (int i = 0; i < until.length; i++) {
        until[i] = Math.max(until[i], backS);
      }
      for (double at : until) {
        horizon = at < HeldTaskSlots.NEVER_FREE_S ? Math.max(horizon, at) : horizon;
      }
      lanes.add(until);
    }
    for (double ready : booting) {
      double[] until = new double[perMachine];
      Arrays.fill(until, ready);
      lanes.add(until);
    }
    // The upper bound allows renting for all waiting work in one round. A bound that grows with the
    // held machines would take many rounds when the fleet starts from nothing.
    int forAll = (int) Math.ceil(needCpus / type.cpus() / Math.max(1, type.zones().size()));
    int most = Math.max(busy, fleet.capacity(kind, Math.max(2, forAll)));
    return new MachineKindState(
        type,
        spot,
        busy,
        most,
        new HeldTaskSlots(lanes, horizon),
        up.size(),
        fleet.market().price(type, spot),
        fleet.market().takeBackChance(kind, windowMs, WINDOWS));
  }

  /**
   * Returns in how many seconds a silent machine that is still waited for is expected back, which
   * is as long as it has been silent so far; 0 for other machines.
   */
  private double backS(Host host) {
    return host.zoneSilentMs() > 0 || host.hanging() ? workers.silentMs(host) / 1000.0 : 0;
  }

  /** Returns for each task slot of a machine the time in seconds from now until it is free. */
  private double[] busyUntil(Host host, double laneCpus, int perMachine) {
    double[] until = new double[perMachine];
    int used = 0;
    double services = 0;
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.spec().service()) {
        services += attempt.spec().cpus();
        continue;
      }
      double left = Math.max(1, estimates.leftS(attempt, host, clock.now()));
      for (long l = Math.max(1, Math.round(attempt.spec().cpus() / laneCpus));
          l > 0 && used < perMachine;
          l--) {
        until[used++] = left;
      }
    }
    for (long l = (long) Math.ceil(services / laneCpus); l > 0 && used < perMachine; l--) {
      until[used++] = HeldTaskSlots.NEVER_FREE_S;
    }
    return until;
  }

  /** Returns the CPUs of all waiting and expected tasks. */
  private double needCpus(List<Submission> soon) {
    double sum = 0;
    for (Job job : ledger.jobs()) {
      sum += wanted(job) * job.spec().cpus();
    }
    for (Submission submission : soon) {
      sum += submission.steps() * submission.cpus();
    }
    return sum;
  }

  private List<DryTasks> tasks(
      List<MachineKindState> slots, List<Submission> soon, double laneCpus, double aheadS) {
    List<DryRunEntries.PendingTasks> pending = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      int count = wanted(job);
      if (count > 0) {
        double age = (clock.wall() - job.acceptedWall()) / 1000.0;
        pending.add(new DryRunEntries.PendingTasks(job.spec(), count, slack(job.spec()) - age, 0));
      }
    }
    for (int i = 0; i < soon.size(); i++) {
      double arrives = aheadS * (i + 0.5) / soon.size();
      Submission submission = soon.get(i);
      pending.add(
          new DryRunEntries.PendingTasks(
              submission, submission.steps(), slack(submission) + arrives, arrives));
    }
    return new DryRunEntries(slots, laneCpus, aheadS, windowMs / 1000.0, estimates)
        .entriesFor(pending);
  }

  private double slack(Submission submission) {
    double run = estimates.runS(submission);
    return (Double.isFinite(submission.dueS()) ? submission.dueS() : 10 * run + 60) - run;
  }

  /**
   * Returns the operators' budget per hour. If none is set, returns the cost of all present and
   * expected work on its cheapest machine kinds times the budget ratio, but at least the cost of
   * the minimum counts plus one machine.
   */
  private double budget(
      OperatorSettings operatorSettings, List<MachineKindState> slots, List<Submission> soon) {
    if (operatorSettings.budgetPerHour() > 0) {
      return operatorSettings.budgetPerHour();
    }
    double floor = slots.stream().mapToDouble(s -> s.minCount() * s.pricePerHour()).sum();
    double demand = 0;
    for (Job job : ledger.jobs()) {
      if (!job.over()) {
        demand += cheapest(slots, job.spec()) * job.spec().cpus() * (wanted(job) + job.held());
      }
    }
    for (Submission s : soon) {
      demand += cheapest(slots, s) * s.cpus() * s.steps();
    }
    double oneMore = slots.stream().mapToDouble(MachineKindState::pricePerHour).max().orElse(0);
    return Math.max(operatorSettings.budgetRatio() * demand, floor + oneMore);
  }

  private static double cheapest(List<MachineKindState> slots, Submission job) {
    return slots.stream()
        .filter(s -> s.type().suits(job) && (job.spot() || !s.spot()))
        .mapToDouble(CapacityFloors::perCpu)
        .min()
        .orElse(0);
  }
}
