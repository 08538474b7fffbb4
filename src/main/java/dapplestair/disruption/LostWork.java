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
 * Work thrown away in the last hour, by team. Attempts on record do not tell it, so it is leased: a
 * share of the budget is put on record before any of it is granted, and the next leader takes all
 * that was reserved for spent. Time is cut into slices; a reservation holds in its own slice only,
 * so that nobody spends later what counts as earlier. Teams without such a budget have no record.
 */
public final class LostWork {
  private static final long HOUR_MS = 3_600_000;
  private static final long SLICE_MS = HOUR_MS / 12;

  // One reservation takes this share of the budget: some puts an hour, whatever is stopped.
  private static final double SHARE = 1 / 16.0;

  private final Clock clock;
  private final DisruptionBudgets budgets;
  private final FencedWriter writer;
  private final Replica replica;
  private final Leadership leadership;
  private final Map<String, TeamLostWork> accounts = new HashMap<>();
  private boolean leading;

  private static final class TeamLostWork {
    /** What is on record as reserved, by slice. */
    final TreeMap<Long, Double> reserved = new TreeMap<>();

    /** What this leader has spent in which slice. */
    double spent;

    long slice;
    boolean writing;
  }

  /** Nothing thrown away yet. */
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

  /** The record of a team has this value, or is gone. */
  public void recorded(String key, JsonNode value) {
    TeamLostWork teamLostWork = account(key.substring(StateKeys.DISRUPTION.length()));
    teamLostWork.reserved.clear();
    if (value != null) {
      value
          .path("reserved")
          .fields()
          .forEachRemaining(
              e -> teamLostWork.reserved.put(Long.parseLong(e.getKey()), e.getValue().asDouble()));
    }
  }

  void lead() {
    leading = true;
    writer.reset();
    long slice = slice();
    for (TeamLostWork teamLostWork : accounts.values()) {
      // All that is reserved counts as spent: the former leader may have done so.
      teamLostWork.slice = slice;
      teamLostWork.spent = teamLostWork.reserved.getOrDefault(slice, 0.0);
      teamLostWork.writing = false;
    }
  }

  void clear() {
    leading = false;
    writer.reset();
    accounts.clear();
  }

  private TeamLostWork account(String team) {
    return accounts.computeIfAbsent(team, t -> new TeamLostWork());
  }

  private long slice() {
    return Math.floorDiv(clock.wall(), SLICE_MS);
  }

  /** The account in this slice: what was reserved in an earlier one and not spent is void. */
  private TeamLostWork now(String team) {
    TeamLostWork teamLostWork = account(team);
    long slice = slice();
    if (teamLostWork.slice != slice) {
      teamLostWork.slice = slice;
      // A controller whose clock was ahead may have written of this slice already.
      teamLostWork.spent = teamLostWork.reserved.getOrDefault(slice, 0.0);
    }
    return teamLostWork;
  }

  /** Reserved or spent in the last hour, CPU seconds. */
  double spent(String team) {
    TeamLostWork teamLostWork = now(team);
    double sum =
        Math.max(teamLostWork.spent, teamLostWork.reserved.getOrDefault(teamLostWork.slice, 0.0));
    // One slice more than an hour: what was spent at its end counts for a whole hour.
    for (double r :
        teamLostWork
            .reserved
            .subMap(teamLostWork.slice - HOUR_MS / SLICE_MS, teamLostWork.slice)
            .values()) {
      sum += r;
    }
    return sum;
  }

  /** Null when so much may be thrown away now; otherwise a reservation is begun if one may be. */
  DisruptionRefusal refusal(String team, double cpuS) {
    double allowed = budgets.forTeam(team).lostCpuS();
    if (Double.isInfinite(allowed) || cpuS <= 0) {
      return null;
    }
    TeamLostWork teamLostWork = now(team);
    double reserved = teamLostWork.reserved.getOrDefault(teamLostWork.slice, 0.0);
    if (teamLostWork.spent + cpuS <= reserved + 1e-9 && !teamLostWork.writing) {
      return null;
    }
    double before = spent(team);
    double wanted = teamLostWork.spent + cpuS;
    if (before - Math.max(teamLostWork.spent, reserved) + wanted > allowed + 1e-9) {
      return new DisruptionRefusal(
          team,
          "CPU seconds thrown away in an hour",
          allowed,
          before,
          allowed == 0
              ? "zero means never"
              : "%.1f more would be thrown away; what ran under another leader counts since its job"
                      .formatted(cpuS)
                  + " was accepted");
    }
    double room = allowed - (before - Math.max(teamLostWork.spent, reserved));
    // Twice as much, since what runs loses more by the time the put is made.
    write(
        team,
        teamLostWork,
        Math.min(room, teamLostWork.spent + Math.max(2 * cpuS, allowed * SHARE)));
    return new DisruptionRefusal(
        team, "CPU seconds thrown away in an hour", allowed, before, "being put on record");
  }

  /** A stop was granted: what it throws away was reserved. */
  void spend(String team, double cpuS) {
    if (!budgets.forTeam(team).isLostWorkUnlimited()) {
      now(team).spent += cpuS;
    }
  }

  /** A stop could not wait: what it throws away is put on record when there is time. */
  void debit(String team, double cpuS) {
    if (budgets.forTeam(team).isLostWorkUnlimited() || cpuS <= 0) {
      return;
    }
    TeamLostWork teamLostWork = now(team);
    teamLostWork.spent += cpuS;
    if (teamLostWork.spent > teamLostWork.reserved.getOrDefault(teamLostWork.slice, 0.0)) {
      write(team, teamLostWork, teamLostWork.spent + budgets.forTeam(team).lostCpuS() * SHARE);
    }
  }

  private void write(String team, TeamLostWork teamLostWork, double reserve) {
    if (teamLostWork.writing || !leading) {
      return;
    }
    teamLostWork.writing = true;
    long slice = teamLostWork.slice;
    String key = StateKeys.DISRUPTION + team;
    ObjectNode value = Json.object();
    ObjectNode slices = value.putObject("reserved");
    teamLostWork
        .reserved
        .tailMap(slice - HOUR_MS / SLICE_MS)
        .forEach((s, r) -> slices.put(Long.toString(s), (double) r));
    slices.put(
        Long.toString(slice), Math.max(reserve, teamLostWork.reserved.getOrDefault(slice, 0.0)));
    writer.put(
        key,
        replica.stamp(key),
        value,
        Priority.BOOKKEEPING,
        outcome -> {
          // Without an answer the replica tells what is on record; until then nothing is granted.
          teamLostWork.writing = false;
          if (outcome instanceof TxnOutcome.Applied) {
            recorded(key, value);
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
        });
  }
}
