package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Emulates the state service's protocol: transactions, holds (leases to which keys are attached),
 * change watches, outages and limits.
 */
public final class EmulatedState implements RequestHandler {
  private record StoredValue(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private record Watch(String prefix, long fromEpoch, long untilMs, Consumer<HttpReply> reply) {}

  private static final long EXPIRY_CHECK_INTERVAL_MS = 50;

  private final EmulatorEnvironment environment;
  private final EmulatorSettings emulatorSettings;
  private final TreeMap<String, StoredValue> rows = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> holdExpiryMs = new HashMap<>();
  private final Map<Long, Long> holdTtlMs = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refusedCallers = new HashSet<>();
  private final WriteLimit writeLimit;
  private int rateLimitedTransactions;
  private boolean down;
  private long epoch;
  private long lastHoldId;
  private long lastDroppedEpoch;
  private int writeCount;
  private final Multiset<String> writtenKeys = HashMultiset.create();
  private String violation;

  /** Creates an empty store. */
  public EmulatedState(EmulatorEnvironment environment, EmulatorSettings emulatorSettings) {
    this.environment = environment;
    this.emulatorSettings = emulatorSettings;
    this.writeLimit = new WriteLimit(emulatorSettings.maxWritesPerSecond(), environment.now());
    checkExpiry();
  }

  // ---- inspection and fault injection ----

  /** Returns the current value of a key, or null. */
  public JsonNode value(String key) {
    StoredValue row = rows.get(key);
    return row == null ? null : row.value;
  }

  /** Returns all current keys with this prefix, in order. */
  public List<String> keys(String prefix) {
    return List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /** Returns the current revision of the store. */
  public long epoch() {
    return epoch;
  }

  /** Returns the number of puts and deletes so far. */
  public int writeCount() {
    return writeCount;
  }

  /** Returns the number of puts and deletes of keys with this prefix so far. */
  public int writeCountUnder(String prefix) {
    return writtenKeys.entrySet().stream()
        .filter(e -> e.getElement().startsWith(prefix))
        .mapToInt(Multiset.Entry::getCount)
        .sum();
  }

  /** Returns the number of transactions that were answered with 429 so far. */
  public int rateLimitedTransactions() {
    return rateLimitedTransactions;
  }

  /** Returns the last protocol violation by a client, or null. */
  public String violation() {
    return violation;
  }

  /** Begins an outage, in which all requests are answered with 503. */
  public void beginOutage() {
    down = true;
  }

  /** Ends an outage. Every hold gets its full time to live again. */
  public void endOutage() {
    down = false;
    holdExpiryMs.replaceAll((h, end) -> environment.now() + holdTtlMs.get(h));
  }

  /** Sets whether requests of this caller are answered with 503. */
  public void setRefused(String caller, boolean refuse) {
    if (refuse) {
      refusedCallers.add(caller);
    } else {
      refusedCallers.remove(caller);
    }
  }

  // ---- expiry of holds, notification of watches ----

  private void checkExpiry() {
    if (!down) {
      for (long holdId : List.copyOf(holdExpiryMs.keySet())) {
        if (holdExpiryMs.get(holdId) < environment.now()) {
          endHold(holdId);
        }
      }
      for (Watch watch : List.copyOf(watches)) {
        if (watch.untilMs <= environment.now()) {
          watches.remove(watch);
          watch.reply.accept(changesReply(watch.prefix, watch.fromEpoch));
        }
      }
    }
    environment.after(EXPIRY_CHECK_INTERVAL_MS, this::checkExpiry);
  }

  private void endHold(long holdId) {
    holdExpiryMs.remove(holdId);
    holdTtlMs.remove(holdId);
    List<String> attached = new ArrayList<>();
    rows.forEach(
        (k, r) -> {
          if (r.hold == holdId) {
            attached.add(k);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(this::remove);
      notifyWatches();
    }
  }

  private void remove(String key) {
    if (rows.remove(key) != null) {
      changes.add(new Change(key, null, epoch));
    }
  }

  private void notifyWatches() {
    if (changes.size() > 2 * emulatorSettings.changesKept()) {
      List<Change> old = changes.subList(0, changes.size() - emulatorSettings.changesKept());
      lastDroppedEpoch = old.get(old.size() - 1).stamp;
      old.clear();
    }
    for (Watch watch : List.copyOf(watches)) {
      if (!down && hasChanges(watch.prefix, watch.fromEpoch)) {
        watches.remove(watch);
        watch.reply.accept(changesReply(watch.prefix, watch.fromEpoch));
      }
    }
  }

  // ---- protocol ----

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down || refusedCallers.contains(from)) {
      reply.accept(jsonReply(503, Json.object()));
      return;
    }
    JsonNode requestBody = body == null || body.length == 0 ? Json.object() : Json.parse(body);
    if (path.equals("/commit")) {
      reply.accept(commit(requestBody));
    } else if (path.startsWith("/kv/")) {
      String key = path.substring(4);
      StoredValue row = rows.get(key);
      reply.accept(
          row == null
              ? jsonReply(404, Json.object().put("epoch", epoch))
              : jsonReply(200, toRowJson(key, row)));
    } else if (path.startsWith("/kv?")) {
      reply.accept(
          list(
              queryParameter(path, "prefix"),
              queryParameter(path, "from"),
              queryParameter(path, "limit")));
    } else if (path.startsWith("/changes")) {
      watch(path, reply);
    } else if (path.equals("/holds")) {
      long ttl = requestBody.path("ttlMs").asLong();
      holdExpiryMs.put(++lastHoldId, environment.now() + ttl);
      holdTtlMs.put(lastHoldId, ttl);
      reply.accept(jsonReply(200, Json.object().put("hold", lastHoldId)));
    } else if (path.startsWith("/holds/")) {
      reply.accept(renewOrEndHold(method, Long.parseLong(path.split("/")[2])));
    } else {
      reply.accept(jsonReply(400, Json.object().put("error", "no such path")));
    }
  }

  private HttpReply renewOrEndHold(String method, long holdId) {
    if (!holdExpiryMs.containsKey(holdId)) {
      return jsonReply(404, Json.object());
    }
    if (method.equals("DELETE")) {
      endHold(holdId);
    } else {
      holdExpiryMs.put(holdId, environment.now() + holdTtlMs.get(holdId));
    }
    return jsonReply(200, Json.object());
  }

  private void watch(String path, Consumer<HttpReply> reply) {
    long sinceEpoch = Long.parseLong(queryParameter(path, "from"));
    String prefix = queryParameter(path, "prefix");
    String blockMs = queryParameter(path, "blockMs");
    long waitMs = blockMs == null ? 0 : Long.parseLong(blockMs);
    if (waitMs == 0 || isTooOld(sinceEpoch) || hasChanges(prefix, sinceEpoch)) {
      reply.accept(changesReply(prefix, sinceEpoch));
    } else {
      watches.add(new Watch(prefix, sinceEpoch, environment.now() + waitMs, reply));
    }
  }

  private HttpReply commit(JsonNode transaction) {
    if (transaction.path("writes").size() > emulatorSettings.maxTransactionWrites()
        || transaction.path("when").size() > 4 * emulatorSettings.maxTransactionWrites()) {
      violation = "transaction too large: " + transaction;
      return jsonReply(400, Json.object().put("error", "too large"));
    }
    // Transactions whose conditions fail count towards the write limit as well.
    if (!writeLimit.tryAcquire(transaction.path("writes").size(), environment.now())) {
      rateLimitedTransactions++;
      return jsonReply(429, Json.object());
    }
    ArrayNode failed = Json.array();
    for (JsonNode condition : transaction.path("when")) {
      StoredValue row = rows.get(condition.path("k").asText());
      if ((row == null ? 0 : row.stamp) != condition.path("stamp").asLong()) {
        failed.add(condition.path("k").asText());
      }
    }
    for (JsonNode write : transaction.path("writes")) {
      if (write.has("hold") && !holdExpiryMs.containsKey(write.path("hold").asLong())) {
        return jsonReply(400, Json.object().put("error", "no such lease"));
      }
      if (write.has("put")
          && Json.bytes(write.get("value")).length > emulatorSettings.maxValueBytes()) {
        violation = "value too large under " + write.path("put").asText();
        return jsonReply(400, Json.object().put("error", "value too large"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode response = Json.object().put("epoch", epoch);
      response.set("failed", failed);
      return jsonReply(409, response);
    }
    if (!transaction.path("writes").isEmpty()) {
      write(transaction.path("writes"));
    }
    HttpReply reply = jsonReply(200, Json.object().put("epoch", epoch));
    notifyWatches();
    return reply;
  }

  private void write(JsonNode writes) {
    epoch++;
    writeCount += writes.size();
    writes.forEach(w -> writtenKeys.add(w.path(w.has("put") ? "put" : "remove").asText()));
    for (JsonNode write : writes) {
      if (write.has("put")) {
        String key = write.path("put").asText();
        rows.put(key, new StoredValue(write.get("value"), epoch, write.path("hold").asLong(0)));
        changes.add(new Change(key, write.get("value"), epoch));
      } else {
        remove(write.path("remove").asText());
      }
    }
  }

  private HttpReply list(String prefix, String from, String limit) {
    int maxRows =
        Math.min(
            emulatorSettings.maxPageRows(),
            limit == null ? emulatorSettings.maxPageRows() : Integer.parseInt(limit));
    ObjectNode response = Json.object();
    ArrayNode rowArray = response.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, StoredValue> entry :
        rows.tailMap(from == null ? prefix : from, from == null).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (rowArray.size() >= maxRows) {
        more = true;
        break;
      }
      rowArray.add(toRowJson(entry.getKey(), entry.getValue()));
    }
    return jsonReply(200, response.put("more", more).put("epoch", epoch));
  }

  private boolean isTooOld(long sinceEpoch) {
    int count = changes.size();
    return sinceEpoch < lastDroppedEpoch
        || count > emulatorSettings.changesKept()
            && changes.get(count - emulatorSettings.changesKept()).stamp > sinceEpoch;
  }

  /** Returns the index of the first change after a revision. */
  private int firstChangeAfter(long sinceEpoch) {
    int low = 0;
    int high = changes.size();
    while (low < high) {
      int mid = (low + high) >>> 1;
      if (changes.get(mid).stamp > sinceEpoch) {
        high = mid;
      } else {
        low = mid + 1;
      }
    }
    return low;
  }

  private boolean hasChanges(String prefix, long sinceEpoch) {
    return changes.subList(firstChangeAfter(sinceEpoch), changes.size()).stream()
        .anyMatch(c -> c.key.startsWith(prefix));
  }

  private HttpReply changesReply(String prefix, long sinceEpoch) {
    if (isTooOld(sinceEpoch)) {
      return jsonReply(410, Json.object());
    }
    ObjectNode response = Json.object().put("epoch", epoch);
    ArrayNode changeArray = response.putArray("news");
    for (Change change : changes.subList(firstChangeAfter(sinceEpoch), changes.size())) {
      if (change.key.startsWith(prefix)) {
        ObjectNode changeJson = changeArray.addObject().put("stamp", change.stamp);
        if (change.value == null) {
          changeJson.put("remove", change.key);
        } else {
          changeJson.put("put", change.key).set("value", change.value);
        }
      }
    }
    return jsonReply(200, response);
  }

  private static ObjectNode toRowJson(String key, StoredValue row) {
    ObjectNode rowJson = Json.object().put("k", key).put("stamp", row.stamp);
    rowJson.set("value", row.value);
    return rowJson;
  }

  static String queryParameter(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return null;
  }

  static HttpReply jsonReply(int status, JsonNode body) {
    return new HttpReply(status, Json.bytes(body));
  }
}
