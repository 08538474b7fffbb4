package dapplestair.settings;

import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the operators' file, protobuf text format. */
public final class OperatorLoader {
  private OperatorLoader() {}

  /** Loads and checks a file. */
  public static Operator load(Path path) throws SettingsException {
    dapplestair.settings.proto.Operator.Builder in =
        dapplestair.settings.proto.Operator.newBuilder();
    try {
      TextFormat.merge(Files.readString(path), in);
    } catch (TextFormat.ParseException e) {
      throw new SettingsException(path + ": " + e.getMessage());
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    Operator d = Operator.defaults();
    return new Operator(
        in.hasPlanIntervalS()
            ? Math.round(1000 * within(path, "plan_interval_s", in.getPlanIntervalS(), 0.5, 3600))
            : d.planIntervalMs(),
        in.hasPopulation()
            ? (int) within(path, "population", in.getPopulation(), 4, 1000)
            : d.population(),
        in.hasEvaluations()
            ? (int) within(path, "evaluations", in.getEvaluations(), 4, 100_000)
            : d.evaluations(),
        in.hasBudgetPerHour()
            ? within(path, "budget_per_hour", in.getBudgetPerHour(), 0.001, 1e9)
            : d.budgetPerHour(),
        in.hasBudgetRatio()
            ? within(path, "budget_ratio", in.getBudgetRatio(), 1, 100)
            : d.budgetRatio(),
        in.hasReturnAfterRounds()
            ? (int) within(path, "return_after_rounds", in.getReturnAfterRounds(), 1, 1000)
            : d.returnAfterRounds(),
        in.hasMakespanWeight()
            ? within(path, "makespan_weight", in.getMakespanWeight(), 0, 100)
            : d.makespanWeight(),
        in.hasSpendWeight()
            ? within(path, "spend_weight", in.getSpendWeight(), 0, 100)
            : d.spendWeight(),
        in.hasRiskWeight()
            ? within(path, "risk_weight", in.getRiskWeight(), 0, 100)
            : d.riskWeight());
  }

  private static double within(Path path, String field, double v, double low, double high)
      throws SettingsException {
    if (!(v >= low && v <= high)) {
      throw new SettingsException(
          path + ": " + field + " = " + v + ": must be from " + low + " to " + high);
    }
    return v;
  }
}
