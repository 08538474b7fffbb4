package dapplestair.cancellations;

import dapplestair.ports.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * Cancellations that users were told of here and that are not known to be carried out; with them
 * those of other controllers' users, which are looked after here once that controller has ended.
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

  /** Whoever says that it carries one on is believed for {@code leaderConfirmationValidMs}. */
  OpenCancellations(
      Clock clock, KnownCancellations knownCancellations, long leaderConfirmationValidMs) {
    this.clock = clock;
    this.knownCancellations = knownCancellations;
    this.leaderConfirmationValidMs = leaderConfirmationValidMs;
  }

  /** Its user is told now. */
  void addOwn(String ref) {
    openByJob.put(ref, new OpenCancellation(clock.now(), THIS_CONTROLLER));
  }

  /** Its user was told some time ago by another controller's process, which looks after it. */
  void addFromPeer(String ref, long ownerProcess, long ageMs) {
    openByJob.putIfAbsent(ref, new OpenCancellation(clock.now() - ageMs, ownerProcess));
  }

  /**
   * Takes over from those that have ended. In an outage nobody leads who would read of it: without
   * this, what a machine that hangs runs of a cancelled job would stay for as long as it hangs.
   */
  void adoptOrphaned(LongPredicate isAlive) {
    for (OpenCancellation cancellation : openByJob.values()) {
      if (!cancellation.isOwnedHere() && !isAlive.test(cancellation.ownerProcess)) {
        cancellation.ownerProcess = THIS_CONTROLLER;
        // A leader may carry it on: it is asked before anything is done here.
        cancellation.leaderConfirmedAtMs = clock.now();
      }
    }
  }

  /** It is proved that nothing is left of it. */
  void remove(String ref) {
    openByJob.remove(ref);
  }

  /** Those of which this holds need nothing more. */
  void removeIf(Predicate<String> isCarriedOut) {
    openByJob.keySet().removeIf(isCarriedOut);
  }

  /** A leader says that it carries this one out. */
  void recordLeaderConfirmation(String ref) {
    OpenCancellation cancellation = openByJob.get(ref);
    if (cancellation != null) {
      cancellation.leaderConfirmedAtMs = clock.now();
    }
  }

  /** True while a leader says that it carries this one out. */
  boolean isHandledByLeader(String ref) {
    OpenCancellation cancellation = openByJob.get(ref);
    return cancellation == null
        || clock.now() - cancellation.leaderConfirmedAtMs < leaderConfirmationValidMs;
  }

  int size() {
    return ownRefs().size();
  }

  /** For how long the oldest has been open, milliseconds. */
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

  /** Each with its places, as of the moment at which its user was told. */
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
