package dapplestair.withdrawals;

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
 * The withdrawals that this controller knows of, from whomever, and among them the log of those
 * that it told users itself. Kept for as long as a task of theirs can be anywhere.
 */
public final class KnownWithdrawals {
  /**
   * Beyond these the oldest are forgotten. Whoever forgets one before its time must not vouch for
   * what it knows: see {@link #forgotTooEarly}.
   */
  private static final int MOST_KEPT = 20_000;

  /** A withdrawn job's attempt at a place. */
  public record Task(String ref, Withdrawal.Place place) {}

  private final Clock clock;
  private final long keptMs;
  private final Map<String, Withdrawal> known = new LinkedHashMap<>();
  // What was told to users here, in the order of its telling.
  private final Map<String, Long> numbers = new LinkedHashMap<>();
  private final Set<String> told = new HashSet<>();
  private final Map<String, Set<Task>> byHost = new HashMap<>();
  private long lastNumber;
  private long forgotAt = Long.MIN_VALUE / 2;

  KnownWithdrawals(Clock clock, long keptMs) {
    this.clock = clock;
    this.keptMs = keptMs;
  }

  boolean knows(String ref) {
    return known.containsKey(ref);
  }

  Withdrawal get(String ref) {
    return known.get(ref);
  }

  /** Enters one; true when it is new. What is learned of its places later is added. */
  boolean learn(String ref, long ageMs, List<Withdrawal.Place> places) {
    forget();
    Withdrawal before = known.get(ref);
    if (before == null) {
      Withdrawal w = new Withdrawal(ref, clock.now() - ageMs, List.copyOf(places));
      known.put(ref, w);
      index(w);
      return true;
    }
    List<Withdrawal.Place> more = new ArrayList<>(places);
    more.removeAll(new HashSet<>(before.places()));
    if (!more.isEmpty()) {
      more.addAll(before.places());
      Withdrawal w = new Withdrawal(ref, before.at(), List.copyOf(more));
      known.replace(ref, w);
      index(w);
    }
    return false;
  }

  private void index(Withdrawal w) {
    for (Withdrawal.Place p : w.places()) {
      byHost.computeIfAbsent(p.host(), h -> new HashSet<>()).add(new Task(w.ref(), p));
    }
  }

  /** Attempts of withdrawn jobs that may be on this machine. */
  Set<Task> on(String host) {
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

  /** The place of a withdrawal in this controller's log, or 0. */
  long number(String ref) {
    return numbers.getOrDefault(ref, 0L);
  }

  long lastNumber() {
    return lastNumber;
  }

  /** Entries of the log after a number, oldest first; stops before {@code mostPlaces}. */
  List<WithdrawalCodec.Entry> after(long number, int most, int mostPlaces) {
    forget();
    List<WithdrawalCodec.Entry> out = new ArrayList<>();
    int places = 0;
    for (Map.Entry<String, Long> e : numbers.entrySet()) {
      if (e.getValue() <= number) {
        continue;
      }
      Withdrawal w = known.get(e.getKey());
      if (out.size() >= most || places + w.places().size() > mostPlaces) {
        break;
      }
      places += w.places().size();
      out.add(
          new WithdrawalCodec.Entry(
              e.getValue(), w.ref(), Math.max(0, clock.now() - w.at()), w.places()));
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
    Iterator<Withdrawal> oldest = known.values().iterator();
    while (oldest.hasNext()) {
      Withdrawal w = oldest.next();
      boolean old = w.at() < before;
      if (!old && known.size() <= MOST_KEPT) {
        return;
      }
      if (!old) {
        forgotAt = clock.now();
      }
      oldest.remove();
      numbers.remove(w.ref());
      told.remove(w.ref());
      for (Withdrawal.Place p : w.places()) {
        Set<Task> on = byHost.get(p.host());
        if (on != null) {
          on.remove(new Task(w.ref(), p));
          if (on.isEmpty()) {
            byHost.remove(p.host());
          }
        }
      }
    }
  }
}
