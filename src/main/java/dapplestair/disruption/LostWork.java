package dapplestair.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.ports.Clock;
import dapplestair.settings.DisruptionBudgets;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.TxnOutcome;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the work lost in the last hour, by team. It cannot be derived from the recorded attempts,
 * so it is reserved: a share of the budget is recorded before any of it is granted, and the next
 * leader counts everything reserved as spent. Time is divided into slices. A reservation is valid
 * in its own slice only, so that work lost later cannot be charged to an earlier slice. Teams
 * without such a budget have no record.
 */
public final class LostWork {
  private static final long HOUR_MS = 3_600_000;
  private static final long SLICE_MS = HOUR_MS / 12;

  // Share of the budget that one reservation takes. It bounds the number of puts per hour, however
  // many tasks are stopped.
  private static final double RESERVATION_SHARE = 1 / 16.0;

  private final Clock clock;
  private final DisruptionBudgets budgets;
  private final FencedWriter writer;
  private final Replica replica;
  private final Leadership leadership;
  private final Map<String, TeamLostWork> accountsByTeam = new HashMap<>();
  private boolean leading;

  private static final class TeamLostWork {
    /** Recorded reservations in CPU seconds, by slice. */
    final TreeMap<Long, Double> reservedCpuSBySlice = new TreeMap<>();

    /** CPU seconds that this leader has spent in {@code slice}. */
    double spentCpuS;

    long slice;
    boolean writeInFlight;
  }

  /** Creates an instance without any lost work. */
  public LostWork(
      Clock clock,
      Settings settings,
      DisruptionBudgets budgets,
      StateClient state,
      Replica replica,
      Leadership leadership) {
    this.clock = clock;
    this.budgets = budgets;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.replica = replica;
    this.leadership = leadership;
  }

  /** Applies the recorded value of a team, or its removal if {@code value} is null. */
  public void applyRecord(String key, JsonNode value) {
    TeamLostWork teamLostWork = accountOf(key.substring(StateKeys.DISRUPTION.length()));
    teamLostWork.reservedCpuSBySlice.clear();
    if (value != null) {
      value
          .path("reserved")
          .fields()
          .forEachRemaining(
              e ->
                  teamLostWork.reservedCpuSBySlice.put(
                      Long.parseLong(e.getKey()), e.getValue().asDouble()));
    }
  }

  void lead() {
    leading = true;
    writer.reset();
    long slice = currentSlice();
    for (TeamLostWork teamLostWork : accountsByTeam.values()) {
      // Everything reserved counts as spent, because the former leader may have spent it.
      teamLostWork.slice = slice;
      teamLostWork.spentCpuS = teamLostWork.reservedCpuSBySlice.getOrDefault(slice, 0.0);
      teamLostWork.writeInFlight = false;
    }
  }

  void clear() {
    leading = false;
    writer.reset();
    accountsByTeam.clear();
  }

  private TeamLostWork accountOf(String team) {
    return accountsByTeam.computeIfAbsent(team, t -> new TeamLostWork());
  }

  private long currentSlice() {
    return Math.floorDiv(clock.wall(), SLICE_MS);
  }

  /**
   * Returns a team's account in the current slice. Reservations of earlier slices that were not
   * spent are void.
   */
  private TeamLostWork currentAccount(String team) {
    TeamLostWork teamLostWork = accountOf(team);
    long slice = currentSlice();
    if (teamLostWork.slice != slice) {
      teamLostWork.slice = slice;
      // A controller whose clock was ahead may already have recorded reservations for this slice.
      teamLostWork.spentCpuS = teamLostWork.reservedCpuSBySlice.getOrDefault(slice, 0.0);
    }
    return teamLostWork;
  }

  /** Returns the CPU seconds reserved or spent in the last hour. */
  double usedCpuS(String team) {
    TeamLostWork teamLostWork = currentAccount(team);
    double totalCpuS =
        Math.max(
            teamLostWork.spentCpuS,
            teamLostWork.reservedCpuSBySlice.getOrDefault(teamLostWork.slice, 0.0));
    // Covers one slice more than an hour, so that work lost at the end of a slice counts for a
    // whole hour.
    for (double reservedCpuS :
        teamLostWork
            .reservedCpuSBySlice
            .subMap(teamLostWork.slice - HOUR_MS / SLICE_MS, teamLostWork.slice)
            .values()) {
      totalCpuS += reservedCpuS;
    }
    return totalCpuS;
  }

  /**
   * Returns null if this much work may be lost now. Otherwise returns the reason for refusing, and
   * starts a reservation if the budget allows one.
   */
  DisruptionRefusal checkOrReserve(String team, double cpuS) {
    double allowedCpuS = budgets.forTeam(team).lostCpuS();
    if (Double.isInfinite(allowedCpuS) || cpuS <= 0) {
      return null;
    }
    TeamLostWork teamLostWork = currentAccount(team);
    double reservedCpuS = teamLostWork.reservedCpuSBySlice.getOrDefault(teamLostWork.slice, 0.0);
    if (teamLostWork.spentCpuS + cpuS <= reservedCpuS + 1e-9 && !teamLostWork.writeInFlight) {
      return null;
    }
    double usedBeforeCpuS = usedCpuS(team);
    double wantedCpuS = teamLostWork.spentCpuS + cpuS;
    if (usedBeforeCpuS - Math.max(teamLostWork.spentCpuS, reservedCpuS) + wantedCpuS
        > allowedCpuS + 1e-9) {
      return new DisruptionRefusal(
          team,
          "CPU seconds thrown away in an hour",
          allowedCpuS,
          usedBeforeCpuS,
          allowedCpuS == 0
              ? "zero means never"
              : "%.1f more would be thrown away; what ran under another leader counts since its job"
                      .formatted(cpuS)
                  + " was accepted");
    }
    double availableCpuS =
        allowedCpuS - (usedBeforeCpuS - Math.max(teamLostWork.spentCpuS, reservedCpuS));
    // Reserves twice as much, because a running task loses more by the time the put completes.
    recordReservation(
        team,
        teamLostWork,
        Math.min(
            availableCpuS,
            teamLostWork.spentCpuS + Math.max(2 * cpuS, allowedCpuS * RESERVATION_SHARE)));
    return new DisruptionRefusal(
        team,
        "CPU seconds thrown away in an hour",
        allowedCpuS,
        usedBeforeCpuS,
        "being put on record");
  }

  /** Charges a granted stop, whose lost work was reserved before, to the team. */
  void chargeGranted(String team, double cpuS) {
    if (!budgets.forTeam(team).isLostWorkUnlimited()) {
      currentAccount(team).spentCpuS += cpuS;
    }
  }

  /** Charges a stop that could not wait to the team, and records its lost work afterwards. */
  void chargeForced(String team, double cpuS) {
    if (budgets.forTeam(team).isLostWorkUnlimited() || cpuS <= 0) {
      return;
    }
    TeamLostWork teamLostWork = currentAccount(team);
    teamLostWork.spentCpuS += cpuS;
    if (teamLostWork.spentCpuS
        > teamLostWork.reservedCpuSBySlice.getOrDefault(teamLostWork.slice, 0.0)) {
      recordReservation(
          team,
          teamLostWork,
          teamLostWork.spentCpuS + budgets.forTeam(team).lostCpuS() * RESERVATION_SHARE);
    }
  }

  private void recordReservation(String team, TeamLostWork teamLostWork, double reservedCpuS) {
    if (teamLostWork.writeInFlight || !leading) {
      return;
    }
    teamLostWork.writeInFlight = true;
    long slice = teamLostWork.slice;
    String key = StateKeys.DISRUPTION + team;
    ObjectNode value = Json.object();
    ObjectNode slices = value.putObject("reserved");
    teamLostWork
        .reservedCpuSBySlice
        .tailMap(slice - HOUR_MS / SLICE_MS)
        .forEach((s, r) -> slices.put(Long.toString(s), (double) r));
    slices.put(
        Long.toString(slice),
        Math.max(reservedCpuS, teamLostWork.reservedCpuSBySlice.getOrDefault(slice, 0.0)));
    writer.put(
        key,
        replica.stamp(key),
        value,
        Priority.BOOKKEEPING,
        outcome -> {
          // If the outcome is unknown, the replica delivers the recorded value later; until then
          // nothing is granted.
          teamLostWork.writeInFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            applyRecord(key, value);
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
        });
  }
}
