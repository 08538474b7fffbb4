package dapplestair.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.calendar.Cycle.ReleaseCause;
import dapplestair.events.Events;
import dapplestair.json.Json;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.RunCalendar;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the run calendars. A delivery is marked in the same transaction that records its job as
 * done, so that it counts once, whichever controller leads. A cycle is released by one conditional
 * put. Runs are held until their cycle is released or its cut-off has passed. The cut-off needs
 * only the clock, so no run is held for longer, whatever fails.
 */
public final class Calendars implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Calendars.class);

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final Map<String, RunCalendar> calendars = new LinkedHashMap<>();
  private final StateClient state;
  private final FencedWriter writer;
  private final Replica replica;
  private final Leadership leadership;
  private final Ledger ledger;
  private final Events events;

  // Read from the records, by calendar name; the marks also by cycle start.
  private final Map<String, Cycle> cycles = new HashMap<>();
  private final Map<String, Map<Long, Set<String>>> deliveryMarks = new HashMap<>();

  private final Set<String> calendarsBeingWritten = new HashSet<>();

  /** References of the runs that were held at the last tick. */
  private Set<String> previouslyHeldRefs = Set.of();

  private Runnable onRelease = () -> {};
  private DoubleSupplier bootS = () -> 0;
  private Cancellable timer = () -> {};

  /** Creates the calendars of the operators' file. Without any calendar, no timer runs. */
  public Calendars(
      Clock clock,
      TermTimers timers,
      Settings settings,
      List<RunCalendar> calendars,
      StateClient state,
      Replica replica,
      Leadership leadership,
      Ledger ledger,
      Events events) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.replica = replica;
    this.leadership = leadership;
    this.ledger = ledger;
    this.events = events;
    calendars.forEach(c -> this.calendars.put(c.name(), c));
  }

  /** Sets the callback for releases and the supplier of a machine's boot time in seconds. */
  public void setCallbacks(Runnable newOnRelease, DoubleSupplier newBootS) {
    onRelease = newOnRelease;
    bootS = newBootS;
  }

  // ---- records from the replica ----

  /** Applies the record of a calendar or of one of its marks; a null value means it was removed. */
  public void applyRecord(String key, JsonNode value) {
    String[] parts = key.substring(StateKeys.CALENDAR.length()).split("/", 3);
    if (parts.length == 3) {
      Map<Long, Set<String>> refsByCycle =
          deliveryMarks.computeIfAbsent(parts[0], n -> new TreeMap<>());
      Set<String> refs =
          refsByCycle.computeIfAbsent(Long.parseLong(parts[1]), c -> new TreeSet<>());
      if (value != null) {
        refs.add(parts[2]);
      } else if (refs.remove(parts[2]) && refs.isEmpty()) {
        refsByCycle.remove(Long.parseLong(parts[1]));
      }
    } else if (value != null) {
      cycles.put(parts[0], Cycle.parse(value));
    } else {
      cycles.remove(parts[0]);
    }
  }

  /** Drops all state; the replica delivers its records again. */
  public void clear() {
    writer.reset();
    timer.cancel();
    cycles.clear();
    deliveryMarks.clear();
    calendarsBeingWritten.clear();
    previouslyHeldRefs = Set.of();
  }

  // ---- leading ----

  /** Continues with the recorded cycles. Must be called before anything is placed. */
  public void lead() {
    writer.reset();
    if (!calendars.isEmpty()) {
      tick();
    }
  }

  private void tick() {
    for (RunCalendar calendar : calendars.values()) {
      if (!calendarsBeingWritten.contains(calendar.name()) && state.unreachableMs() == 0) {
        releaseIfDue(calendar);
      }
    }
    updateHeldRuns();
    timer = timers.after(settings.workers().reportMs() / 12, this::tick);
  }

  /** Releases the current cycle if it is due; else records a missed one or removes old marks. */
  private void releaseIfDue(RunCalendar calendar) {
    long wallMs = clock.wall();
    long currentMs = calendar.cycleStartMs(wallMs);
    Cycle last = lastCycle(calendar.name());
    ReleaseCause cause = currentMs > last.startMs() ? dueCause(calendar, currentMs, wallMs) : null;
    if (cause != null) {
      release(
          calendar,
          last.withRelease(currentMs, cause, wallMs, deliveredCount(calendar, currentMs)));
      return;
    }
    long nextUnreleased =
        last.startMs() == 0 ? currentMs : calendar.nextCycleStartMs(last.startMs());
    if (nextUnreleased < currentMs) {
      // No controller led, or none could write, until this cycle ended; its runs have long started.
      release(
          calendar,
          last.withRelease(
              nextUnreleased,
              ReleaseCause.MISSED,
              wallMs,
              deliveredCount(calendar, nextUnreleased)));
      return;
    }
    removeOldMarks(calendar, last);
  }

  private ReleaseCause dueCause(RunCalendar calendar, long startMs, long wallMs) {
    int delivered = deliveredCount(calendar, startMs);
    if (delivered >= calendar.complete()) {
      return ReleaseCause.COMPLETE;
    }
    if (calendar.quorum() > 0
        && delivered >= calendar.quorum()
        && wallMs - startMs >= calendar.quorumAfterMs()) {
      return ReleaseCause.QUORUM;
    }
    return wallMs - startMs >= calendar.cutOffMs() ? ReleaseCause.CUT_OFF : null;
  }

  private void release(RunCalendar calendar, Cycle next) {
    calendarsBeingWritten.add(calendar.name());
    String key = StateKeys.CALENDAR + calendar.name();
    writer.put(
        key,
        replica.stamp(key),
        next.toJson(),
        Priority.REPLICA,
        outcome -> {
          if (leadership.stepDownIfDeposed(outcome)) {
            return;
          }
          if (outcome instanceof TxnOutcome.Applied) {
            cycles.put(calendar.name(), next);
            announceRelease(calendar, next);
            onRelease.run();
          }
          // The replica soon shows whether the put was applied, also when no answer came.
          timers.after(
              settings.workers().reportMs() / 12,
              () -> calendarsBeingWritten.remove(calendar.name()));
        });
  }

  private void announceRelease(RunCalendar calendar, Cycle cycle) {
    LOG.info(
        "calendar {}: released the cycle that began at {} ms (cause: {}, {} of {} deliveries)",
        calendar.name(),
        cycle.startMs(),
        cycle.cause().label(),
        cycle.deliveredCount(),
        calendar.complete());
    events.publish(
        Events.Kind.CYCLE,
        o ->
            o.put("calendar", calendar.name())
                .put("cycle", cycle.startMs())
                .put("state", cycle.cause().label())
                .put("delivered", cycle.deliveredCount())
                .put("lag_s", (cycle.releasedAtMs() - cycle.startMs()) / 1000.0));
  }

  /** Removes the marks of past cycles one period after their end, a few per transaction. */
  private void removeOldMarks(RunCalendar calendar, Cycle last) {
    Txn txn = writer.transaction();
    deliveryMarks
        .getOrDefault(calendar.name(), Map.of())
        .forEach(
            (start, refs) -> {
              if (start < last.startMs() - calendar.periodMs()) {
                refs.stream()
                    .limit(Math.max(0, settings.state().txnOps() - txn.size()))
                    .forEach(ref -> txn.remove(markKey(calendar.name(), start, ref)));
              }
            });
    if (txn.size() > 0) {
      calendarsBeingWritten.add(calendar.name());
      writer.commit(
          txn,
          Priority.BOOKKEEPING,
          outcome -> {
            if (!leadership.stepDownIfDeposed(outcome)) {
              timers.after(
                  settings.workers().reportMs() / 3,
                  () -> calendarsBeingWritten.remove(calendar.name()));
            }
          });
    }
  }

  /**
   * Updates which runs are held. Held runs are planned for only from the time at which their
   * machines have to be requested. Runs that are no longer held are placed now, whatever ended the
   * hold: the answer to the release, the record of a release whose answer was lost, or the clock.
   */
  private void updateHeldRuns() {
    Set<String> heldRefs = new HashSet<>();
    for (Job job : ledger.jobs()) {
      RunCalendar calendar = calendarFor(job.spec());
      if (calendar != null) {
        boolean isHeld = isHeld(job);
        ledger.setExcludedFromPlanning(job, isHeld && !isReleaseNear(calendar, job));
        if (isHeld) {
          heldRefs.add(job.spec().ref());
        }
      }
    }
    boolean anyReleased = !heldRefs.containsAll(previouslyHeldRefs);
    previouslyHeldRefs = heldRefs;
    if (anyReleased) {
      onRelease.run();
    }
  }

  /** Returns true from one boot time before the usual release of a job's cycle. */
  private boolean isReleaseNear(RunCalendar calendar, Job job) {
    long startMs = calendar.cycleStartMs(job.acceptedWallMs());
    double usualLagMs = lastCycle(calendar.name()).usualLagMs(calendar.cutOffMs());
    return clock.wall() >= startMs + usualLagMs - 1000 * bootS.getAsDouble();
  }

  // ---- queries of other components ----

  private RunCalendar calendarFor(Submission submission) {
    for (RunCalendar calendar : calendars.values()) {
      if (calendar.isRun(submission)) {
        return calendar;
      }
    }
    return null;
  }

  /** Returns true while a job has to wait for the release of its cycle. */
  public boolean isHeld(Job job) {
    RunCalendar calendar = calendars.isEmpty() ? null : calendarFor(job.spec());
    if (calendar == null) {
      return false;
    }
    long startMs = calendar.cycleStartMs(job.acceptedWallMs());
    return lastCycle(calendar.name()).startMs() < startMs
        && clock.wall() - startMs < calendar.cutOffMs();
  }

  /** Returns true for a run of the last released cycle. Such runs go first within their rank. */
  public boolean isRunOfLastReleasedCycle(Job job) {
    RunCalendar calendar = calendars.isEmpty() ? null : calendarFor(job.spec());
    return calendar != null
        && lastCycle(calendar.name()).startMs() == calendar.cycleStartMs(job.acceptedWallMs());
  }

  /** Adds a mark for each calendar the job is a delivery of, in the put that makes it done. */
  public void addDeliveryMarks(Job job, Txn txn) {
    for (RunCalendar calendar : calendars.values()) {
      if (calendar.isDelivery(job.spec())) {
        long startMs = calendar.cycleStartMs(job.acceptedWallMs());
        if (deliveredCount(calendar, startMs) < calendar.complete()
            && startMs > lastCycle(calendar.name()).startMs()) {
          txn.put(markKey(calendar.name(), startMs, job.spec().ref()), Json.object());
        }
      }
    }
  }

  /** Returns the maximum number of marks that {@link #addDeliveryMarks} adds to a transaction. */
  public int maxDeliveryMarks() {
    return calendars.size();
  }

  private static String markKey(String name, long startMs, String ref) {
    return StateKeys.CALENDAR + name + "/" + startMs + "/" + ref;
  }

  private int deliveredCount(RunCalendar calendar, long startMs) {
    return deliveryMarks
        .getOrDefault(calendar.name(), Map.of())
        .getOrDefault(startMs, Set.of())
        .size();
  }

  private Cycle lastCycle(String name) {
    return cycles.getOrDefault(name, Cycle.NONE);
  }

  // ---- views ----

  /** State of a calendar, as shown to operators. */
  public record CalendarStatus(
      String name,
      String state,
      long currentStartMs,
      int deliveredCount,
      int requiredDeliveries,
      long msUntilNext,
      String lastCause,
      double lastLagS,
      int heldRuns) {}

  /** Returns the states of all calendars, in the order of the operators' file. */
  public List<CalendarStatus> statuses() {
    List<CalendarStatus> statuses = new ArrayList<>();
    long wallMs = clock.wall();
    for (RunCalendar calendar : calendars.values()) {
      long currentStartMs = calendar.cycleStartMs(wallMs);
      Cycle last = lastCycle(calendar.name());
      int delivered = deliveredCount(calendar, currentStartMs);
      String state =
          last.startMs() >= currentStartMs ? "released" : delivered > 0 ? "gathering" : "waiting";
      long heldRuns =
          ledger.jobs().stream().filter(j -> calendar.isRun(j.spec()) && isHeld(j)).count();
      statuses.add(
          new CalendarStatus(
              calendar.name(),
              state,
              currentStartMs,
              Math.max(delivered, last.startMs() == currentStartMs ? last.deliveredCount() : 0),
              calendar.complete(),
              calendar.nextCycleStartMs(currentStartMs) - wallMs,
              last.startMs() == 0 ? null : last.cause().label(),
              (last.releasedAtMs() - last.startMs()) / 1000.0,
              (int) heldRuns));
    }
    return statuses;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
