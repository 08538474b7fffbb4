package dapplestair.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Runs the search on problems whose front is known. */
class Nsga2Test {
  private record Box(int size, double low, double high, Function f) implements Nsga2.Problem {
    interface Function {
      double[] of(double[] x);
    }

    @Override
    public double[] lower() {
      return filled(low);
    }

    @Override
    public double[] upper() {
      return filled(high);
    }

    private double[] filled(double v) {
      double[] a = new double[size];
      java.util.Arrays.fill(a, v);
      return a;
    }

    @Override
    public double[] evaluate(double[] x) {
      return f.of(x);
    }
  }

  private static List<Nsga2.Individual> search(Nsga2.Problem p, int evaluations) {
    return new Nsga2(RandomSource.XO_RO_SHI_RO_128_PP.create(7), 40, evaluations)
        .search(p, List.of());
  }

  /** Minimizes x^2 and (x-2)^2, whose front is x from 0 to 2. */
  @Test
  void findsTheFrontOfTwoParabolas() {
    var front =
        search(
            new Box(1, -100, 100, x -> new double[] {x[0] * x[0], (x[0] - 2) * (x[0] - 2)}), 4000);
    for (Nsga2.Individual i : front) {
      assertTrue(
          i.variables()[0] > -0.1 && i.variables()[0] < 2.1, "off the front: " + i.variables()[0]);
    }
    double lowest = front.stream().mapToDouble(i -> i.variables()[0]).min().orElseThrow();
    double highest = front.stream().mapToDouble(i -> i.variables()[0]).max().orElseThrow();
    assertTrue(lowest < 0.2 && highest > 1.8, "only from " + lowest + " to " + highest);
  }

  /** Minimizes ZDT1 in five variables, whose front has g = 1, so f2 = 1 - sqrt(f1). */
  @Test
  void approximatesTheFrontOfZdt1() {
    var front =
        search(
            new Box(
                5,
                0,
                1,
                x -> {
                  double g = 1 + 9 * (x[1] + x[2] + x[3] + x[4]) / 4;
                  return new double[] {x[0], g * (1 - Math.sqrt(x[0] / g))};
                }),
            20_000);
    double worst =
        front.stream()
            .mapToDouble(i -> i.costs()[1] - (1 - Math.sqrt(i.costs()[0])))
            .max()
            .orElseThrow();
    assertTrue(worst < 0.1, "farthest above the front: " + worst);
    assertTrue(front.size() > 20, "only " + front.size() + " on the front");
  }

  @Test
  void dropsCandidatesThatBreakAConstraint() {
    var front = search(new Box(1, 0, 10, x -> x[0] < 4 ? null : new double[] {x[0], 1}), 1000);
    front.forEach(i -> assertTrue(i.variables()[0] >= 4));
    assertTrue(front.get(0).variables()[0] < 4.2);
  }

  @Test
  void selectsNearestToTheOriginAfterScaling() {
    // The first two costs are divided by their greatest values (100 and 1), which gives 0.2 and 1,
    // 0.5 and 0.4, 1 and 0.1. The third cost is zero on the whole front.
    List<Nsga2.Individual> front =
        List.of(
            new Nsga2.Individual(new double[] {0}, new double[] {20, 1, 0}),
            new Nsga2.Individual(new double[] {1}, new double[] {50, 0.4, 0}),
            new Nsga2.Individual(new double[] {2}, new double[] {100, 0.1, 0}));
    assertEquals(1, Nsga2.nearestOrigin(front, 1, 1, 1).variables()[0]);
    assertEquals(0, Nsga2.nearestOrigin(front, 5, 1, 1).variables()[0]);
  }

  @Test
  void ranksByDominationAndKeepsTheEnds() {
    Nsga2.Individual a = new Nsga2.Individual(new double[] {0}, new double[] {1, 3});
    Nsga2.Individual b = new Nsga2.Individual(new double[] {1}, new double[] {2, 2});
    Nsga2.Individual c = new Nsga2.Individual(new double[] {2}, new double[] {3, 1});
    Nsga2.Individual d = new Nsga2.Individual(new double[] {3}, new double[] {3, 3});
    var fronts = Nsga2.rank(List.of(a, b, c, d));
    assertEquals(List.of(a, b, c), fronts.get(0));
    assertEquals(List.of(d), fronts.get(1));
  }
}
