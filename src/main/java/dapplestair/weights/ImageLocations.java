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
 * Records which machines hold which image, so that a new leader can use this for placement at once.
 * Workers' reports name no images: a leader knows images from launches and starts, which the next
 * leader has not seen. The records are only hints: an image that a machine has dropped since is
 * fetched again, with no other consequence.
 */
public final class ImageLocations implements AutoCloseable {
  // Report intervals between two puts. With one put at a time, this makes up about a hundredth of
  // the writes of a busy day.
  private static final int WRITE_INTERVAL_REPORTS = 2;

  // An image's record is written again when at least this share of its machines, and at least this
  // many machines, have changed.
  private static final double MIN_CHANGED_SHARE = 0.1;
  private static final int MIN_CHANGED_MACHINES = 2;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final FencedWriter writer;
  private final Leadership leadership;
  private final WorkerManager workers;

  // Records by their keys.
  private final Map<String, ImageHolders> recordsByKey = new HashMap<>();
  private Cancellable timer = () -> {};
  private long leadingSinceMs;
  private boolean leading;
  private boolean writeInFlight;

  /** Creates an instance that knows no images yet. */
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

  // ---- records from the replica ----

  /**
   * Applies the record of an image; a null value means that it was removed. A leader ignores
   * records, since it is the only writer and goes by what it intended to write. Otherwise a record
   * too small for all machines would be written again and again, ahead of all others.
   */
  public void applyRecord(String key, JsonNode value) {
    if (leading) {
      return;
    }
    if (value == null) {
      recordsByKey.remove(key);
    } else {
      recordsByKey.put(key, ImageHolders.parse(value));
    }
  }

  /** Drops all state; the replica delivers its records again. */
  public void clear() {
    writer.reset();
    timer.cancel();
    recordsByKey.clear();
    leading = false;
    writeInFlight = false;
  }

  // ---- leading ----

  /** Begins to lead with the recorded hints. Must be called before anything is placed. */
  public void lead() {
    writer.reset();
    leading = true;
    leadingSinceMs = clock.now();
    applyHints();
    timer = timers.after(settings.workers().reportMs(), this::tick);
  }

  /**
   * Applies the recorded hints to the machines that are known. Called repeatedly, since a new
   * leader learns of machines one after the other for a while.
   */
  private void applyHints() {
    for (ImageHolders holders : recordsByKey.values()) {
      for (String id : holders.machineIds()) {
        Host host = workers.findHost(id);
        if (host != null) {
          host.images().recordHint(holders.image(), holders.sizeGb());
        }
      }
    }
  }

  private void tick() {
    // Until all machines have been heard, the records contain more than this leader knows.
    if (clock.now() - leadingSinceMs < 2 * settings.workers().reportMs()) {
      applyHints();
    } else if (!writeInFlight && state.isReachable()) {
      writeMostChanged();
    }
    timer = timers.after(WRITE_INTERVAL_REPORTS * settings.workers().reportMs(), this::tick);
  }

  private void writeMostChanged() {
    String mostChangedKey = null;
    double maxChanged = 0;
    Map<String, ImageHolders> current = currentHolders();
    for (String key : Sets.union(current.keySet(), recordsByKey.keySet())) {
      SortedSet<String> currentIds =
          current.containsKey(key) ? current.get(key).machineIds() : new TreeSet<>();
      SortedSet<String> recordedIds =
          recordsByKey.containsKey(key) ? recordsByKey.get(key).machineIds() : new TreeSet<>();
      int changed = Sets.symmetricDifference(currentIds, recordedIds).size();
      if (changed > maxChanged
          && (currentIds.isEmpty()
              || changed
                  >= Math.max(MIN_CHANGED_MACHINES, MIN_CHANGED_SHARE * recordedIds.size()))) {
        maxChanged = changed;
        mostChangedKey = key;
      }
    }
    if (mostChangedKey != null) {
      write(mostChangedKey, current.get(mostChangedKey));
    }
  }

  private Map<String, ImageHolders> currentHolders() {
    Map<String, ImageHolders> holdersByKey = new TreeMap<>();
    long nowMs = clock.now();
    for (Host host : workers.hosts()) {
      if (host.isUp() && !host.isGone() && !host.isReleasing()) {
        host.images()
            .readyImages(nowMs)
            .forEach(
                (image, gb) ->
                    holdersByKey
                        .computeIfAbsent(
                            key(image), k -> new ImageHolders(image, gb, new TreeSet<>()))
                        .machineIds()
                        .add(host.id()));
      }
    }
    return holdersByKey;
  }

  private static String key(String image) {
    return StateKeys.IMAGE_LOCATIONS
        + Hashing.murmur3_128().hashString(image, StandardCharsets.UTF_8);
  }

  private void write(String key, ImageHolders holders) {
    writeInFlight = true;
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
          if (leadership.stepDownIfDeposed(outcome)) {
            return;
          }
          writeInFlight = false;
          if (outcome instanceof TxnOutcome.Applied) {
            if (holders == null) {
              recordsByKey.remove(key);
            } else {
              recordsByKey.put(key, holders);
            }
          }
        });
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
