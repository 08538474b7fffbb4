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
  private static final long OURS = 0;

  private static final class OpenCancellation {
    final long toldAt;
    long teller;
    long carriedOnAt = CancellationWatermark.NEVER;

    OpenCancellation(long toldAt, long teller) {
      this.toldAt = toldAt;
      this.teller = teller;
    }

    boolean ours() {
      return teller == OURS;
    }
  }

  private final Clock clock;
  private final KnownCancellations known;
  private final long carriedOnMs;
  private final Map<String, OpenCancellation> open = new LinkedHashMap<>();

  /** Whoever says that it carries one on is believed for {@code carriedOnMs}. */
  OpenCancellations(Clock clock, KnownCancellations known, long carriedOnMs) {
    this.clock = clock;
    this.known = known;
    this.carriedOnMs = carriedOnMs;
  }

  /** Its user is told now. */
  void told(String ref) {
    open.put(ref, new OpenCancellation(clock.now(), OURS));
  }

  /** Its user was told some time ago by another controller's process, which looks after it. */
  void heard(String ref, long teller, long ageMs) {
    open.putIfAbsent(ref, new OpenCancellation(clock.now() - ageMs, teller));
  }

  /**
   * Takes over from those that have ended. In an outage nobody leads who would read of it: without
   * this, what a machine that hangs runs of a cancelled job would stay for as long as it hangs.
   */
  void adopt(LongPredicate lives) {
    for (OpenCancellation o : open.values()) {
      if (!o.ours() && !lives.test(o.teller)) {
        o.teller = OURS;
        // A leader may carry it on: it is asked before anything is done here.
        o.carriedOnAt = clock.now();
      }
    }
  }

  /** It is proved that nothing is left of it. */
  void proved(String ref) {
    open.remove(ref);
  }

  /** Those of which this holds need nothing more. */
  void prove(Predicate<String> carriedOut) {
    open.keySet().removeIf(carriedOut);
  }

  /** A leader says that it carries this one out. */
  void carriedOnNow(String ref) {
    OpenCancellation o = open.get(ref);
    if (o != null) {
      o.carriedOnAt = clock.now();
    }
  }

  /** True while a leader says that it carries this one out. */
  boolean carriedOn(String ref) {
    OpenCancellation o = open.get(ref);
    return o == null || clock.now() - o.carriedOnAt < carriedOnMs;
  }

  int size() {
    return refs().size();
  }

  /** For how long the oldest has been open, milliseconds. */
  long oldestMs() {
    return open.values().stream()
        .filter(OpenCancellation::ours)
        .mapToLong(o -> clock.now() - o.toldAt)
        .max()
        .orElse(0);
  }

  List<String> refs() {
    return open.entrySet().stream()
        .filter(e -> e.getValue().ours())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Each with its places, as of the moment at which its user was told. */
  List<Cancellation> all() {
    List<Cancellation> out = new ArrayList<>();
    open.forEach(
        (ref, o) -> {
          Cancellation cancellation = known.get(ref);
          if (cancellation != null && o.ours()) {
            out.add(new Cancellation(ref, o.toldAt, cancellation.places()));
          }
        });
    return out;
  }
}
