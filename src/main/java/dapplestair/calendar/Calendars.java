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
 * Run calendars. A delivery is marked in the very transaction that makes its job done, so that it
 * counts once, whoever leads; a cycle's release is one conditional put. Runs are held until their
 * cycle is released or its cut-off has passed by the clock alone: nothing is held for longer,
 * whatever is lost.
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

  // From the records.
  private final Map<String, Cycle> cycles = new HashMap<>();
  private final Map<String, Map<Long, Set<String>>> marks = new HashMap<>();

  private final Set<String> writing = new HashSet<>();

  /** Runs that were held at the last tick, by reference. */
  private Set<String> heldBefore = Set.of();

  private Runnable changed = () -> {};
  private DoubleSupplier bootS = () -> 0;
  private Cancellable timer = () -> {};

  /** The calendars of the operators' file; without any, nothing here costs anything. */
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

  /** {@code change} hears of releases; {@code boot} says for how many seconds a machine boots. */
  public void wire(Runnable change, DoubleSupplier boot) {
    changed = change;
    bootS = boot;
  }

  // ---- what the replica says ----

  /** A calendar's key, or one of its marks, has this value, or is gone. */
  public void recorded(String key, JsonNode value) {
    String[] parts = key.substring(StateKeys.CALENDAR.length()).split("/", 3);
    if (parts.length == 3) {
      Map<Long, Set<String>> of = marks.computeIfAbsent(parts[0], n -> new TreeMap<>());
      Set<String> refs = of.computeIfAbsent(Long.parseLong(parts[1]), c -> new TreeSet<>());
      if (value != null) {
        refs.add(parts[2]);
      } else if (refs.remove(parts[2]) && refs.isEmpty()) {
        of.remove(Long.parseLong(parts[1]));
      }
    } else if (value != null) {
      cycles.put(parts[0], Cycle.parse(value));
    } else {
      cycles.remove(parts[0]);
    }
  }

  /** Forgets all: the replica tells its records again. */
  public void clear() {
    writer.reset();
    timer.cancel();
    cycles.clear();
    marks.clear();
    writing.clear();
    heldBefore = Set.of();
  }

  // ---- leading ----

  /** Goes on with the cycles on record; to be called before anything is placed. */
  public void lead() {
    writer.reset();
    if (!calendars.isEmpty()) {
      tick();
    }
  }

  private void tick() {
    for (RunCalendar calendar : calendars.values()) {
      if (!writing.contains(calendar.name()) && state.unreachableMs() == 0) {
        look(calendar);
      }
    }
    rest();
    timer = timers.after(settings.workers().reportMs() / 12, this::tick);
  }

  /** Releases the newest cycle that can be; what lies further back was missed. */
  private void look(RunCalendar calendar) {
    long wall = clock.wall();
    long current = calendar.cycle(wall);
    Cycle last = cycle(calendar.name());
    ReleaseCause by = current > last.start() ? due(calendar, current, wall) : null;
    if (by != null) {
      release(calendar, last.released(current, by, wall, delivered(calendar, current)));
      return;
    }
    long before = last.start() == 0 ? current : calendar.next(last.start());
    if (before < current) {
      // Nobody led, or nobody could write, until it was over; its runs are long on their way.
      release(
          calendar, last.released(before, ReleaseCause.MISSED, wall, delivered(calendar, before)));
      return;
    }
    compact(calendar, last);
  }

  private ReleaseCause due(RunCalendar calendar, long start, long wall) {
    int delivered = delivered(calendar, start);
    if (delivered >= calendar.complete()) {
      return ReleaseCause.COMPLETE;
    }
    if (calendar.quorum() > 0
        && delivered >= calendar.quorum()
        && wall - start >= calendar.quorumAfterMs()) {
      return ReleaseCause.QUORUM;
    }
    return wall - start >= calendar.cutOffMs() ? ReleaseCause.CUT_OFF : null;
  }

  private void release(RunCalendar calendar, Cycle next) {
    writing.add(calendar.name());
    String key = StateKeys.CALENDAR + calendar.name();
    writer.put(
        key,
        replica.stamp(key),
        next.toJson(),
        Priority.REPLICA,
        outcome -> {
          if (leadership.deposedBy(outcome)) {
            return;
          }
          if (outcome instanceof TxnOutcome.Applied) {
            cycles.put(calendar.name(), next);
            told(calendar, next);
            changed.run();
          }
          // The replica shows it a moment later; without an answer it tells what became of it.
          timers.after(settings.workers().reportMs() / 12, () -> writing.remove(calendar.name()));
        });
  }

  private void told(RunCalendar calendar, Cycle cycle) {
    LOG.info(
        "{}: the cycle of {} is released ({}, {} of {} deliveries)",
        calendar.name(),
        cycle.start(),
        cycle.by().shown(),
        cycle.delivered(),
        calendar.complete());
    events.note(
        Events.Kind.CYCLE,
        o ->
            o.put("calendar", calendar.name())
                .put("cycle", cycle.start())
                .put("state", cycle.by().shown())
                .put("delivered", cycle.delivered())
                .put("lag_s", (cycle.at() - cycle.start()) / 1000.0));
  }

  /** Marks of cycles that are over are taken out, a few at a time, one period after their end. */
  private void compact(RunCalendar calendar, Cycle last) {
    Txn txn = writer.transaction();
    marks
        .getOrDefault(calendar.name(), Map.of())
        .forEach(
            (start, refs) -> {
              if (start < last.start() - calendar.periodMs()) {
                refs.stream()
                    .limit(Math.max(0, settings.state().txnOps() - txn.size()))
                    .forEach(ref -> txn.remove(mark(calendar.name(), start, ref)));
              }
            });
    if (txn.size() > 0) {
      writing.add(calendar.name());
      writer.commit(
          txn,
          Priority.BOOKKEEPING,
          outcome -> {
            if (!leadership.deposedBy(outcome)) {
              timers.after(
                  settings.workers().reportMs() / 3, () -> writing.remove(calendar.name()));
            }
          });
    }
  }

  /**
   * What is held is planned for only from when its machines have to be asked for. What is held no
   * more is placed now, whatever ended it: an answer, the record of a release whose answer was
   * lost, or the clock.
   */
  private void rest() {
    Set<String> held = new HashSet<>();
    for (Job job : ledger.jobs()) {
      RunCalendar calendar = of(job.spec());
      if (calendar != null) {
        boolean holds = holds(job);
        ledger.setExcludedFromPlanning(job, holds && !soon(calendar, job));
        if (holds) {
          held.add(job.spec().ref());
        }
      }
    }
    boolean released = !held.containsAll(heldBefore);
    heldBefore = held;
    if (released) {
      changed.run();
    }
  }

  /** True from a boot before the usual release on. */
  private boolean soon(RunCalendar calendar, Job job) {
    long start = calendar.cycle(job.acceptedWallMs());
    double usual = cycle(calendar.name()).usualLagMs(calendar.cutOffMs());
    return clock.wall() >= start + usual - 1000 * bootS.getAsDouble();
  }

  // ---- asked by the others ----

  private RunCalendar of(Submission submission) {
    for (RunCalendar calendar : calendars.values()) {
      if (calendar.isRun(submission)) {
        return calendar;
      }
    }
    return null;
  }

  /** True while a job has to wait for its cycle. */
  public boolean holds(Job job) {
    RunCalendar calendar = calendars.isEmpty() ? null : of(job.spec());
    if (calendar == null) {
      return false;
    }
    long start = calendar.cycle(job.acceptedWallMs());
    return cycle(calendar.name()).start() < start && clock.wall() - start < calendar.cutOffMs();
  }

  /** True for a run of the cycle released last: it goes first of its rank. */
  public boolean goesFirst(Job job) {
    RunCalendar calendar = calendars.isEmpty() ? null : of(job.spec());
    return calendar != null
        && cycle(calendar.name()).start() == calendar.cycle(job.acceptedWallMs());
  }

  /** A job is about to be recorded as done: if it is a delivery, it is marked with the same put. */
  public void finishing(Job job, Txn txn) {
    for (RunCalendar calendar : calendars.values()) {
      if (calendar.isDelivery(job.spec())) {
        long start = calendar.cycle(job.acceptedWallMs());
        if (delivered(calendar, start) < calendar.complete()
            && start > cycle(calendar.name()).start()) {
          txn.put(mark(calendar.name(), start, job.spec().ref()), Json.object());
        }
      }
    }
  }

  /** How many marks {@link #finishing} may add to a transaction. */
  public int mostMarks() {
    return calendars.size();
  }

  private static String mark(String name, long start, String ref) {
    return StateKeys.CALENDAR + name + "/" + start + "/" + ref;
  }

  private int delivered(RunCalendar calendar, long start) {
    return marks.getOrDefault(calendar.name(), Map.of()).getOrDefault(start, Set.of()).size();
  }

  private Cycle cycle(String name) {
    return cycles.getOrDefault(name, Cycle.NONE);
  }

  // ---- views ----

  /** How a calendar stands. */
  public record CalendarStatus(
      String name,
      String state,
      long cycle,
      int delivered,
      int complete,
      long nextMs,
      String lastBy,
      double lastLagS,
      int held) {}

  /** All calendars, in the order of the file. */
  public List<CalendarStatus> statuses() {
    List<CalendarStatus> out = new ArrayList<>();
    long wall = clock.wall();
    for (RunCalendar calendar : calendars.values()) {
      long current = calendar.cycle(wall);
      Cycle last = cycle(calendar.name());
      int delivered = delivered(calendar, current);
      String stands =
          last.start() >= current ? "released" : delivered > 0 ? "gathering" : "waiting";
      long held = ledger.jobs().stream().filter(j -> calendar.isRun(j.spec()) && holds(j)).count();
      out.add(
          new CalendarStatus(
              calendar.name(),
              stands,
              current,
              Math.max(delivered, last.start() == current ? last.delivered() : 0),
              calendar.complete(),
              calendar.next(current) - wall,
              last.start() == 0 ? null : last.by().shown(),
              (last.at() - last.start()) / 1000.0,
              (int) held));
    }
    return out;
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
