package dapplestair.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/* * Implements the NSGA-II algorithm: binary tournament on rank and crowding distance, simulated
 * binary crossover, polynomial mutation and survival by non-dominated fronts. Individuals that break
 * a constraint are dropped.
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
  private final int population;
  private final int evaluations;
  private int spent;

  /** Creates a search with the given population size and maximum number of evaluations. */
  public Nsga2(UniformRandomProvider random, int population, int evaluations) {
    this.random = random;
    this.population = population;
    this.evaluations = evaluations;
  }

  /** Searches from the given candidates and random ones, and returns the non-dominated front. */
  public List<Individual> search(Problem problem, List<double[]> seeds) {
    spent = 0;
    List<Individual> parents = new ArrayList<>();
    for (double[] seed : seeds) {
      add(parents, problem, clip(seed.clone(), problem));
    }
    while (parents.size() < population && spent < evaluations) {
      add(parents, problem, randomIn(problem));
    }
    rank(parents);
    while (spent < evaluations && parents.size() > 1) {
      List<Individual> all = new ArrayList<>(parents);
      for (int i = 0; i < population && spent < evaluations; i += 2) {
        double[][] children =
            crossover(tournament(parents).variables, tournament(parents).variables, problem);
        for (double[] child : children) {
          if (spent < evaluations) {
            mutate(child, problem);
            add(all, problem, child);
          }
        }
      }
      parents = survivors(all);
    }
    return parents.stream().filter(i -> i.rank == 0).toList();
  }

  private void add(List<Individual> to, Problem problem, double[] x) {
    spent++;
    double[] costs = problem.evaluate(x);
    if (costs != null) {
      to.add(new Individual(x, costs));
    }
  }

  private double[] randomIn(Problem problem) {
    double[] x = new double[problem.lower().length];
    for (int i = 0; i < x.length; i++) {
      x[i] = problem.lower()[i] + random.nextDouble() * (problem.upper()[i] - problem.lower()[i]);
    }
    return x;
  }

  private static double[] clip(double[] x, Problem problem) {
    for (int i = 0; i < x.length; i++) {
      x[i] = Math.max(problem.lower()[i], Math.min(problem.upper()[i], x[i]));
    }
    return x;
  }

  private Individual tournament(List<Individual> from) {
    Individual individual = from.get(random.nextInt(from.size()));
    Individual b = from.get(random.nextInt(from.size()));
    if (individual.rank != b.rank) {
      return individual.rank < b.rank ? individual : b;
    }
    return individual.crowding >= b.crowding ? individual : b;
  }

  private double[][] crossover(double[] a, double[] b, Problem problem) {
    double[] c = a.clone();
    double[] d = b.clone();
    if (random.nextDouble() < CROSSOVER_CHANCE) {
      for (int i = 0; i < c.length; i++) {
        if (random.nextBoolean()) {
          double u = random.nextDouble();
          double power = 1 / (CROSSOVER_INDEX + 1);
          double beta = u <= 0.5 ? Math.pow(2 * u, power) : Math.pow(1 / (2 * (1 - u)), power);
          c[i] = 0.5 * ((1 + beta) * a[i] + (1 - beta) * b[i]);
          d[i] = 0.5 * ((1 - beta) * a[i] + (1 + beta) * b[i]);
        }
      }
    }
    return new double[][] {clip(c, problem), clip(d, problem)};
  }

  private void mutate(double[] x, Problem problem) {
    for (int i = 0; i < x.length; i++) {
      double range = problem.upper()[i] - problem.lower()[i];
      if (range > 0 && random.nextDouble() < 1.0 / x.length) {
        double u = random.nextDouble();
        double power = 1 / (MUTATION_INDEX + 1);
        double delta = u < 0.5 ? Math.pow(2 * u, power) - 1 : 1 - Math.pow(2 * (1 - u), power);
        x[i] += delta * range;
      }
    }
    clip(x, problem);
  }

  private List<Individual> survivors(List<Individual> all) {
    List<Individual> out = new ArrayList<>();
    for (List<Individual> front : rank(all)) {
      if (out.size() + front.size() <= population) {
        out.addAll(front);
      } else {
        List<Individual> spread = new ArrayList<>(front);
        spread.sort(
            Comparator.comparingDouble((Individual individual) -> individual.crowding).reversed());
        out.addAll(spread.subList(0, population - out.size()));
        break;
      }
    }
    return out;
  }

  /**
   * Sorts individuals into non-dominated fronts and sets the rank and crowding distance of each.
   */
  static List<List<Individual>> rank(List<Individual> all) {
    List<List<Individual>> fronts = new ArrayList<>();
    List<Individual> left = new ArrayList<>(all);
    while (!left.isEmpty()) {
      List<Individual> front = new ArrayList<>();
      for (Individual individual : left) {
        if (left.stream().noneMatch(b -> dominates(b.costs, individual.costs))) {
          front.add(individual);
        }
      }
      for (Individual i : front) {
        i.rank = fronts.size();
      }
      crowd(front);
      fronts.add(front);
      left.removeAll(front);
    }
    return fronts;
  }

  private static void crowd(List<Individual> front) {
    front.forEach(i -> i.crowding = 0);
    int costs = front.get(0).costs.length;
    for (int m = 0; m < costs; m++) {
      int k = m;
      List<Individual> sorted = new ArrayList<>(front);
      sorted.sort(Comparator.comparingDouble(i -> i.costs[k]));
      Individual first = sorted.get(0);
      Individual last = sorted.get(sorted.size() - 1);
      first.crowding = Double.POSITIVE_INFINITY;
      last.crowding = Double.POSITIVE_INFINITY;
      double range = last.costs[k] - first.costs[k];
      for (int i = 1; i + 1 < sorted.size() && range > 0; i++) {
        sorted.get(i).crowding += (sorted.get(i + 1).costs[k] - sorted.get(i - 1).costs[k]) / range;
      }
    }
  }

  /** Returns whether {@code a} is worse than {@code b} in no cost and better in at least one. */
  static boolean dominates(double[] a, double[] b) {
    boolean better = false;
    for (int i = 0; i < a.length; i++) {
      if (a[i] > b[i]) {
        return false;
      }
      better |= a[i] < b[i];
    }
    return better;
  }

  /*   * Returns the member of a front nearest the origin, after dividing each cost by its greatest value
   * on the front and multiplying it by its weight. A cost that is zero on the whole front is left
   * out.
   */
  public static Individual nearestOrigin(List<Individual> front, double... weights) {
    int costs = front.get(0).costs.length;
    double[] greatest = new double[costs];
    for (Individual i : front) {
      for (int m = 0; m < costs; m++) {
        greatest[m] = Math.max(greatest[m], i.costs[m]);
      }
    }
    return front.stream()
        .min(Comparator.comparingDouble(i -> distance(i.costs, greatest, weights)))
        .orElseThrow();
  }

  /*   * Returns the member of a front nearest the origin, but prefers {@code current}, the individual in
   * effect: another one replaces it only if it is nearer to the origin by more than the ratio {@code
   * inertia}. This keeps randomness in the search from changing the result.
   */
  static Individual nearestOrigin(
      List<Individual> front, Individual standing, double inertia, double... weights) {
    List<Individual> all = new ArrayList<>(front);
    all.add(standing);
    Individual best = nearestOrigin(front, weights);
    double[] greatest = new double[standing.costs.length];
    for (Individual individual : all) {
      for (int m = 0; m < greatest.length; m++) {
        greatest[m] = Math.max(greatest[m], individual.costs[m]);
      }
    }
    boolean stays =
        distance(standing.costs, greatest, weights)
            <= (1 + inertia) * distance(best.costs, greatest, weights);
    return stays ? standing : best;
  }

  private static double distance(double[] costs, double[] greatest, double[] weights) {
    double sum = 0;
    for (int m = 0; m < costs.length; m++) {
      if (greatest[m] > 0) {
        double c = weights[m] * costs[m] / greatest[m];
        sum += c * c;
      }
    }
    return Math.sqrt(sum);
  }
}
