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
 * Follows all keys under one prefix: a listing, then the stream of changes. The read barrier shares
 * the same stream, so passing it means that the replica holds all that was there when it was asked.
 */
public final class Replica {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** Told of every change, in order. */
  public interface Listener {
    /** A key has this value now. */
    void put(String key, JsonNode value, long stamp);

    /** A key is gone. */
    void removed(String key);

    /** The replica is complete, for the first time or again. */
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
  // Jobs that were held before all was forgotten, and whose end nobody has been told.
  private final Set<String> jobsBeforeRestart = new HashSet<>();
  private long asOfMs = Long.MIN_VALUE / 2;
  private long appliedEpoch;
  private boolean ready;
  private boolean barrierRunning;
  private int generation;
  private long backoffMs;

  /** {@code needsLowLatency} says whether changes matter at once, as they do to a leader. */
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

  /** Begins, or begins again from a listing. */
  public void reload() {
    generation++;
    ready = false;
    list(generation, null, -1, new HashMap<>());
  }

  /** Forgets everything without telling anybody, and begins again. */
  public void restart() {
    // A job that ends while nothing is held has ended for those who knew it all the same.
    stampsByKey.keySet().stream()
        .filter(k -> k.startsWith(StateKeys.JOB))
        .forEach(jobsBeforeRestart::add);
    stampsByKey.clear();
    reload();
  }

  /**
   * True when a job was held as not over when everything was forgotten, and the listing that tells
   * what became of it has not been read yet.
   */
  public boolean heldBeforeRestart(String job) {
    return jobsBeforeRestart.contains(StateKeys.job(job));
  }

  /** True once complete. */
  public boolean isReady() {
    return ready;
  }

  /** The epoch up to which it holds all changes. */
  public long appliedEpoch() {
    return appliedEpoch;
  }

  /**
   * All that was in the state service at this moment, steady time, has been told to the listener;
   * far in the past before the first time.
   */
  public long asOfMs() {
    return asOfMs;
  }

  /** Stamp of a key, 0 when it does not exist. */
  public long stamp(String key) {
    return stampsByKey.getLong(key);
  }

  /** All keys there are. */
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
          // Pages are not one moment: changes since the first page are replayed over them.
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
            LOG.info("replica complete: {} keys at {}", stampsByKey.size(), appliedEpoch);
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

  /** Applies a reply of changes. False when there was none to apply. */
  private boolean apply(HttpReply reply) {
    if (reply.status() == 410) {
      LOG.info("the stream of changes was lost at {}, listing again", appliedEpoch);
      reload();
      return false;
    }
    JsonNode body = reply.ok() ? Json.parse(reply.body()) : null;
    if (body == null || !body.has("epoch")) {
      return false;
    }
    int gen = generation;
    for (JsonNode node : body.path("news")) {
      // A change can make this controller lead no more and the replica begin again: what follows
      // must not be applied to the emptied replica, nor a barrier pass on it.
      if (gen != generation) {
        return false;
      }
      long stamp = Json.number(node, "stamp", 0);
      String removedKey = Json.text(node, "remove");
      String key = removedKey != null ? removedKey : Json.text(node, "put");
      // Two streams (follower and barrier) may bring the same change, or an older one late.
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
   * Calls {@code done} with true once the replica holds everything that was in the state service at
   * this moment, or with false when that could not be learnt.
   */
  public void barrier(Consumer<Boolean> done) {
    pendingBarriers.add(done);
    if (!barrierRunning) {
      barrierRunning = true;
      // All that come in the same turn share one request.
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
          // One that waits may make the replica begin again, as by a change of role: those after it
          // must not find it emptied and take that for what the state service holds.
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
