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
 * The cancellations that this controller knows of from any source, and the log of those that it
 * confirmed to users itself. A cancellation is retained for as long as a task of its job can be
 * left on a machine.
 */
public final class KnownCancellations {
  /**
   * Maximum number of cancellations retained; beyond it the oldest are dropped. A controller that
   * has dropped one too early must not claim to know all: see {@link #hasForgottenTooEarly}.
   */
  private static final int MAX_CANCELLATIONS = 20_000;

  /** An attempt of a cancelled job at a location. */
  public record CancelledTask(String ref, Cancellation.TaskLocation location) {}

  private final Clock clock;
  private final long retentionMs;
  private final Map<String, Cancellation> cancellationsByJob = new LinkedHashMap<>();
  // The log: jobs whose cancellation this controller confirmed, in the order of confirmation.
  private final Map<String, Long> logNumbers = new LinkedHashMap<>();
  private final Set<String> jobsToldToUsers = new HashSet<>();
  private final Map<String, Set<CancelledTask>> tasksByHost = new HashMap<>();
  private long lastLogNumber;
  private long forgotTooEarlyAtMs = Long.MIN_VALUE / 2;

  KnownCancellations(Clock clock, long retentionMs) {
    this.clock = clock;
    this.retentionMs = retentionMs;
  }

  boolean contains(String ref) {
    return cancellationsByJob.containsKey(ref);
  }

  Cancellation get(String ref) {
    return cancellationsByJob.get(ref);
  }

  /**
   * Adds a cancellation, or adds the locations that were not known to one that is already there.
   * Returns true if the cancellation is new.
   */
  boolean learn(String ref, long ageMs, List<Cancellation.TaskLocation> locations) {
    removeExpired();
    Cancellation previous = cancellationsByJob.get(ref);
    if (previous == null) {
      Cancellation cancellation =
          new Cancellation(ref, clock.now() - ageMs, List.copyOf(locations));
      cancellationsByJob.put(ref, cancellation);
      index(cancellation);
      return true;
    }
    List<Cancellation.TaskLocation> newLocations = new ArrayList<>(locations);
    newLocations.removeAll(new HashSet<>(previous.locations()));
    if (!newLocations.isEmpty()) {
      newLocations.addAll(previous.locations());
      Cancellation cancellation =
          new Cancellation(ref, previous.knownSinceMs(), List.copyOf(newLocations));
      cancellationsByJob.replace(ref, cancellation);
      index(cancellation);
    }
    return false;
  }

  private void index(Cancellation cancellation) {
    for (Cancellation.TaskLocation location : cancellation.locations()) {
      tasksByHost
          .computeIfAbsent(location.host(), h -> new HashSet<>())
          .add(new CancelledTask(cancellation.ref(), location));
    }
  }

  /** Returns the attempts of cancelled jobs that may be on this machine. */
  Set<CancelledTask> tasksOn(String host) {
    return tasksByHost.getOrDefault(host, Set.of());
  }

  /**
   * Records that this controller or another one confirms the cancellation to a user. Returns true
   * the first time.
   */
  boolean markToldToUser(String ref) {
    return cancellationsByJob.containsKey(ref) && jobsToldToUsers.add(ref);
  }

  /**
   * Adds a cancellation to the log that this controller is about to confirm to a user. Returns
   * false if the log already has it.
   */
  boolean appendToLog(String ref) {
    if (logNumbers.containsKey(ref)) {
      return false;
    }
    logNumbers.put(ref, ++lastLogNumber);
    return true;
  }

  /** Returns true if this controller confirmed the cancellation to a user. */
  boolean isInLog(String ref) {
    return logNumbers.containsKey(ref);
  }

  /** Returns the number of a cancellation in this controller's log, or 0 if it is not there. */
  long logNumber(String ref) {
    return logNumbers.getOrDefault(ref, 0L);
  }

  long lastLogNumber() {
    return lastLogNumber;
  }

  /**
   * Returns the log entries after the given number, oldest first: at most {@code maxEntries}, with
   * at most {@code maxLocations} locations in total.
   */
  List<CancellationCodec.LogEntry> entriesAfter(long number, int maxEntries, int maxLocations) {
    removeExpired();
    List<CancellationCodec.LogEntry> entries = new ArrayList<>();
    int locationCount = 0;
    for (Map.Entry<String, Long> numberByJob : logNumbers.entrySet()) {
      if (numberByJob.getValue() <= number) {
        continue;
      }
      Cancellation cancellation = cancellationsByJob.get(numberByJob.getKey());
      if (entries.size() >= maxEntries
          || locationCount + cancellation.locations().size() > maxLocations) {
        break;
      }
      locationCount += cancellation.locations().size();
      entries.add(
          new CancellationCodec.LogEntry(
              numberByJob.getValue(),
              cancellation.ref(),
              Math.max(0, clock.now() - cancellation.knownSinceMs()),
              cancellation.locations()));
    }
    return entries;
  }

  /** Returns true if a cancellation was dropped that may still matter. */
  boolean hasForgottenTooEarly() {
    return clock.now() - forgotTooEarlyAtMs < retentionMs;
  }

  /** Removes cancellations that have expired, or that exceed the maximum number. */
  void removeExpired() {
    long expiryMs = clock.now() - retentionMs;
    Iterator<Cancellation> oldest = cancellationsByJob.values().iterator();
    while (oldest.hasNext()) {
      Cancellation cancellation = oldest.next();
      boolean expired = cancellation.knownSinceMs() < expiryMs;
      if (!expired && cancellationsByJob.size() <= MAX_CANCELLATIONS) {
        return;
      }
      if (!expired) {
        forgotTooEarlyAtMs = clock.now();
      }
      oldest.remove();
      logNumbers.remove(cancellation.ref());
      jobsToldToUsers.remove(cancellation.ref());
      for (Cancellation.TaskLocation location : cancellation.locations()) {
        Set<CancelledTask> hostTasks = tasksByHost.get(location.host());
        if (hostTasks != null) {
          hostTasks.remove(new CancelledTask(cancellation.ref(), location));
          if (hostTasks.isEmpty()) {
            tasksByHost.remove(location.host());
          }
        }
      }
    }
  }
}
