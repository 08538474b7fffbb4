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
   * what it knows: see {@link #hasForgottenTooEarly}.
   */
  private static final int MAX_CANCELLATIONS = 20_000;

  /** A cancelled job's attempt at a place. */
  public record CancelledTask(String ref, Cancellation.TaskLocation location) {}

  private final Clock clock;
  private final long retentionMs;
  private final Map<String, Cancellation> cancellationsByJob = new LinkedHashMap<>();
  // What was told to users here, in the order of its telling.
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

  /** Enters one; true when it is new. What is learned of its places later is added. */
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

  /** Attempts of cancelled jobs that may be on this machine. */
  Set<CancelledTask> tasksOn(String host) {
    return tasksByHost.getOrDefault(host, Set.of());
  }

  /** A user is told of it, here or elsewhere. True the first time. */
  boolean markToldToUser(String ref) {
    return cancellationsByJob.containsKey(ref) && jobsToldToUsers.add(ref);
  }

  /** It is about to be told to a user here. False if it was before. */
  boolean appendToLog(String ref) {
    if (logNumbers.containsKey(ref)) {
      return false;
    }
    logNumbers.put(ref, ++lastLogNumber);
    return true;
  }

  /** True when a user was told of it here. */
  boolean isInLog(String ref) {
    return logNumbers.containsKey(ref);
  }

  /** The place of a cancellation in this controller's log, or 0. */
  long logNumber(String ref) {
    return logNumbers.getOrDefault(ref, 0L);
  }

  long lastLogNumber() {
    return lastLogNumber;
  }

  /** Entries of the log after a number, oldest first; stops before {@code maxLocations}. */
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

  /** True when something was forgotten that may matter still. */
  boolean hasForgottenTooEarly() {
    return clock.now() - forgotTooEarlyAtMs < retentionMs;
  }

  /** What is too old to matter goes. */
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
