package dapplestair.settings;

import com.google.common.net.InetAddresses;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the operators' file, protobuf text format. */
public final class OperatorSettingsLoader {
  private OperatorSettingsLoader() {}

  /** Loads and checks a file. */
  public static OperatorSettings load(Path path) throws SettingsException {
    dapplestair.settings.proto.Operator.Builder in =
        dapplestair.settings.proto.Operator.newBuilder();
    try {
      TextFormat.merge(Files.readString(path), in);
    } catch (TextFormat.ParseException e) {
      throw new SettingsException(path + ": " + e.getMessage());
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    OperatorSettings operatorSettings = OperatorSettings.defaults();
    return new OperatorSettings(
        in.hasPlanIntervalS()
            ? Math.round(1000 * within(path, "plan_interval_s", in.getPlanIntervalS(), 0.5, 3600))
            : operatorSettings.planIntervalMs(),
        in.hasPopulation()
            ? (int) within(path, "population", in.getPopulation(), 4, 1000)
            : operatorSettings.population(),
        in.hasEvaluations()
            ? (int) within(path, "evaluations", in.getEvaluations(), 4, 100_000)
            : operatorSettings.evaluations(),
        in.hasBudgetPerHour()
            ? within(path, "budget_per_hour", in.getBudgetPerHour(), 0.001, 1e9)
            : operatorSettings.budgetPerHour(),
        in.hasBudgetRatio()
            ? within(path, "budget_ratio", in.getBudgetRatio(), 1, 100)
            : operatorSettings.budgetRatio(),
        in.hasReturnAfterRounds()
            ? (int) within(path, "return_after_rounds", in.getReturnAfterRounds(), 1, 1000)
            : operatorSettings.returnAfterRounds(),
        in.hasMakespanWeight()
            ? within(path, "makespan_weight", in.getMakespanWeight(), 0, 100)
            : operatorSettings.makespanWeight(),
        in.hasSpendWeight()
            ? within(path, "spend_weight", in.getSpendWeight(), 0, 100)
            : operatorSettings.spendWeight(),
        in.hasRiskWeight()
            ? within(path, "risk_weight", in.getRiskWeight(), 0, 100)
            : operatorSettings.riskWeight(),
        in.hasBeginWithinS()
            ? Math.round(1000 * within(path, "begin_within_s", in.getBeginWithinS(), 10, 86_400))
            : operatorSettings.beginWithinMs(),
        in.hasRelayAbove()
            ? within(path, "relay_above", in.getRelayAbove(), 0, 100)
            : operatorSettings.relayAbove(),
        LanesLoader.read(path, in.getLaneList()),
        CalendarsLoader.read(path, in.getCalendarList()),
        DisruptionBudgetsLoader.read(path, in.getDisruptionList()),
        in.hasAdmin() ? admin(path, in.getAdmin()) : null);
  }

  private static OperatorSettings.Admin admin(Path path, dapplestair.settings.proto.Admin in)
      throws SettingsException {
    Settings.Address listen = Settings.Address.parse(in.getListen());
    if (listen == null) {
      throw new SettingsException(
          path + ": admin.listen = \"" + in.getListen() + "\": must be host:port");
    }
    int most =
        in.hasMostConnections()
            ? (int) within(path, "admin.most_connections", in.getMostConnections(), 1, 10_000)
            : OperatorSettings.MOST_CONNECTIONS;
    OperatorSettings.Tls tls = null;
    if (in.hasTls()) {
      tls =
          new OperatorSettings.Tls(
              file(path, "admin.tls.certificate", in.getTls().getCertificate()),
              file(path, "admin.tls.key", in.getTls().getKey()),
              file(path, "admin.tls.authority", in.getTls().getAuthority()));
    }
    OperatorSettings.Admin admin =
        new OperatorSettings.Admin(
            listen, most, in.hasTokens() ? file(path, "admin.tokens", in.getTokens()) : null, tls);
    check(admin);
    return admin;
  }

  /** Plain HTTP is for this machine only. */
  public static void check(OperatorSettings.Admin admin) throws SettingsException {
    if (admin.tls() == null && !loopback(admin.listen())) {
      throw new SettingsException(
          "admin.listen = " + admin.listen() + ": without admin.tls only an address on loopback");
    }
  }

  /** True for 127.0.0.0/8 and ::1; names are not looked up, except the usual one. */
  static boolean loopback(Settings.Address address) {
    return address.host().equals("localhost")
        || InetAddresses.isInetAddress(address.host())
            && InetAddresses.forString(address.host()).isLoopbackAddress();
  }

  /** A file named in the operators' file: relative to where that lies. */
  private static Path file(Path path, String field, String name) throws SettingsException {
    if (name.isEmpty()) {
      throw new SettingsException(path + ": " + field + ": missing");
    }
    Path file = path.toAbsolutePath().getParent().resolve(name);
    if (!Files.isReadable(file)) {
      throw new SettingsException(path + ": " + field + " = \"" + name + "\": cannot be read");
    }
    return file;
  }

  static double within(Path path, String field, double v, double low, double high)
      throws SettingsException {
    if (!(v >= low && v <= high)) {
      throw new SettingsException(
          path + ": " + field + " = " + v + ": must be from " + low + " to " + high);
    }
    return v;
  }
}
