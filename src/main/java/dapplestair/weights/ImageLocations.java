package dapplestair.weights;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Sets;
import com.google.common.hash.Hashing;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which machines hold which image, on record, so that a new leader places by it at once. A report
 * names no image: what is known of one comes from launches and starts, which the next leader has
 * not seen. Hints only: what a machine has given up since is fetched again, and nothing else
 * follows from it.
 */
public final class ImageLocations implements AutoCloseable {
  // A put at a time, so many reports apart: a part in a hundred of what a busy day writes.
  private static final int REPORTS_APART = 2;

  // An image's record is written again once so much of it has changed.
  private static final double CHANGED = 0.1;
  private static final int CHANGED_LEAST = 2;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final FencedWriter writer;
  private final Leadership leadership;
  private final WorkerManager workers;

  // By key, what the records say, and for which image.
  private final Map<String, ImageHolders> records = new HashMap<>();
  private Cancellable timer = () -> {};
  private long ledSince;
  private boolean leading;
  private boolean writing;

  /** Nothing is known. */
  public ImageLocations(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      WorkerManager workers) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.leadership = leadership;
    this.workers = workers;
  }

  // ---- what the replica says ----

  /**
   * An image's key has this value, or is gone. A leader is the only one who writes, and what it
   * meant to write counts: a value that did not take all machines is not to be written again and
   * again, before all others.
   */
  public void recorded(String key, JsonNode value) {
    if (leading) {
      return;
    }
    if (value == null) {
      records.remove(key);
    } else {
      records.put(key, ImageHolders.parse(value));
    }
  }

  /** Forgets all: the replica tells its records again. */
  public void clear() {
    writer.reset();
    timer.cancel();
    records.clear();
    leading = false;
    writing = false;
  }

  // ---- leading ----

  /** Takes up what is on record; to be called before anything is placed. */
  public void lead() {
    writer.reset();
    leading = true;
    ledSince = clock.now();
    hint();
    timer = timers.after(settings.workers().reportMs(), this::tick);
  }

  /** Machines become known one after the other, for a while after a leader's beginning. */
  private void hint() {
    for (ImageHolders holders : records.values()) {
      for (String id : holders.machines()) {
        Host host = workers.findHost(id);
        if (host != null) {
          host.images().hinted(holders.image(), holders.gb());
        }
      }
    }
  }

  private void tick() {
    // Until all have been heard what is known of them is less than what is on record.
    if (clock.now() - ledSince < 2 * settings.workers().reportMs()) {
      hint();
    } else if (!writing && state.reachable()) {
      writeMostChanged();
    }
    timer = timers.after(REPORTS_APART * settings.workers().reportMs(), this::tick);
  }

  private void writeMostChanged() {
    String worst = null;
    double most = 0;
    Map<String, ImageHolders> now = now();
    for (String key : Sets.union(now.keySet(), records.keySet())) {
      SortedSet<String> is = now.containsKey(key) ? now.get(key).machines() : new TreeSet<>();
      SortedSet<String> was =
          records.containsKey(key) ? records.get(key).machines() : new TreeSet<>();
      int changed = Sets.symmetricDifference(is, was).size();
      if (changed > most
          && (is.isEmpty() || changed >= Math.max(CHANGED_LEAST, CHANGED * was.size()))) {
        most = changed;
        worst = key;
      }
    }
    if (worst != null) {
      write(worst, now.get(worst));
    }
  }

  private Map<String, ImageHolders> now() {
    Map<String, ImageHolders> out = new TreeMap<>();
    long at = clock.now();
    for (Host host : workers.hosts()) {
      if (host.isUp() && !host.isGone() && !host.isReleasing()) {
        host.images()
            .ready(at)
            .forEach(
                (image, gb) ->
                    out.computeIfAbsent(
                            key(image), k -> new ImageHolders(image, gb, new TreeSet<>()))
                        .machines()
                        .add(host.id()));
      }
    }
    return out;
  }

  private static String key(String image) {
    return StateKeys.WEIGHTS + Hashing.murmur3_128().hashString(image, StandardCharsets.UTF_8);
  }

  private void write(String key, ImageHolders holders) {
    writing = true;
    Txn txn = writer.transaction();
    if (holders == null) {
      txn.remove(key);
    } else {
      txn.put(key, holders.toJson(settings.state().valueBytes()));
    }
    writer.commit(
        txn,
        Priority.BOOKKEEPING,
        outcome -> {
          if (leadership.deposedBy(outcome)) {
            return;
          }
          writing = false;
          if (outcome instanceof TxnOutcome.Applied) {
            if (holders == null) {
              records.remove(key);
            } else {
              records.put(key, holders);
            }
          }
        });
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
