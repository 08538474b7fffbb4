package dapplestair.settings;

import java.nio.file.Path;
import java.util.List;

/**
 * Operators' own choices, with the values that hold when nothing is said.
 *
 * @param beginWithinMs within what every job is to begin, the largest ones too
 * @param relayAbove share of the leader's connections that machines may take before their
 *     connections are spread over all controllers; 0 spreads them always
 */
public record OperatorSettings(
    long planIntervalMs,
    int population,
    int evaluations,
    double budgetPerHour,
    double budgetRatio,
    int returnAfterRounds,
    double makespanWeight,
    double spendWeight,
    double riskWeight,
    long beginWithinMs,
    double relayAbove,
    List<Lane> lanes,
    List<RunCalendar> calendars,
    DisruptionBudgets budgets,
    Admin admin) {

  /**
   * The operators' interface.
   *
   * @param maxConnections at once; those beyond get 503
   * @param tokens file of tokens, or null
   * @param tls key files, or null for plain HTTP on loopback
   */
  public record Admin(Settings.Address listen, int maxConnections, Path tokens, Tls tls) {
    /** On this address, for everybody on this machine. */
    public static Admin withoutAuthentication(Settings.Address listen) {
      return new Admin(listen, DEFAULT_MAX_CONNECTIONS, null, null);
    }
  }

  /** PEM files. */
  public record Tls(Path certificate, Path key, Path authority) {}

  static final int DEFAULT_MAX_CONNECTIONS = 32;

  /** The rest is for users, peers, the state service and the cloud. */
  private static final double DEFAULT_RELAY_ABOVE = 0.9;

  /** What holds without an operator file. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        3_000,
        20,
        300,
        0,
        2.5,
        4,
        2.1,
        1,
        0.5,
        240_000,
        DEFAULT_RELAY_ABOVE,
        List.of(),
        List.of(),
        DisruptionBudgets.DEFAULTS,
        null);
  }

  /** The same with this operators' interface. */
  public OperatorSettings withAdmin(Admin newAdmin) {
    return with(beginWithinMs, relayAbove, lanes, calendars, budgets, newAdmin);
  }

  /** The same with another bound within what every job is to begin. */
  public OperatorSettings withBeginWithinMs(long newBeginWithinMs) {
    return with(newBeginWithinMs, relayAbove, lanes, calendars, budgets, admin);
  }

  /** The same with connections spread beyond this share. */
  public OperatorSettings withRelayAbove(double newRelayAbove) {
    return with(beginWithinMs, newRelayAbove, lanes, calendars, budgets, admin);
  }

  /** The same with these lanes. */
  public OperatorSettings withLanes(List<Lane> newLanes) {
    return with(beginWithinMs, relayAbove, newLanes, calendars, budgets, admin);
  }

  /** The same with these calendars. */
  public OperatorSettings withCalendars(List<RunCalendar> newCalendars) {
    return with(beginWithinMs, relayAbove, lanes, newCalendars, budgets, admin);
  }

  /** The same with these budgets of disruption. */
  public OperatorSettings withBudgets(DisruptionBudgets newBudgets) {
    return with(beginWithinMs, relayAbove, lanes, calendars, newBudgets, admin);
  }

  private OperatorSettings with(
      long newBeginWithinMs,
      double newRelayAbove,
      List<Lane> newLanes,
      List<RunCalendar> newCalendars,
      DisruptionBudgets newBudgets,
      Admin newAdmin) {
    return new OperatorSettings(
        planIntervalMs,
        population,
        evaluations,
        budgetPerHour,
        budgetRatio,
        returnAfterRounds,
        makespanWeight,
        spendWeight,
        riskWeight,
        newBeginWithinMs,
        newRelayAbove,
        newLanes,
        newCalendars,
        newBudgets,
        newAdmin);
  }
}
