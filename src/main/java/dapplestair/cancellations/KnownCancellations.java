package dapplestair.cancellations;

import dapplestair.ports.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The cancellations that this controller knows of, from whomever, and among them the log of those
 * that it told users itself. Kept for as long as a task of theirs can be anywhere.
 */
public final class KnownCancellations {
  /**
   * Beyond these the oldest are forgotten. Whoever forgets one before its time must not vouch for
   * what it knows: see {@link #forgotTooEarly}.
   */
  private static final int MOST_KEPT = 20_000;

  /** A cancelled job's attempt at a place. */
  public record CancelledTask(String ref, Cancellation.TaskLocation place) {}

  private final Clock clock;
  private final long keptMs;
  private final Map<String, Cancellation> known = new LinkedHashMap<>();
  // What was told to users here, in the order of its telling.
  private final Map<String, Long> numbers = new LinkedHashMap<>();
  private final Set<String> told = new HashSet<>();
  private final Map<String, Set<CancelledTask>> byHost = new HashMap<>();
  private long lastNumber;
  private long forgotAt = Long.MIN_VALUE / 2;

  KnownCancellations(Clock clock, long keptMs) {
    this.clock = clock;
    this.keptMs = keptMs;
  }

  boolean knows(String ref) {
    return known.containsKey(ref);
  }

  Cancellation get(String ref) {
    return known.get(ref);
  }

  /** Enters one; true when it is new. What is learned of its places later is added. */
  boolean learn(String ref, long ageMs, List<Cancellation.TaskLocation> places) {
    forget();
    Cancellation before = known.get(ref);
    if (before == null) {
      Cancellation cancellation = new Cancellation(ref, clock.now() - ageMs, List.copyOf(places));
      known.put(ref, cancellation);
      index(cancellation);
      return true;
    }
    List<Cancellation.TaskLocation> more = new ArrayList<>(places);
    more.removeAll(new HashSet<>(before.places()));
    if (!more.isEmpty()) {
      more.addAll(before.places());
      Cancellation cancellation = new Cancellation(ref, before.at(), List.copyOf(more));
      known.replace(ref, cancellation);
      index(cancellation);
    }
    return false;
  }

  private void index(Cancellation cancellation) {
    for (Cancellation.TaskLocation location : cancellation.places()) {
      byHost
          .computeIfAbsent(location.host(), h -> new HashSet<>())
          .add(new CancelledTask(cancellation.ref(), location));
    }
  }

  /** Attempts of cancelled jobs that may be on this machine. */
  Set<CancelledTask> on(String host) {
    return byHost.getOrDefault(host, Set.of());
  }

  /** A user is told of it, here or elsewhere. True the first time. */
  boolean told(String ref) {
    return known.containsKey(ref) && told.add(ref);
  }

  /** It is about to be told to a user here. False if it was before. */
  boolean log(String ref) {
    if (numbers.containsKey(ref)) {
      return false;
    }
    numbers.put(ref, ++lastNumber);
    return true;
  }

  /** True when a user was told of it here. */
  boolean logged(String ref) {
    return numbers.containsKey(ref);
  }

  /** The place of a cancellation in this controller's log, or 0. */
  long number(String ref) {
    return numbers.getOrDefault(ref, 0L);
  }

  long lastNumber() {
    return lastNumber;
  }

  /** Entries of the log after a number, oldest first; stops before {@code mostPlaces}. */
  List<CancellationCodec.LogEntry> after(long number, int most, int mostPlaces) {
    forget();
    List<CancellationCodec.LogEntry> out = new ArrayList<>();
    int places = 0;
    for (Map.Entry<String, Long> entry : numbers.entrySet()) {
      if (entry.getValue() <= number) {
        continue;
      }
      Cancellation cancellation = known.get(entry.getKey());
      if (out.size() >= most || places + cancellation.places().size() > mostPlaces) {
        break;
      }
      places += cancellation.places().size();
      out.add(
          new CancellationCodec.LogEntry(
              entry.getValue(),
              cancellation.ref(),
              Math.max(0, clock.now() - cancellation.at()),
              cancellation.places()));
    }
    return out;
  }

  /** True when something was forgotten that may matter still. */
  boolean forgotTooEarly() {
    return clock.now() - forgotAt < keptMs;
  }

  /** What is too old to matter goes. */
  void forget() {
    long before = clock.now() - keptMs;
    Iterator<Cancellation> oldest = known.values().iterator();
    while (oldest.hasNext()) {
      Cancellation cancellation = oldest.next();
      boolean old = cancellation.at() < before;
      if (!old && known.size() <= MOST_KEPT) {
        return;
      }
      if (!old) {
        forgotAt = clock.now();
      }
      oldest.remove();
      numbers.remove(cancellation.ref());
      told.remove(cancellation.ref());
      for (Cancellation.TaskLocation location : cancellation.places()) {
        Set<CancelledTask> on = byHost.get(location.host());
        if (on != null) {
          on.remove(new CancelledTask(cancellation.ref(), location));
          if (on.isEmpty()) {
            byHost.remove(location.host());
          }
        }
      }
    }
  }
}
