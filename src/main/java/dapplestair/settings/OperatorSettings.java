package dapplestair.settings;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings that operators choose, with defaults for those that they do not set.
 *
 * @param beginWithinMs time within which every job is to begin, including the largest ones
 * @param relayAbove share of the leader's connections that machines may use before their
 *     connections are spread over all controllers; 0 always spreads them
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
   * Settings of the operators' interface.
   *
   * @param maxConnections maximum number of connections at once; further ones are answered with 503
   * @param tokens file of tokens, or null
   * @param tls key files, or null for plain HTTP on loopback
   */
  public record Admin(Settings.Address listen, int maxConnections, Path tokens, Tls tls) {
    /** Returns settings for plain HTTP on {@code listen}, open to every user of this machine. */
    public static Admin withoutAuthentication(Settings.Address listen) {
      return new Admin(listen, DEFAULT_MAX_CONNECTIONS, null, null);
    }
  }

  /** The PEM files for TLS. */
  public record Tls(Path certificate, Path key, Path authority) {}

  static final int DEFAULT_MAX_CONNECTIONS = 32;

  /** The remaining connections are for users, peers, the state service and the cloud. */
  private static final double DEFAULT_RELAY_ABOVE = 0.9;

  /** Returns the settings that apply without an operators' file. */
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

  /** Returns a copy with these settings of the operators' interface. */
  public OperatorSettings withAdmin(Admin newAdmin) {
    return with(beginWithinMs, relayAbove, lanes, calendars, budgets, newAdmin);
  }

  /** Returns a copy with this time within which every job is to begin. */
  public OperatorSettings withBeginWithinMs(long newBeginWithinMs) {
    return with(newBeginWithinMs, relayAbove, lanes, calendars, budgets, admin);
  }

  /** Returns a copy that spreads connections above this share of the leader's. */
  public OperatorSettings withRelayAbove(double newRelayAbove) {
    return with(beginWithinMs, newRelayAbove, lanes, calendars, budgets, admin);
  }

  /** Returns a copy with these lanes. */
  public OperatorSettings withLanes(List<Lane> newLanes) {
    return with(beginWithinMs, relayAbove, newLanes, calendars, budgets, admin);
  }

  /** Returns a copy with these calendars. */
  public OperatorSettings withCalendars(List<RunCalendar> newCalendars) {
    return with(beginWithinMs, relayAbove, lanes, newCalendars, budgets, admin);
  }

  /** Returns a copy with these disruption budgets. */
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
