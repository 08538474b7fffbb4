package dapplestair.cancellations;

import dapplestair.ports.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * Cancellations that this controller confirmed to users and that are not known to be complete. Also
 * holds cancellations that other controllers confirmed: this controller adopts them once their
 * controller has ended.
 */
final class OpenCancellations {
  private static final long THIS_CONTROLLER = 0;

  private static final class OpenCancellation {
    final long userToldAtMs;
    long ownerProcess;
    long leaderConfirmedAtMs = CancellationWatermark.NEVER;

    OpenCancellation(long userToldAtMs, long ownerProcess) {
      this.userToldAtMs = userToldAtMs;
      this.ownerProcess = ownerProcess;
    }

    boolean isOwnedHere() {
      return ownerProcess == THIS_CONTROLLER;
    }
  }

  private final Clock clock;
  private final KnownCancellations knownCancellations;
  private final long leaderConfirmationValidMs;
  private final Map<String, OpenCancellation> openByJob = new LinkedHashMap<>();

  /**
   * Creates an empty set. A leader's confirmation that it handles a cancellation is valid for
   * {@code leaderConfirmationValidMs}.
   */
  OpenCancellations(
      Clock clock, KnownCancellations knownCancellations, long leaderConfirmationValidMs) {
    this.clock = clock;
    this.knownCancellations = knownCancellations;
    this.leaderConfirmationValidMs = leaderConfirmationValidMs;
  }

  /** Adds a cancellation that this controller now confirms to its user. */
  void addOwn(String ref) {
    openByJob.put(ref, new OpenCancellation(clock.now(), THIS_CONTROLLER));
  }

  /**
   * Adds a cancellation that another controller confirmed {@code ageMs} ago; that controller's
   * process follows it up.
   */
  void addFromPeer(String ref, long ownerProcess, long ageMs) {
    openByJob.putIfAbsent(ref, new OpenCancellation(clock.now() - ageMs, ownerProcess));
  }

  /**
   * Adopts the cancellations of controller processes that have ended. During an outage of the state
   * service there is no leader that would read of them. Without adoption, tasks of a cancelled job
   * on a machine that hangs would remain for as long as the machine hangs.
   */
  void adoptOrphaned(LongPredicate isAlive) {
    for (OpenCancellation cancellation : openByJob.values()) {
      if (!cancellation.isOwnedHere() && !isAlive.test(cancellation.ownerProcess)) {
        cancellation.ownerProcess = THIS_CONTROLLER;
        // A leader may be handling it, and is asked before this controller acts.
        cancellation.leaderConfirmedAtMs = clock.now();
      }
    }
  }

  /** Removes a cancellation of which no task is left. */
  void remove(String ref) {
    openByJob.remove(ref);
  }

  /** Removes the cancellations that are complete. */
  void removeIf(Predicate<String> isCarriedOut) {
    openByJob.keySet().removeIf(isCarriedOut);
  }

  /** Records that a leader has just confirmed that it handles this cancellation. */
  void recordLeaderConfirmation(String ref) {
    OpenCancellation cancellation = openByJob.get(ref);
    if (cancellation != null) {
      cancellation.leaderConfirmedAtMs = clock.now();
    }
  }

  /** Returns true if a leader has recently confirmed that it handles this cancellation. */
  boolean isHandledByLeader(String ref) {
    OpenCancellation cancellation = openByJob.get(ref);
    return cancellation == null
        || clock.now() - cancellation.leaderConfirmedAtMs < leaderConfirmationValidMs;
  }

  int size() {
    return ownRefs().size();
  }

  /** Returns for how long the oldest cancellation has been open here, in milliseconds. */
  long oldestAgeMs() {
    return openByJob.values().stream()
        .filter(OpenCancellation::isOwnedHere)
        .mapToLong(cancellation -> clock.now() - cancellation.userToldAtMs)
        .max()
        .orElse(0);
  }

  List<String> ownRefs() {
    return openByJob.entrySet().stream()
        .filter(entry -> entry.getValue().isOwnedHere())
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the cancellations that this controller follows up, with their locations and the time of
   * the confirmation to the user.
   */
  List<Cancellation> ownCancellations() {
    List<Cancellation> cancellations = new ArrayList<>();
    openByJob.forEach(
        (ref, openCancellation) -> {
          Cancellation cancellation = knownCancellations.get(ref);
          if (cancellation != null && openCancellation.isOwnedHere()) {
            cancellations.add(
                new Cancellation(ref, openCancellation.userToldAtMs, cancellation.locations()));
          }
        });
    return cancellations;
  }
}
