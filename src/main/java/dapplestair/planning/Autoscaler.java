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
 * The autoscaler: at a steady interval it searches for plans, takes the one nearest the origin,
 * records it, rents what it holds beyond the fleet, and returns machines only after several rounds
 * wanting fewer.
 */
public final class Autoscaler implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

  // Of what waits; where the search begins, so that the front spans the same costs each time.
  private static final double[] SHARES = {0.25, 0.5, 0.75, 1};

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
  private final Map<MachineKind, Integer> fewer = new HashMap<>();
  private Map<MachineKind, Integer> plan = Map.of();
  private AppliedPlan applied;
  private ObjectNode lastWritten;
  private boolean writing;
  private ToIntFunction<MachineKind> beyond = s -> 0;
  private Cancellable timer = () -> {};
  private long roundAt;
  private boolean extra;
  private int generation;

  /** Plans for what {@code demand} sees. */
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
    this.zoneDemand = demand.inOneZone();
  }

  /**
   * The plan applied last, with its three costs.
   *
   * @param counts machines wanted, by slot
   * @param makespanS mean makespan of the jobs in the dry run, or NaN when the search found no plan
   * @param perHour what it costs an hour
   * @param risk spot CPUs times the chance that they are taken back
   * @param budgetPerHour most that a plan might cost
   * @param front plans on the front that it was chosen from
   * @param at when it was chosen, steady time
   */
  public record AppliedPlan(
      Map<MachineKind, Integer> counts,
      double makespanS,
      double perHour,
      double risk,
      double budgetPerHour,
      int front,
      long at) {}

  /** The plan applied last, or null. */
  public AppliedPlan applied() {
    return applied;
  }

  /** How many machines of a slot are held beyond the plan while others are replaced. */
  public void beyond(ToIntFunction<MachineKind> extra) {
    beyond = extra;
  }

  /** Machines of a slot that are or will be of use. */
  public int holding(MachineKind kind) {
    return fleet.heldOrPendingCount(kind);
  }

  /** Begins. */
  public void lead() {
    generation++;
    round();
  }

  /**
   * Room was lost: the next round comes soon, once for all that is lost at about the same moment,
   * and not when its turn would be.
   */
  public void soon() {
    long early = operatorSettings.planIntervalMs() / 10;
    if (leadership.isLeading() && roundAt - clock.now() > early) {
      timer.cancel();
      roundIn(early);
      extra = true;
    }
  }

  private void roundIn(long ms) {
    roundAt = clock.now() + ms;
    timer = timers.after(ms, this::round);
  }

  /** Stops. */
  public void clear() {
    generation++;
    timer.cancel();
    extra = false;
    fewer.clear();
    zoneDemand.clear();
    plan = Map.of();
    applied = null;
    lastWritten = null;
    writing = false;
  }

  private void round() {
    if (!demand.ready() || !types.isLoaded()) {
      // Nothing can be planned yet: look again soon rather than a whole round later.
      roundIn(operatorSettings.planIntervalMs() / 10);
      return;
    }
    roundIn(operatorSettings.planIntervalMs());
    FleetProblem problem = demand.problem(operatorSettings);
    Nsga2 search = new Nsga2(random, operatorSettings.population(), operatorSettings.evaluations());
    List<double[]> seeds = new ArrayList<>(List.of(problem.lower(), held(problem)));
    addShares(problem, seeds);
    double[] last = last(problem);
    if (last != null) {
      seeds.add(last);
    }
    int planned = generation;
    boolean only = extra;
    extra = false;
    PlanSelector choice = new PlanSelector(operatorSettings, demand.pressure());
    background.compute(
        () -> best(search, problem, seeds, last, choice),
        chosen -> {
          if (planned == generation && leadership.isLeading()) {
            apply(problem, chosen, only);
          }
        });
  }

  private double[] held(FleetProblem problem) {
    return problem.slots().stream()
        .mapToDouble(s -> fleet.heldOrPendingCount(new MachineKind(s.type().name(), s.spot())))
        .toArray();
  }

  static void addShares(FleetProblem problem, List<double[]> seeds) {
    for (double share : SHARES) {
      seeds.add(problem.toward(share));
    }
  }

  /** The plan applied last, within the bounds of now; null when there is none. */
  private double[] last(FleetProblem problem) {
    if (plan.isEmpty()) {
      return null;
    }
    double[] x = problem.lower();
    double[] upper = problem.upper();
    for (int i = 0; i < x.length; i++) {
      FleetProblem.MachineKindState kind = problem.slots().get(i);
      int wanted = plan.getOrDefault(new MachineKind(kind.type().name(), kind.spot()), 0);
      x[i] = Math.max(x[i], Math.min(upper[i], wanted));
    }
    return x;
  }

  private static Nsga2.Individual standing(FleetProblem problem, double[] last) {
    double[] costs = last == null ? null : problem.evaluate(last);
    return costs == null ? null : new Nsga2.Individual(last, costs);
  }

  private record ChosenPlan(int[] counts, double[] costs, int front) {}

  private static ChosenPlan best(
      Nsga2 search,
      FleetProblem problem,
      List<double[]> seeds,
      double[] last,
      PlanSelector choice) {
    List<Nsga2.Individual> front = search.search(problem, seeds);
    if (front.isEmpty()) {
      double[] unknown = {Double.NaN, Double.NaN, Double.NaN};
      return new ChosenPlan(FleetProblem.counts(problem.lower()), unknown, 0);
    }
    Nsga2.Individual nearest = choice.of(front, standing(problem, last));
    int[] counts = FleetProblem.counts(nearest.variables());
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "search: counts {} between {} and {}, makespan {} s of {} to {} s on a front of {}",
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

  private void apply(FleetProblem problem, ChosenPlan chosen, boolean extraRound) {
    int[] counts = chosen.counts();
    Map<MachineKind, Integer> next = new LinkedHashMap<>();
    for (int i = 0; i < counts.length; i++) {
      FleetProblem.MachineKindState s = problem.slots().get(i);
      next.put(new MachineKind(s.type().name(), s.spot()), counts[i]);
    }
    if (!next.equals(plan)) {
      LOG.debug("plan {}", next);
    }
    plan = next;
    double[] costs = chosen.costs();
    applied =
        new AppliedPlan(
            next, costs[0], costs[1], costs[2], problem.budget(), chosen.front(), clock.now());
    record();
    zoneDemand.shortages().forEach(this::rentInZone);
    next.forEach((slot, want) -> steer(slot, want, extraRound));
  }

  /**
   * What the plan rents anyway is rented first where alone a job may run. A job that lacks its room
   * for longer than a machine boots gets it beyond the plan: without this an array of one zone
   * waited for ever beside machines that stood idle in the others (ZoneBoundTest).
   */
  private void rentInZone(ZoneDemand.Shortage lack) {
    int wanted = plan.getOrDefault(lack.kind(), 0) - fleet.heldOrPendingCount(lack.kind());
    int most = lack.overdue() ? lack.machines() : Math.min(lack.machines(), wanted);
    fleet.rentIn(lack.kind(), lack.zone(), most);
  }

  private void steer(MachineKind kind, int planned, boolean extraRound) {
    // Machines that are being replaced: the plan's counts stay as they are.
    int want = Math.max(0, planned + beyond.applyAsInt(kind));
    int have = fleet.heldOrPendingCount(kind);
    if (want >= have) {
      fewer.remove(kind);
      fleet.cordon(kind, 0, zoneDemand::waitsFor);
      if (want > have) {
        fleet.rent(kind, want - have);
      }
      return;
    }
    if (extraRound) {
      // Delayed return counts rounds at a steady interval.
      return;
    }
    int rounds = fewer.merge(kind, 1, Integer::sum);
    if (rounds >= operatorSettings.returnAfterRounds() / 2) {
      fleet.cordon(kind, have - want, zoneDemand::waitsFor);
    }
    if (rounds >= timeouts(kind)) {
      List<Host> idle = fleet.returnable(kind);
      idle.stream().limit(have - want).forEach(fleet::release);
    }
  }

  /**
   * Rounds before an idle machine is returned: at least as many as the operators say, and as long
   * as the next one would take to boot, since until then keeping it costs less than what replaces
   * it.
   */
  private int timeouts(MachineKind kind) {
    double bootMs = 1000 * types.get(kind.type()).bootS();
    return Math.max(
        operatorSettings.returnAfterRounds(),
        (int) Math.ceil(bootMs / operatorSettings.planIntervalMs()));
  }

  /** The plan is one value in the state service, written when it changes. */
  private void record() {
    ObjectNode value = Json.object().put("term", leadership.term());
    ArrayNode counts = value.putArray("machines");
    plan.forEach(
        (slot, n) ->
            counts.addObject().put("type", slot.type()).put("spot", slot.spot()).put("count", n));
    if (writing || value.equals(lastWritten)) {
      return;
    }
    writing = true;
    int written = generation;
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
          if (written != generation) {
            return;
          }
          writing = false;
          if (outcome instanceof TxnOutcome.Applied) {
            lastWritten = value;
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
