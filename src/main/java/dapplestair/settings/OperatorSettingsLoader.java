package dapplestair.settings;

import com.google.common.net.InetAddresses;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the operators' file, which is in protobuf text format. */
public final class OperatorSettingsLoader {
  private OperatorSettingsLoader() {}

  /** Loads and validates a file. */
  public static OperatorSettings load(Path path) throws SettingsException {
    dapplestair.settings.proto.Operator.Builder proto =
        dapplestair.settings.proto.Operator.newBuilder();
    try {
      TextFormat.merge(Files.readString(path), proto);
    } catch (TextFormat.ParseException e) {
      throw new SettingsException(path + ": " + e.getMessage());
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    OperatorSettings defaults = OperatorSettings.defaults();
    return new OperatorSettings(
        proto.hasPlanIntervalS()
            ? Math.round(
                1000 * requireWithin(path, "plan_interval_s", proto.getPlanIntervalS(), 0.5, 3600))
            : defaults.planIntervalMs(),
        proto.hasPopulation()
            ? (int) requireWithin(path, "population", proto.getPopulation(), 4, 1000)
            : defaults.population(),
        proto.hasEvaluations()
            ? (int) requireWithin(path, "evaluations", proto.getEvaluations(), 4, 100_000)
            : defaults.evaluations(),
        proto.hasBudgetPerHour()
            ? requireWithin(path, "budget_per_hour", proto.getBudgetPerHour(), 0.001, 1e9)
            : defaults.budgetPerHour(),
        proto.hasBudgetRatio()
            ? requireWithin(path, "budget_ratio", proto.getBudgetRatio(), 1, 100)
            : defaults.budgetRatio(),
        proto.hasReturnAfterRounds()
            ? (int)
                requireWithin(path, "return_after_rounds", proto.getReturnAfterRounds(), 1, 1000)
            : defaults.returnAfterRounds(),
        proto.hasMakespanWeight()
            ? requireWithin(path, "makespan_weight", proto.getMakespanWeight(), 0, 100)
            : defaults.makespanWeight(),
        proto.hasSpendWeight()
            ? requireWithin(path, "spend_weight", proto.getSpendWeight(), 0, 100)
            : defaults.spendWeight(),
        proto.hasRiskWeight()
            ? requireWithin(path, "risk_weight", proto.getRiskWeight(), 0, 100)
            : defaults.riskWeight(),
        proto.hasBeginWithinS()
            ? Math.round(
                1000 * requireWithin(path, "begin_within_s", proto.getBeginWithinS(), 10, 86_400))
            : defaults.beginWithinMs(),
        proto.hasRelayAbove()
            ? requireWithin(path, "relay_above", proto.getRelayAbove(), 0, 100)
            : defaults.relayAbove(),
        LanesLoader.read(path, proto.getLaneList()),
        CalendarsLoader.read(path, proto.getCalendarList()),
        DisruptionBudgetsLoader.read(path, proto.getDisruptionList()),
        proto.hasAdmin() ? parseAdmin(path, proto.getAdmin()) : null);
  }

  private static OperatorSettings.Admin parseAdmin(
      Path path, dapplestair.settings.proto.Admin proto) throws SettingsException {
    Settings.Address listen = Settings.Address.parse(proto.getListen());
    if (listen == null) {
      throw new SettingsException(
          path + ": admin.listen = \"" + proto.getListen() + "\": must be host:port");
    }
    int maxConnections =
        proto.hasMostConnections()
            ? (int)
                requireWithin(path, "admin.most_connections", proto.getMostConnections(), 1, 10_000)
            : OperatorSettings.DEFAULT_MAX_CONNECTIONS;
    OperatorSettings.Tls tls = null;
    if (proto.hasTls()) {
      tls =
          new OperatorSettings.Tls(
              resolveFile(path, "admin.tls.certificate", proto.getTls().getCertificate()),
              resolveFile(path, "admin.tls.key", proto.getTls().getKey()),
              resolveFile(path, "admin.tls.authority", proto.getTls().getAuthority()));
    }
    OperatorSettings.Admin admin =
        new OperatorSettings.Admin(
            listen,
            maxConnections,
            proto.hasTokens() ? resolveFile(path, "admin.tokens", proto.getTokens()) : null,
            tls);
    checkAdmin(admin);
    return admin;
  }

  /** Rejects plain HTTP on an address that is not loopback, as it must serve this machine only. */
  public static void checkAdmin(OperatorSettings.Admin admin) throws SettingsException {
    if (admin.tls() == null && !isLoopback(admin.listen())) {
      throw new SettingsException(
          "admin.listen = " + admin.listen() + ": without admin.tls only an address on loopback");
    }
  }

  /**
   * Returns whether an address is in 127.0.0.0/8 or is ::1. Of host names, only {@code localhost}
   * is accepted, as none is looked up.
   */
  static boolean isLoopback(Settings.Address address) {
    return address.host().equals("localhost")
        || InetAddresses.isInetAddress(address.host())
            && InetAddresses.forString(address.host()).isLoopbackAddress();
  }

  /** Resolves a file name in the operators' file relative to the folder of that file. */
  private static Path resolveFile(Path path, String field, String name) throws SettingsException {
    if (name.isEmpty()) {
      throw new SettingsException(path + ": " + field + ": missing");
    }
    Path resolved = path.toAbsolutePath().getParent().resolve(name);
    if (!Files.isReadable(resolved)) {
      throw new SettingsException(path + ": " + field + " = \"" + name + "\": cannot be read");
    }
    return resolved;
  }

  static double requireWithin(Path path, String field, double value, double min, double max)
      throws SettingsException {
    if (!(value >= min && value <= max)) {
      throw new SettingsException(
          path + ": " + field + " = " + value + ": must be from " + min + " to " + max);
    }
    return value;
  }
}
