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

/** What there is to do and to do it with, as one immutable problem for the search. */
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

  /** Looks at the leader's duties. */
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

  /** What waits for room in one zone alone. */
  ZoneDemand inOneZone() {
    return new ZoneDemand(clock, ledger, workers, fleet, types);
  }

  /** A job was accepted just now. */
  public void arrived(Submission submission) {
    arrivalForecast.arrived(submission, clock.now());
  }

  /** CPUs that services are expected to ask for while a machine boots, and one replica more. */
  public double roomForServices() {
    long bootMs =
        Math.round(1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0));
    double sum = 0;
    double largest = 0;
    for (Submission submission : arrivalForecast.expected(clock.now(), bootMs)) {
      if (submission.isService()) {
        sum += submission.cpus() * submission.taskCount();
        largest = Math.max(largest, submission.cpus());
      }
    }
    return sum + largest;
  }

  /**
   * CPUs of tasks that wait for longer than a machine boots, over those of the machines held. What
   * has just come does not count: it is mostly placed a moment later.
   */
  double pressure() {
    double bootMs = 1000 * types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0);
    double waiting = 0;
    for (Job job : ledger.jobs()) {
      if (clock.wall() - job.acceptedWallMs() > bootMs) {
        waiting += wanted(job) * job.spec().cpus();
      }
    }
    double held = 0;
    for (Host host : workers.hosts()) {
      held += host.type() == null ? 0 : host.type().cpus();
    }
    return held == 0 ? 1 : waiting / held;
  }

  /**
   * Tasks to plan for. A job that fails wherever it runs is tried on what there is: no machine is
   * rented for it, except where there is none at all, and for a gang, of which no task alone tells.
   */
  private int wanted(Job job) {
    boolean onWhatThereIs = job.isSuspected() && !job.spec().isGang() && !workers.hosts().isEmpty();
    return onWhatThereIs ? 0 : job.wantedTasks(clock.now());
  }

  /** CPUs of all that waits for room. */
  public double waitingCpus() {
    return needCpus(List.of());
  }

  /** {@code lack} tells whether drained machines hold replicas that have no place to go. */
  public void drainsLackRoom(BooleanSupplier lack) {
    floors.drainsLackRoom(lack);
  }

  boolean ready() {
    return ledger.canLaunch();
  }

  FleetProblem problem(OperatorSettings operatorSettings) {
    List<MachineType> kinds = List.copyOf(types.all());
    double longestBootS = kinds.stream().mapToDouble(MachineType::bootS).max().orElse(0);
    List<Submission> soon = arrivalForecast.expected(clock.now(), Math.round(longestBootS * 1000));
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

  /** Half of a typical task: fine enough to pack, coarse enough to be quick. */
  private double laneCpus(List<Submission> soon) {
    double[] sizes =
        java.util.stream.Stream.concat(
                ledger.jobs().stream().filter(j -> !j.isOver()).map(Job::spec), soon.stream())
            .filter(s -> !s.isService())
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
      if (!fleet.isUsableAs(host, kind)) {
        continue;
      }
      if (host.isUp()) {
        up.add(host);
        // Arrays that overflowed onto steady machines must not keep those for ever: such a machine
        // may be planned away, gets no new work then, and is returned once it is idle.
        if (spot ? !host.isIdle() : host.serviceCpus() > 0) {
          busy++;
        }
      } else {
        double age = (clock.now() - host.rentedAt()) / 1000.0;
        booting.add(Math.max(backS(host), Math.max(1, type.bootS() - Math.max(0, age))));
      }
    }
    // Busy machines come first: idle ones are those that a smaller plan gives up.
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
        horizon = at < HeldTaskSlots.FOR_EVER_S ? Math.max(horizon, at) : horizon;
      }
      lanes.add(until);
    }
    for (double ready : booting) {
      double[] until = new double[perMachine];
      Arrays.fill(until, ready);
      lanes.add(until);
    }
    // All that waits may be rented for at once: a bound that grows with what is held would take
    // many rounds from nothing.
    int forAll = (int) Math.ceil(needCpus / type.cpus() / Math.max(1, type.zones().size()));
    int most = Math.max(busy, fleet.capacity(kind, Math.max(2, forAll)));
    return new MachineKindState(
        type,
        spot,
        busy,
        most,
        new HeldTaskSlots(lanes, horizon),
        up.size(),
        fleet.spotHistory().price(type, spot),
        fleet.spotHistory().reclaimProbability(kind, windowMs, WINDOWS));
  }

  /** What is silent and waited for is expected back after as long again as it has been so. */
  private double backS(Host host) {
    return host.zoneSilentMs() > 0 || host.isHanging() ? workers.silentMs(host) / 1000.0 : 0;
  }

  /** When each lane of a machine is free, from now. */
  private double[] busyUntil(Host host, double laneCpus, int perMachine) {
    double[] until = new double[perMachine];
    int used = 0;
    double services = 0;
    for (Attempt attempt : host.attempts()) {
      if (attempt.exited()) {
        continue;
      }
      if (attempt.spec().isService()) {
        services += attempt.spec().cpus();
        continue;
      }
      double left = Math.max(1, estimates.remainingRunS(attempt, host, clock.now()));
      for (long l = Math.max(1, Math.round(attempt.spec().cpus() / laneCpus));
          l > 0 && used < perMachine;
          l--) {
        until[used++] = left;
      }
    }
    for (long l = (long) Math.ceil(services / laneCpus); l > 0 && used < perMachine; l--) {
      until[used++] = HeldTaskSlots.FOR_EVER_S;
    }
    return until;
  }

  /** CPUs of all that waits and is expected. */
  private double needCpus(List<Submission> soon) {
    double sum = 0;
    for (Job job : ledger.jobs()) {
      sum += wanted(job) * job.spec().cpus();
    }
    for (Submission submission : soon) {
      sum += submission.taskCount() * submission.cpus();
    }
    return sum;
  }

  private List<DryTasks> tasks(
      List<MachineKindState> slots, List<Submission> soon, double laneCpus, double aheadS) {
    List<DryRunEntries.PendingTasks> pending = new ArrayList<>();
    for (Job job : ledger.jobs()) {
      int count = wanted(job);
      if (count > 0) {
        double age = (clock.wall() - job.acceptedWallMs()) / 1000.0;
        pending.add(new DryRunEntries.PendingTasks(job.spec(), count, slack(job.spec()) - age, 0));
      }
    }
    for (int i = 0; i < soon.size(); i++) {
      double arrives = aheadS * (i + 0.5) / soon.size();
      Submission submission = soon.get(i);
      pending.add(
          new DryRunEntries.PendingTasks(
              submission, submission.taskCount(), slack(submission) + arrives, arrives));
    }
    return new DryRunEntries(slots, laneCpus, aheadS, windowMs / 1000.0, estimates).of(pending);
  }

  private double slack(Submission submission) {
    double run = estimates.expectedRunS(submission);
    return (Double.isFinite(submission.deadlineS()) ? submission.deadlineS() : 10 * run + 60) - run;
  }

  /** The operators' budget, or a ratio to what all present work costs where it is cheapest. */
  private double budget(
      OperatorSettings operatorSettings, List<MachineKindState> slots, List<Submission> soon) {
    if (operatorSettings.budgetPerHour() > 0) {
      return operatorSettings.budgetPerHour();
    }
    double floor = slots.stream().mapToDouble(s -> s.least() * s.price()).sum();
    double demand = 0;
    for (Job job : ledger.jobs()) {
      if (!job.isOver()) {
        demand +=
            cheapest(slots, job.spec()) * job.spec().cpus() * (wanted(job) + job.heldAttempts());
      }
    }
    for (Submission s : soon) {
      demand += cheapest(slots, s) * s.cpus() * s.taskCount();
    }
    double oneMore = slots.stream().mapToDouble(MachineKindState::price).max().orElse(0);
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
