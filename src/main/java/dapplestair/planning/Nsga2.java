package dapplestair.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Implements the NSGA-II algorithm: binary tournament on rank and crowding distance, simulated
 * binary crossover, polynomial mutation and survival by non-dominated fronts. Individuals that
 * break a constraint are dropped.
 */
public final class Nsga2 {
  /** A problem whose costs are minimized. */
  public interface Problem {
    /** Returns the lower bound of each variable. */
    double[] lower();

    /** Returns the upper bound of each variable. */
    double[] upper();

    /** Returns the costs of a candidate, or null if it breaks a constraint. */
    double[] evaluate(double[] variables);
  }

  /** A candidate with its costs. */
  public static final class Individual {
    private final double[] variables;
    private final double[] costs;
    private int rank;
    private double crowding;

    Individual(double[] variables, double[] costs) {
      this.variables = variables;
      this.costs = costs;
    }

    /** Returns the variables of this candidate. */
    public double[] variables() {
      return variables;
    }

    /** Returns the costs of this candidate. */
    public double[] costs() {
      return costs;
    }
  }

  // Usual values of the distribution indices of the crossover and mutation operators.
  private static final double CROSSOVER_INDEX = 15;
  private static final double MUTATION_INDEX = 20;
  private static final double CROSSOVER_CHANCE = 0.9;

  private final UniformRandomProvider random;
  private final int populationSize;
  private final int maxEvaluations;
  private int evaluationsDone;

  /** Creates a search with the given population size and maximum number of evaluations. */
  public Nsga2(UniformRandomProvider random, int populationSize, int maxEvaluations) {
    this.random = random;
    this.populationSize = populationSize;
    this.maxEvaluations = maxEvaluations;
  }

  /** Searches from the given candidates and random ones, and returns the non-dominated front. */
  public List<Individual> search(Problem problem, List<double[]> seeds) {
    evaluationsDone = 0;
    List<Individual> parents = new ArrayList<>();
    for (double[] seed : seeds) {
      evaluateAndAdd(parents, problem, clip(seed.clone(), problem));
    }
    while (parents.size() < populationSize && evaluationsDone < maxEvaluations) {
      evaluateAndAdd(parents, problem, randomIn(problem));
    }
    rank(parents);
    while (evaluationsDone < maxEvaluations && parents.size() > 1) {
      List<Individual> all = new ArrayList<>(parents);
      for (int i = 0; i < populationSize && evaluationsDone < maxEvaluations; i += 2) {
        double[][] children =
            crossover(tournament(parents).variables, tournament(parents).variables, problem);
        for (double[] child : children) {
          if (evaluationsDone < maxEvaluations) {
            mutate(child, problem);
            evaluateAndAdd(all, problem, child);
          }
        }
      }
      parents = survivors(all);
    }
    return parents.stream().filter(i -> i.rank == 0).toList();
  }

  private void evaluateAndAdd(List<Individual> individuals, Problem problem, double[] variables) {
    evaluationsDone++;
    double[] costs = problem.evaluate(variables);
    if (costs != null) {
      individuals.add(new Individual(variables, costs));
    }
  }

  private double[] randomIn(Problem problem) {
    double[] variables = new double[problem.lower().length];
    for (int i = 0; i < variables.length; i++) {
      variables[i] =
          problem.lower()[i] + random.nextDouble() * (problem.upper()[i] - problem.lower()[i]);
    }
    return variables;
  }

  private static double[] clip(double[] variables, Problem problem) {
    for (int i = 0; i < variables.length; i++) {
      variables[i] = Math.max(problem.lower()[i], Math.min(problem.upper()[i], variables[i]));
    }
    return variables;
  }

  private Individual tournament(List<Individual> candidates) {
    Individual first = candidates.get(random.nextInt(candidates.size()));
    Individual second = candidates.get(random.nextInt(candidates.size()));
    if (first.rank != second.rank) {
      return first.rank < second.rank ? first : second;
    }
    return first.crowding >= second.crowding ? first : second;
  }

  private double[][] crossover(double[] parent1, double[] parent2, Problem problem) {
    double[] child1 = parent1.clone();
    double[] child2 = parent2.clone();
    if (random.nextDouble() < CROSSOVER_CHANCE) {
      for (int i = 0; i < child1.length; i++) {
        if (random.nextBoolean()) {
          double u = random.nextDouble();
          double power = 1 / (CROSSOVER_INDEX + 1);
          double beta = u <= 0.5 ? Math.pow(2 * u, power) : Math.pow(1 / (2 * (1 - u)), power);
          child1[i] = 0.5 * ((1 + beta) * parent1[i] + (1 - beta) * parent2[i]);
          child2[i] = 0.5 * ((1 - beta) * parent1[i] + (1 + beta) * parent2[i]);
        }
      }
    }
    return new double[][] {clip(child1, problem), clip(child2, problem)};
  }

  private void mutate(double[] variables, Problem problem) {
    for (int i = 0; i < variables.length; i++) {
      double range = problem.upper()[i] - problem.lower()[i];
      if (range > 0 && random.nextDouble() < 1.0 / variables.length) {
        double u = random.nextDouble();
        double power = 1 / (MUTATION_INDEX + 1);
        double delta = u < 0.5 ? Math.pow(2 * u, power) - 1 : 1 - Math.pow(2 * (1 - u), power);
        variables[i] += delta * range;
      }
    }
    clip(variables, problem);
  }

  private List<Individual> survivors(List<Individual> all) {
    List<Individual> survivors = new ArrayList<>();
    for (List<Individual> front : rank(all)) {
      if (survivors.size() + front.size() <= populationSize) {
        survivors.addAll(front);
      } else {
        List<Individual> leastCrowdedFirst = new ArrayList<>(front);
        leastCrowdedFirst.sort(
            Comparator.comparingDouble((Individual individual) -> individual.crowding).reversed());
        survivors.addAll(leastCrowdedFirst.subList(0, populationSize - survivors.size()));
        break;
      }
    }
    return survivors;
  }

  /**
   * Sorts individuals into non-dominated fronts and sets the rank and crowding distance of each.
   */
  static List<List<Individual>> rank(List<Individual> all) {
    List<List<Individual>> fronts = new ArrayList<>();
    List<Individual> remaining = new ArrayList<>(all);
    while (!remaining.isEmpty()) {
      List<Individual> front = new ArrayList<>();
      for (Individual individual : remaining) {
        if (remaining.stream().noneMatch(b -> dominates(b.costs, individual.costs))) {
          front.add(individual);
        }
      }
      for (Individual i : front) {
        i.rank = fronts.size();
      }
      setCrowding(front);
      fronts.add(front);
      remaining.removeAll(front);
    }
    return fronts;
  }

  private static void setCrowding(List<Individual> front) {
    front.forEach(i -> i.crowding = 0);
    int costCount = front.get(0).costs.length;
    for (int cost = 0; cost < costCount; cost++) {
      int costIndex = cost;
      List<Individual> sorted = new ArrayList<>(front);
      sorted.sort(Comparator.comparingDouble(i -> i.costs[costIndex]));
      Individual first = sorted.get(0);
      Individual last = sorted.get(sorted.size() - 1);
      first.crowding = Double.POSITIVE_INFINITY;
      last.crowding = Double.POSITIVE_INFINITY;
      double range = last.costs[costIndex] - first.costs[costIndex];
      for (int i = 1; i + 1 < sorted.size() && range > 0; i++) {
        sorted.get(i).crowding +=
            (sorted.get(i + 1).costs[costIndex] - sorted.get(i - 1).costs[costIndex]) / range;
      }
    }
  }

  /** Returns whether {@code a} is worse than {@code b} in no cost and better in at least one. */
  static boolean dominates(double[] a, double[] b) {
    boolean isBetter = false;
    for (int i = 0; i < a.length; i++) {
      if (a[i] > b[i]) {
        return false;
      }
      isBetter |= a[i] < b[i];
    }
    return isBetter;
  }

  /**
   * Returns the member of a front nearest the origin, after dividing each cost by its greatest
   * value on the front and multiplying it by its weight. A cost that is zero on the whole front is
   * left out.
   */
  public static Individual nearestOrigin(List<Individual> front, double... weights) {
    int costCount = front.get(0).costs.length;
    double[] greatest = new double[costCount];
    for (Individual i : front) {
      for (int m = 0; m < costCount; m++) {
        greatest[m] = Math.max(greatest[m], i.costs[m]);
      }
    }
    return front.stream()
        .min(Comparator.comparingDouble(i -> distance(i.costs, greatest, weights)))
        .orElseThrow();
  }

  /**
   * Returns the member of a front nearest the origin, but prefers {@code current}, the individual
   * in effect: another one replaces it only if it is nearer to the origin by more than the ratio
   * {@code inertia}. This keeps randomness in the search from changing the result.
   */
  static Individual nearestOrigin(
      List<Individual> front, Individual current, double inertia, double... weights) {
    List<Individual> all = new ArrayList<>(front);
    all.add(current);
    Individual best = nearestOrigin(front, weights);
    double[] greatest = new double[current.costs.length];
    for (Individual individual : all) {
      for (int m = 0; m < greatest.length; m++) {
        greatest[m] = Math.max(greatest[m], individual.costs[m]);
      }
    }
    boolean keepsCurrent =
        distance(current.costs, greatest, weights)
            <= (1 + inertia) * distance(best.costs, greatest, weights);
    return keepsCurrent ? current : best;
  }

  private static double distance(double[] costs, double[] greatest, double[] weights) {
    double sum = 0;
    for (int m = 0; m < costs.length; m++) {
      if (greatest[m] > 0) {
        double weighted = weights[m] * costs[m] / greatest[m];
        sum += weighted * weighted;
      }
    }
    return Math.sqrt(sum);
  }
}
