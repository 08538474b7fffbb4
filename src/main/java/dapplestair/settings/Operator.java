package dapplestair.settings;

/** Operators' own choices, with the values that hold when nothing is said. */
public record Operator(
    long planIntervalMs,
    int population,
    int evaluations,
    double budgetPerHour,
    double budgetRatio,
    int returnAfterRounds,
    double makespanWeight,
    double spendWeight,
    double riskWeight) {

  /** What holds without an operator file. */
  public static Operator defaults() {
    return new Operator(3_000, 20, 300, 0, 2.5, 4, 1.3, 1, 0.5);
  }
}
