package dapplestair.state;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates all keys under {@link StateKeys#LIVE}: a listing first, then the stream of changes.
 * The read barrier reads the same stream, so once it has passed, the replica holds everything that
 * was in the state service when the barrier was requested.
 */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** Receives every change, in order. */
  public interface Listener {
    /** Called when a key was written with this value. */
    void put(String key, JsonNode value, long stamp);

    /** Called when a key was removed. */
    void removed(String key);

    /** Called when the replica is complete, for the first time or after a new listing. */
    void loaded();
  }

  private static final long LONG_POLL_MS = 1000;

  private final StateClient state;
  private final Timers timers;
  private final UniformRandomProvider random;
  private final Listener listener;
  private final BooleanSupplier needsLowLatency;
  private final Object2LongOpenHashMap<String> stampsByKey = new Object2LongOpenHashMap<>();
  private final List<Consumer<Boolean>> pendingBarriers = new ArrayList<>();
  // Keys of jobs that were held before the last restart and that no listing has covered since; the
  // listener has not been told if they ended.
  private final Set<String> jobsBeforeRestart = new HashSet<>();
  private long asOfMs = Long.MIN_VALUE / 2;
  private long appliedEpoch;
  private boolean ready;
  private boolean barrierRunning;
  private int generation;
  private long backoffMs;

  /**
   * Creates an empty replica.
   *
   * @param needsLowLatency returns whether changes are needed at once, as by a leader; the stream
   *     is then read more often
   */
  public Replica(
      StateClient state,
      Timers timers,
      UniformRandomProvider random,
      BooleanSupplier needsLowLatency,
      Listener listener) {
    this.state = state;
    this.timers = timers;
    this.random = random;
    this.needsLowLatency = needsLowLatency;
    this.listener = listener;
  }

  /** Starts to replicate, or starts again from a listing. */
  public void reload() {
    generation++;
    ready = false;
    list(generation, null, -1, new HashMap<>());
  }

  /** Drops all keys without calling the listener, and starts again from a listing. */
  public void restart() {
    // A job may end before the next listing: its removal must still be reported to the listener.
    stampsByKey.keySet().stream()
        .filter(k -> k.startsWith(StateKeys.JOB))
        .forEach(jobsBeforeRestart::add);
    stampsByKey.clear();
    reload();
  }

  /**
   * Returns whether the replica held a job as unfinished before it was restarted, and the listing
   * that shows whether it still exists has not been read yet.
   */
  public boolean heldBeforeRestart(String job) {
    return jobsBeforeRestart.contains(StateKeys.job(job));
  }

  /** Returns whether the replica is complete. */
  public boolean isReady() {
    return ready;
  }

  /** Returns the epoch up to which all changes are applied. */
  public long appliedEpoch() {
    return appliedEpoch;
  }

  /**
   * Returns the latest time, on the steady clock, for which the listener has received everything
   * that was in the state service; a time far in the past before the first complete listing.
   */
  public long asOfMs() {
    return asOfMs;
  }

  /** Returns the stamp of a key, or 0 when it does not exist. */
  public long stamp(String key) {
    return stampsByKey.getLong(key);
  }

  /** Returns all keys. */
  public Set<String> keys() {
    return stampsByKey.keySet();
  }

  private record VersionedValue(JsonNode value, long stamp) {}

  private void list(
      int gen, String fromKey, long firstPageEpoch, Map<String, VersionedValue> rows) {
    state.list(
        StateKeys.LIVE,
        fromKey,
        page -> {
          if (gen != generation) {
            return;
          }
          if (!page.path("rows").isArray() || !page.has("epoch")) {
            retry(() -> list(gen, fromKey, firstPageEpoch, rows));
            return;
          }
          backoffMs = 0;
          String lastKey = fromKey;
          for (JsonNode row : page.get("rows")) {
            lastKey = row.path("k").asText();
            rows.put(lastKey, new VersionedValue(row.get("value"), Json.number(row, "stamp", 0)));
          }
          // Pages are read at different epochs: all changes since the first page's are replayed.
          long startEpoch = firstPageEpoch < 0 ? Json.number(page, "epoch", 0) : firstPageEpoch;
          if (Json.flag(page, "more")) {
            list(gen, lastKey, startEpoch, rows);
          } else {
            replaceContents(rows);
            appliedEpoch = startEpoch;
            catchUp(gen, Json.number(page, "epoch", startEpoch));
          }
        });
  }

  private void replaceContents(Map<String, VersionedValue> rows) {
    for (String key : List.copyOf(stampsByKey.keySet())) {
      if (!rows.containsKey(key)) {
        stampsByKey.removeLong(key);
        listener.removed(key);
      }
    }
    jobsBeforeRestart.removeAll(rows.keySet());
    jobsBeforeRestart.forEach(listener::removed);
    jobsBeforeRestart.clear();
    rows.forEach(
        (key, row) -> {
          if (stampsByKey.getLong(key) != row.stamp) {
            stampsByKey.put(key, row.stamp);
            listener.put(key, row.value, row.stamp);
          }
        });
  }

  private void catchUp(int gen, long targetEpoch) {
    if (gen != generation) {
      return;
    }
    long askedAtMs = state.now();
    state.fetchChanges(
        StateKeys.LIVE,
        appliedEpoch,
        0,
        reply -> {
          if (gen != generation) {
            return;
          }
          boolean applied = apply(reply);
          if (gen != generation) {
            return;
          }
          if (!applied || appliedEpoch < targetEpoch) {
            retry(() -> catchUp(gen, targetEpoch));
          } else {
            ready = true;
            asOfMs = Math.max(asOfMs, askedAtMs);
            LOG.info("replica complete: {} keys at epoch {}", stampsByKey.size(), appliedEpoch);
            listener.loaded();
            follow(gen);
            runBarrier();
          }
        });
  }

  private void follow(int gen) {
    if (gen != generation) {
      return;
    }
    long askedAtMs = state.now();
    state.fetchChanges(
        StateKeys.LIVE,
        appliedEpoch,
        LONG_POLL_MS,
        reply -> {
          if (gen != generation) {
            return;
          }
          boolean applied = apply(reply);
          if (gen != generation) {
            return;
          }
          if (applied) {
            backoffMs = 0;
            asOfMs = Math.max(asOfMs, askedAtMs);
            timers.after(
                state.repeatIntervalMs(needsLowLatency.getAsBoolean() ? 0.5 : 0.2),
                () -> follow(gen));
          } else {
            retry(() -> follow(gen));
          }
        });
  }

  /** Applies the changes of a reply. Returns false when the reply could not be applied whole. */
  private boolean apply(HttpReply reply) {
    if (reply.status() == 410) {
      LOG.info("changes after epoch {} no longer available, listing all keys again", appliedEpoch);
      reload();
      return false;
    }
    JsonNode body = reply.ok() ? Json.parse(reply.body()) : null;
    if (body == null || !body.has("epoch")) {
      return false;
    }
    int gen = generation;
    for (JsonNode node : body.path("news")) {
      // A change can end this controller's lead, which restarts the replica. The remaining changes
      // must not be applied to the emptied replica, nor may a barrier pass on it.
      if (gen != generation) {
        return false;
      }
      long stamp = Json.number(node, "stamp", 0);
      String removedKey = Json.text(node, "remove");
      String key = removedKey != null ? removedKey : Json.text(node, "put");
      // The follower's and the barrier's requests may both return a change, or an older one late.
      if (key == null || stamp <= appliedEpoch) {
        continue;
      }
      if (removedKey != null) {
        if (stampsByKey.removeLong(key) != 0) {
          listener.removed(key);
        }
      } else {
        stampsByKey.put(key, stamp);
        listener.put(key, node.get("value"), stamp);
      }
    }
    if (gen != generation) {
      return false;
    }
    appliedEpoch = Math.max(appliedEpoch, Json.number(body, "epoch", appliedEpoch));
    return true;
  }

  /**
   * Calls {@code done} with true once the replica holds everything that is in the state service at
   * the time of this call, or with false when that could not be established.
   */
  public void barrier(Consumer<Boolean> done) {
    pendingBarriers.add(done);
    if (!barrierRunning) {
      barrierRunning = true;
      // Barriers requested in the same turn of the event loop share one request.
      timers.after(0, this::runBarrier);
    }
  }

  private void runBarrier() {
    if (pendingBarriers.isEmpty()) {
      barrierRunning = false;
      return;
    }
    barrierRunning = true;
    List<Consumer<Boolean>> callbacks = List.copyOf(pendingBarriers);
    pendingBarriers.clear();
    if (!ready) {
      callbacks.forEach(callback -> callback.accept(false));
      barrierRunning = false;
      return;
    }
    int gen = generation;
    long askedAtMs = state.now();
    state.fetchChanges(
        StateKeys.LIVE,
        appliedEpoch,
        0,
        reply -> {
          boolean passed = gen == generation && apply(reply);
          asOfMs = passed ? Math.max(asOfMs, askedAtMs) : asOfMs;
          // A callback may restart the replica, as by a change of role. The callbacks after it must
          // not take the emptied replica for the contents of the state service.
          callbacks.forEach(callback -> callback.accept(passed && gen == generation));
          if (pendingBarriers.isEmpty()) {
            barrierRunning = false;
          } else {
            timers.after(state.repeatIntervalMs(0.15), this::runBarrier);
          }
        });
  }

  private void retry(Runnable action) {
    backoffMs = Math.min(1000, backoffMs == 0 ? 60 : backoffMs * 2);
    timers.after(backoffMs / 2 + random.nextLong(backoffMs), action);
  }
}
