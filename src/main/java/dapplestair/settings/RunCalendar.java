package dapplestair.settings;

import dapplestair.work.Submission;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Set;

/**
 * When cycles of runs begin, and what they wait for. Cycles follow each other at a steady period
 * from a time of day on, and begin anew with each day: where clocks are changed the last cycle of
 * that day is shorter or longer, and none is left out.
 *
 * @param runs classes whose jobs are the cycle's runs
 * @param team whose jobs they are; null for any
 * @param deliveries classes whose jobs, once done, are deliveries
 * @param complete so many deliveries release a cycle
 * @param quorum so many do once {@code quorumAfterMs} has passed since its start; 0 for never
 * @param cutOffMs after which it is released with what is there
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

  /** True for a job that this calendar releases. */
  public boolean isRun(Submission submission) {
    return runs.contains(submission.jobClass()) && (team == null || team.equals(submission.team()));
  }

  /** True for a job that is a delivery once it is done. */
  public boolean isDelivery(Submission submission) {
    return deliveries.contains(submission.jobClass())
        && (team == null || team.equals(submission.team()));
  }

  /** The start of the cycle to which a moment belongs, both in milliseconds of the time of day. */
  public long cycleStartMs(long wallMs) {
    LocalDate day = Instant.ofEpochMilli(wallMs).atZone(timeZone).toLocalDate();
    long firstMs = firstStartMs(day);
    if (wallMs < firstMs) {
      firstMs = firstStartMs(day.minusDays(1));
    }
    return firstMs + Math.floorDiv(wallMs - firstMs, periodMs) * periodMs;
  }

  /** The start of the cycle after this one. */
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
