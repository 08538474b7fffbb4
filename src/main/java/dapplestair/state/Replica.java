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

  private static final long BLOCK_MS = 1000;

  private final StateClient state;
  private final Timers timers;
  private final UniformRandomProvider random;
  private final Listener listener;
  private final BooleanSupplier eager;
  private final Object2LongOpenHashMap<String> stamps = new Object2LongOpenHashMap<>();
  private final List<Consumer<Boolean>> nextBarrier = new ArrayList<>();
  // Jobs that were held before all was forgotten, and whose end nobody has been told.
  private final Set<String> jobsBefore = new HashSet<>();
  private long asOf = Long.MIN_VALUE / 2;
  private long position;
  private boolean ready;
  private boolean barrierRunning;
  private int generation;
  private long backoffMs;

  /** {@code eager} says whether changes matter at once, as they do to a leader. */
  public Replica(
      StateClient state,
      Timers timers,
      UniformRandomProvider random,
      BooleanSupplier eager,
      Listener listener) {
    this.state = state;
    this.timers = timers;
    this.random = random;
    this.eager = eager;
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
    stamps.keySet().stream().filter(k -> k.startsWith(StateKeys.JOB)).forEach(jobsBefore::add);
    stamps.clear();
    reload();
  }

  /**
   * True when a job was held as not over when everything was forgotten, and the listing that tells
   * what became of it has not been read yet.
   */
  public boolean heldBefore(String job) {
    return jobsBefore.contains(StateKeys.job(job));
  }

  /** True once complete. */
  public boolean ready() {
    return ready;
  }

  /** The epoch up to which it holds all changes. */
  public long position() {
    return position;
  }

  /**
   * All that was in the state service at this moment, steady time, has been told to the listener;
   * far in the past before the first time.
   */
  public long asOf() {
    return asOf;
  }

  /** Stamp of a key, 0 when it does not exist. */
  public long stamp(String key) {
    return stamps.getLong(key);
  }

  /** All keys there are. */
  public Set<String> keys() {
    return stamps.keySet();
  }

  private record VersionedValue(JsonNode value, long stamp) {}

  private void list(int gen, String from, long epoch, Map<String, VersionedValue> rows) {
    state.list(
        StateKeys.LIVE,
        from,
        page -> {
          if (gen != generation) {
            return;
          }
          if (!page.path("rows").isArray() || !page.has("epoch")) {
            retry(() -> list(gen, from, epoch, rows));
            return;
          }
          backoffMs = 0;
          String last = from;
          for (JsonNode row : page.get("rows")) {
            last = row.path("k").asText();
            rows.put(last, new VersionedValue(row.get("value"), Json.number(row, "stamp", 0)));
          }
          // Pages are not one moment: changes since the first page are replayed over them.
          long start = epoch < 0 ? Json.number(page, "epoch", 0) : epoch;
          if (Json.flag(page, "more")) {
            list(gen, last, start, rows);
          } else {
            adopt(rows);
            position = start;
            catchUp(gen, Json.number(page, "epoch", start));
          }
        });
  }

  private void adopt(Map<String, VersionedValue> rows) {
    for (String key : List.copyOf(stamps.keySet())) {
      if (!rows.containsKey(key)) {
        stamps.removeLong(key);
        listener.removed(key);
      }
    }
    jobsBefore.removeAll(rows.keySet());
    jobsBefore.forEach(listener::removed);
    jobsBefore.clear();
    rows.forEach(
        (key, row) -> {
          if (stamps.getLong(key) != row.stamp) {
            stamps.put(key, row.stamp);
            listener.put(key, row.value, row.stamp);
          }
        });
  }

  private void catchUp(int gen, long target) {
    if (gen != generation) {
      return;
    }
    long askedAt = state.now();
    state.changes(
        StateKeys.LIVE,
        position,
        0,
        reply -> {
          if (gen != generation) {
            return;
          }
          boolean applied = apply(reply);
          if (gen != generation) {
            return;
          }
          if (!applied || position < target) {
            retry(() -> catchUp(gen, target));
          } else {
            ready = true;
            asOf = Math.max(asOf, askedAt);
            LOG.info("replica complete: {} keys at {}", stamps.size(), position);
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
    long askedAt = state.now();
    state.changes(
        StateKeys.LIVE,
        position,
        BLOCK_MS,
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
            asOf = Math.max(asOf, askedAt);
            timers.after(state.spacingMs(eager.getAsBoolean() ? 0.5 : 0.2), () -> follow(gen));
          } else {
            retry(() -> follow(gen));
          }
        });
  }

  /** Applies a reply of changes. False when there was none to apply. */
  private boolean apply(HttpReply reply) {
    if (reply.status() == 410) {
      LOG.info("the stream of changes was lost at {}, listing again", position);
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
      String removed = Json.text(node, "remove");
      String key = removed != null ? removed : Json.text(node, "put");
      // Two streams (follower and barrier) may bring the same change, or an older one late.
      if (key == null || stamp <= position) {
        continue;
      }
      if (removed != null) {
        if (stamps.removeLong(key) != 0) {
          listener.removed(key);
        }
      } else {
        stamps.put(key, stamp);
        listener.put(key, node.get("value"), stamp);
      }
    }
    if (gen != generation) {
      return false;
    }
    position = Math.max(position, Json.number(body, "epoch", position));
    return true;
  }

  /**
   * Calls {@code done} with true once the replica holds everything that was in the state service at
   * this moment, or with false when that could not be learnt.
   */
  public void barrier(Consumer<Boolean> done) {
    nextBarrier.add(done);
    if (!barrierRunning) {
      barrierRunning = true;
      // All that come in the same turn share one request.
      timers.after(0, this::runBarrier);
    }
  }

  private void runBarrier() {
    if (nextBarrier.isEmpty()) {
      barrierRunning = false;
      return;
    }
    barrierRunning = true;
    List<Consumer<Boolean>> waiting = List.copyOf(nextBarrier);
    nextBarrier.clear();
    if (!ready) {
      waiting.forEach(w -> w.accept(false));
      barrierRunning = false;
      return;
    }
    int gen = generation;
    long askedAt = state.now();
    state.changes(
        StateKeys.LIVE,
        position,
        0,
        reply -> {
          boolean passed = gen == generation && apply(reply);
          asOf = passed ? Math.max(asOf, askedAt) : asOf;
          // One that waits may make the replica begin again, as by a change of role: those after it
          // must not find it emptied and take that for what the state service holds.
          waiting.forEach(w -> w.accept(passed && gen == generation));
          if (nextBarrier.isEmpty()) {
            barrierRunning = false;
          } else {
            timers.after(state.spacingMs(0.15), this::runBarrier);
          }
        });
  }

  private void retry(Runnable again) {
    backoffMs = Math.min(1000, backoffMs == 0 ? 60 : backoffMs * 2);
    timers.after(backoffMs / 2 + random.nextLong(backoffMs), again);
  }
}
