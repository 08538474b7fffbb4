package dapplestair.settings;

import dapplestair.work.Submission;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Set;

/**
 * A calendar that says when cycles of runs begin, and for which deliveries they wait. Each day, the
 * first cycle begins at a fixed time of day and the others follow at a fixed period, until the
 * first cycle of the next day cuts the last one short. On days on which clocks are changed, there
 * may be more or fewer cycles and the last one may have another length; no time is left without a
 * cycle.
 *
 * @param runs classes whose jobs are the runs of a cycle
 * @param team team whose jobs are the runs and deliveries; null for any team
 * @param firstStart time of day at which the first cycle of a day begins
 * @param deliveries classes whose jobs, once done, are deliveries
 * @param complete number of deliveries that releases a cycle
 * @param quorum number of deliveries that releases a cycle once {@code quorumAfterMs} has passed
 *     since its start; 0 for never
 * @param cutOffMs time since its start after which a cycle is released with whatever was delivered
 */
public record RunCalendar(
    String name,
    Set<String> runs,
    String team,
    LocalTime firstStart,
    long periodMs,
    ZoneId timeZone,
    Set<String> deliveries,
    int complete,
    int quorum,
    long quorumAfterMs,
    long cutOffMs) {

  /** Returns whether a job is a run that this calendar releases. */
  public boolean isRun(Submission submission) {
    return runs.contains(submission.jobClass()) && (team == null || team.equals(submission.team()));
  }

  /** Returns whether a job is a delivery once it is done. */
  public boolean isDelivery(Submission submission) {
    return deliveries.contains(submission.jobClass())
        && (team == null || team.equals(submission.team()));
  }

  /**
   * Returns the start of the cycle that contains {@code wallMs}, both in wall clock milliseconds.
   */
  public long cycleStartMs(long wallMs) {
    LocalDate day = Instant.ofEpochMilli(wallMs).atZone(timeZone).toLocalDate();
    long firstMs = firstStartMs(day);
    if (wallMs < firstMs) {
      firstMs = firstStartMs(day.minusDays(1));
    }
    return firstMs + Math.floorDiv(wallMs - firstMs, periodMs) * periodMs;
  }

  /** Returns the start of the cycle after the one that starts at {@code startMs}. */
  public long nextCycleStartMs(long startMs) {
    LocalDate day = Instant.ofEpochMilli(startMs).atZone(timeZone).toLocalDate();
    long firstMs = firstStartMs(day);
    long nextFirstMs = startMs < firstMs ? firstMs : firstStartMs(day.plusDays(1));
    return Math.min(startMs + periodMs, nextFirstMs);
  }

  private long firstStartMs(LocalDate day) {
    return day.atTime(firstStart).atZone(timeZone).toInstant().toEpochMilli();
  }
}
