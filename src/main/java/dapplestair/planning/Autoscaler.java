package dapplestair.planning;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.fleet.Fleet;
import dapplestair.fleet.MachineKind;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.OperatorSettings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Searches at a fixed interval for plans of how many machines to hold, applies the plan nearest the
 * origin of the cost space, records it and rents the machines that the fleet lacks. Machines are
 * returned only after several consecutive rounds in which the plan wants fewer.
 */
public final class Autoscaler implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

  // Shares of the waiting work for which the initial candidates of the search have capacity. These
  // fixed starting points make the front span the same costs in each round.
  private static final double[] SEED_SHARES = {0.25, 0.5, 0.75, 1};

  private final Clock clock;
  private final TermTimers timers;
  private final BackgroundExecutor background;
  private final UniformRandomProvider random;
  private final OperatorSettings operatorSettings;
  private final Leadership leadership;
  private final StateClient state;
  private final Replica replica;
  private final Fleet fleet;
  private final MachineTypes types;
  private final DemandView demand;
  private final ZoneDemand zoneDemand;
  private final Map<MachineKind, Integer> roundsWantingFewer = new HashMap<>();
  private Map<MachineKind, Integer> plan = Map.of();
  private AppliedPlan appliedPlan;
  private ObjectNode lastRecordedValue;
  private boolean recordInFlight;
  private ToIntFunction<MachineKind> surgeMachines = s -> 0;
  private Cancellable timer = () -> {};
  private long nextRoundAtMs;
  private boolean earlyRound;
  private int generation;

  /** Creates an autoscaler that plans for the demand reported by {@code demand}. */
  public Autoscaler(
      Clock clock,
      TermTimers timers,
      BackgroundExecutor background,
      UniformRandomProvider random,
      OperatorSettings operatorSettings,
      Leadership leadership,
      StateClient state,
      Replica replica,
      Fleet fleet,
      MachineTypes types,
      DemandView demand) {
    this.clock = clock;
    this.timers = timers;
    this.background = background;
    this.random = random;
    this.operatorSettings = operatorSettings;
    this.leadership = leadership;
    this.state = state;
    this.replica = replica;
    this.fleet = fleet;
    this.types = types;
    this.demand = demand;
    this.zoneDemand = demand.zoneDemand();
  }

  /**
   * The plan applied last, with its three costs.
   *
   * @param counts number of machines wanted, by machine kind
   * @param makespanS mean makespan of the jobs in the dry run, or NaN when the search found no plan
   * @param costPerHour cost of the plan per hour
   * @param risk spot CPUs times the probability that the cloud reclaims them
   * @param budgetPerHour maximum cost per hour that a plan was allowed to have
   * @param frontSize number of plans on the front from which this plan was selected
   * @param appliedAtMs monotonic time at which the plan was applied
   */
  public record AppliedPlan(
      Map<MachineKind, Integer> counts,
      double makespanS,
      double costPerHour,
      double risk,
      double budgetPerHour,
      int frontSize,
      long appliedAtMs) {}

  /** Returns the plan applied last, or null if there is none. */
  public AppliedPlan appliedPlan() {
    return appliedPlan;
  }

  /**
   * Sets the function that returns how many machines of a kind are held in addition to the plan
   * while machines are being replaced.
   */
  public void setSurgeMachines(ToIntFunction<MachineKind> surgeCount) {
    surgeMachines = surgeCount;
  }

  /** Returns the number of machines of a kind that are usable now or will be soon. */
  public int heldOrPendingCount(MachineKind kind) {
    return fleet.heldOrPendingCount(kind);
  }

  /** Starts planning when this controller becomes the leader. */
  public void lead() {
    generation++;
    runRound();
  }

  /**
   * Brings the next round forward because capacity was lost. Losses that occur at about the same
   * time share one early round.
   */
  public void scheduleEarlyRound() {
    long earlyDelayMs = operatorSettings.planIntervalMs() / 10;
    if (leadership.isLeading() && nextRoundAtMs - clock.now() > earlyDelayMs) {
      timer.cancel();
      scheduleRound(earlyDelayMs);
      earlyRound = true;
    }
  }

  private void scheduleRound(long delayMs) {
    nextRoundAtMs = clock.now() + delayMs;
    timer = timers.after(delayMs, this::runRound);
  }

  /** Stops planning and forgets the plan when this controller ceases to lead. */
  public void clear() {
    generation++;
    timer.cancel();
    earlyRound = false;
    roundsWantingFewer.clear();
    zoneDemand.clear();
    plan = Map.of();
    appliedPlan = null;
    lastRecordedValue = null;
    recordInFlight = false;
  }

  private void runRound() {
    if (!demand.isReady() || !types.isLoaded()) {
      // The ledger or the machine types are not loaded yet, so nothing can be planned. Retry soon
      // instead of waiting for a whole interval.
      scheduleRound(operatorSettings.planIntervalMs() / 10);
      return;
    }
    scheduleRound(operatorSettings.planIntervalMs());
    FleetProblem problem = demand.problem(operatorSettings);
    Nsga2 search = new Nsga2(random, operatorSettings.population(), operatorSettings.evaluations());
    List<double[]> seeds = new ArrayList<>(List.of(problem.lower(), heldCounts(problem)));
    addShareSeeds(problem, seeds);
    double[] lastPlan = clippedLastPlan(problem);
    if (lastPlan != null) {
      seeds.add(lastPlan);
    }
    int generationAtStart = generation;
    boolean isEarlyRound = earlyRound;
    earlyRound = false;
    PlanSelector selector = new PlanSelector(operatorSettings, demand.pressure());
    background.compute(
        () -> searchBestPlan(search, problem, seeds, lastPlan, selector),
        chosen -> {
          if (generationAtStart == generation && leadership.isLeading()) {
            apply(problem, chosen, isEarlyRound);
          }
        });
  }

  private double[] heldCounts(FleetProblem problem) {
    return problem.machineKinds().stream()
        .mapToDouble(s -> fleet.heldOrPendingCount(new MachineKind(s.type().name(), s.spot())))
        .toArray();
  }

  static void addShareSeeds(FleetProblem problem, List<double[]> seeds) {
    for (double share : SEED_SHARES) {
      seeds.add(problem.seedForShare(share));
    }
  }

  /**
   * Returns the plan applied last, clipped to the current bounds, or null if there is no such plan.
   */
  private double[] clippedLastPlan(FleetProblem problem) {
    if (plan.isEmpty()) {
      return null;
    }
    double[] counts = problem.lower();
    double[] upper = problem.upper();
    for (int i = 0; i < counts.length; i++) {
      FleetProblem.MachineKindState kind = problem.machineKinds().get(i);
      int wantedCount = plan.getOrDefault(new MachineKind(kind.type().name(), kind.spot()), 0);
      counts[i] = Math.max(counts[i], Math.min(upper[i], wantedCount));
    }
    return counts;
  }

  private static Nsga2.Individual currentIndividual(FleetProblem problem, double[] lastPlan) {
    double[] costs = lastPlan == null ? null : problem.evaluate(lastPlan);
    return costs == null ? null : new Nsga2.Individual(lastPlan, costs);
  }

  private record ChosenPlan(int[] counts, double[] costs, int frontSize) {}

  private static ChosenPlan searchBestPlan(
      Nsga2 search,
      FleetProblem problem,
      List<double[]> seeds,
      double[] lastPlan,
      PlanSelector selector) {
    List<Nsga2.Individual> front = search.search(problem, seeds);
    if (front.isEmpty()) {
      double[] unknown = {Double.NaN, Double.NaN, Double.NaN};
      return new ChosenPlan(FleetProblem.roundToCounts(problem.lower()), unknown, 0);
    }
    Nsga2.Individual nearest = selector.select(front, currentIndividual(problem, lastPlan));
    int[] counts = FleetProblem.roundToCounts(nearest.variables());
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "plan search selected machine counts {} between {} and {}, with a makespan of {} s; the"
              + " front has makespans from {} s to {} s in {} plans",
          counts,
          problem.lower(),
          problem.upper(),
          Math.round(nearest.costs()[0]),
          Math.round(front.stream().mapToDouble(i -> i.costs()[0]).min().orElse(0)),
          Math.round(front.stream().mapToDouble(i -> i.costs()[0]).max().orElse(0)),
          front.size());
    }
    return new ChosenPlan(counts, nearest.costs(), front.size());
  }

  private void apply(FleetProblem problem, ChosenPlan chosen, boolean isEarlyRound) {
    int[] counts = chosen.counts();
    Map<MachineKind, Integer> nextPlan = new LinkedHashMap<>();
    for (int i = 0; i < counts.length; i++) {
      FleetProblem.MachineKindState kind = problem.machineKinds().get(i);
      nextPlan.put(new MachineKind(kind.type().name(), kind.spot()), counts[i]);
    }
    if (!nextPlan.equals(plan)) {
      LOG.debug("autoscaler plan changed; machines wanted by kind: {}", nextPlan);
    }
    plan = nextPlan;
    double[] costs = chosen.costs();
    appliedPlan =
        new AppliedPlan(
            nextPlan,
            costs[0],
            costs[1],
            costs[2],
            problem.budgetPerHour(),
            chosen.frontSize(),
            clock.now());
    recordPlan();
    zoneDemand.shortages().forEach(this::rentInZone);
    nextPlan.forEach((kind, plannedCount) -> adjustFleet(kind, plannedCount, isEarlyRound));
  }

  /**
   * Rents machines in the only zone in which some waiting job may run. Machines that the plan rents
   * anyway are rented there first. A job that has lacked capacity for longer than a machine takes
   * to boot gets machines in addition to the plan: without this, an array restricted to one zone
   * waited forever while machines in the other zones stood idle (ZoneBoundTest).
   */
  private void rentInZone(ZoneDemand.Shortage shortage) {
    int missingCount =
        plan.getOrDefault(shortage.kind(), 0) - fleet.heldOrPendingCount(shortage.kind());
    int maxCount =
        shortage.overdue()
            ? shortage.machineCount()
            : Math.min(shortage.machineCount(), missingCount);
    fleet.rentIn(shortage.kind(), shortage.zone(), maxCount);
  }

  private void adjustFleet(MachineKind kind, int plannedCount, boolean isEarlyRound) {
    // Surge machines of a replacement are added here, so that the plan's own counts stay unchanged.
    int wantedCount = Math.max(0, plannedCount + surgeMachines.applyAsInt(kind));
    int heldCount = fleet.heldOrPendingCount(kind);
    if (wantedCount >= heldCount) {
      roundsWantingFewer.remove(kind);
      fleet.cordon(kind, 0, zoneDemand::hasDemandIn);
      if (wantedCount > heldCount) {
        fleet.rent(kind, wantedCount - heldCount);
      }
      return;
    }
    if (isEarlyRound) {
      // An early round is not counted: the delay before a return is a number of rounds at the
      // regular interval.
      return;
    }
    int rounds = roundsWantingFewer.merge(kind, 1, Integer::sum);
    if (rounds >= operatorSettings.returnAfterRounds() / 2) {
      fleet.cordon(kind, heldCount - wantedCount, zoneDemand::hasDemandIn);
    }
    if (rounds >= roundsBeforeReturn(kind)) {
      List<Host> idle = fleet.returnable(kind);
      idle.stream().limit(heldCount - wantedCount).forEach(fleet::release);
    }
  }

  /**
   * Returns the number of rounds before an idle machine is returned. It is at least the number that
   * the operators set, and covers at least the boot time of a new machine, because up to then
   * keeping the idle machine costs less than renting its successor.
   */
  private int roundsBeforeReturn(MachineKind kind) {
    double bootMs = 1000 * types.get(kind.type()).bootS();
    return Math.max(
        operatorSettings.returnAfterRounds(),
        (int) Math.ceil(bootMs / operatorSettings.planIntervalMs()));
  }

  /** Records the plan, a single value in the state service, if it has changed. */
  private void recordPlan() {
    ObjectNode value = Json.object().put("term", leadership.term());
    ArrayNode counts = value.putArray("machines");
    plan.forEach(
        (kind, count) ->
            counts
                .addObject()
                .put("type", kind.type())
                .put("spot", kind.spot())
                .put("count", count));
    if (recordInFlight || value.equals(lastRecordedValue)) {
      return;
    }
    recordInFlight = true;
    int generationAtCommit = generation;
    Txn txn =
        leadership
            .guard(new Txn())
            .when(StateKeys.PLAN, replica.stamp(StateKeys.PLAN))
            .put(StateKeys.PLAN, value);
    state.commit(
        txn,
        Priority.BOOKKEEPING,
        operatorSettings.planIntervalMs(),
        outcome -> {
          if (generationAtCommit != generation) {
            return;
          }
          recordInFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            lastRecordedValue = value;
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
        });
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
