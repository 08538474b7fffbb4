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

/** The state service by its protocol: transactions, holds, changes, outages, limits. */
public final class EmulatedState implements RequestHandler {
  private record StoredValue(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private record Watch(String prefix, long from, long until, Consumer<HttpReply> reply) {}

  private static final long TICK_MS = 50;

  private final EmulatorEnvironment environment;
  private final EmulatorSettings emulatorSettings;
  private final TreeMap<String, StoredValue> rows = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> holdEnds = new HashMap<>();
  private final Map<Long, Long> holdTtl = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private final WriteLimit writeLimit;
  private int tooMany;
  private boolean down;
  private long epoch;
  private long lastHold;
  private long forgotten;
  private int puts;
  private final Multiset<String> putKeys = HashMultiset.create();
  private String violation;

  /** An empty store. */
  public EmulatedState(EmulatorEnvironment environment, EmulatorSettings emulatorSettings) {
    this.environment = environment;
    this.emulatorSettings = emulatorSettings;
    this.writeLimit = new WriteLimit(emulatorSettings.writeRps(), environment.now());
    tick();
  }

  // ---- what may be seen and done from outside ----

  /** The value under a key now, or null. */
  public JsonNode value(String key) {
    StoredValue row = rows.get(key);
    return row == null ? null : row.value;
  }

  /** All keys with this prefix now, in order. */
  public List<String> keys(String prefix) {
    return List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /** Its revision now. */
  public long epoch() {
    return epoch;
  }

  /** Puts and deletes made so far. */
  public int puts() {
    return puts;
  }

  /** Puts and deletes of keys with this prefix so far. */
  public int putsTo(String prefix) {
    return putKeys.entrySet().stream()
        .filter(e -> e.getElement().startsWith(prefix))
        .mapToInt(Multiset.Entry::getCount)
        .sum();
  }

  /** Transactions that were answered 429 so far. */
  public int tooMany() {
    return tooMany;
  }

  /** What somebody did that the protocol forbids, or null. */
  public String violation() {
    return violation;
  }

  /** An outage begins. */
  public void fail() {
    down = true;
  }

  /** An outage ends: every hold has its full time again. */
  public void recover() {
    down = false;
    holdEnds.replaceAll((h, end) -> environment.now() + holdTtl.get(h));
  }

  /** One caller alone gets 503, or not any more. */
  public void refuse(String caller, boolean value) {
    if (value) {
      refused.add(caller);
    } else {
      refused.remove(caller);
    }
  }

  // ---- holds and watches ----

  private void tick() {
    if (!down) {
      for (long h : List.copyOf(holdEnds.keySet())) {
        if (holdEnds.get(h) < environment.now()) {
          endHold(h);
        }
      }
      for (Watch watch : List.copyOf(watches)) {
        if (watch.until <= environment.now()) {
          watches.remove(watch);
          watch.reply.accept(news(watch.prefix, watch.from));
        }
      }
    }
    environment.after(TICK_MS, this::tick);
  }

  private void endHold(long h) {
    holdEnds.remove(h);
    holdTtl.remove(h);
    List<String> attached = new ArrayList<>();
    rows.forEach(
        (k, r) -> {
          if (r.hold == h) {
            attached.add(k);
          }
        });
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(this::remove);
      wake();
    }
  }

  private void remove(String key) {
    if (rows.remove(key) != null) {
      changes.add(new Change(key, null, epoch));
    }
  }

  private void wake() {
    if (changes.size() > 2 * emulatorSettings.changesKept()) {
      List<Change> old = changes.subList(0, changes.size() - emulatorSettings.changesKept());
      forgotten = old.get(old.size() - 1).stamp;
      old.clear();
    }
    for (Watch watch : List.copyOf(watches)) {
      if (!down && anyNews(watch.prefix, watch.from)) {
        watches.remove(watch);
        watch.reply.accept(news(watch.prefix, watch.from));
      }
    }
  }

  // ---- the protocol ----

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down || refused.contains(from)) {
      reply.accept(json(503, Json.object()));
      return;
    }
    JsonNode in = body == null || body.length == 0 ? Json.object() : Json.parse(body);
    if (path.equals("/commit")) {
      reply.accept(commit(in));
    } else if (path.startsWith("/kv/")) {
      String key = path.substring(4);
      StoredValue row = rows.get(key);
      reply.accept(
          row == null ? json(404, Json.object().put("epoch", epoch)) : json(200, row(key, row)));
    } else if (path.startsWith("/kv?")) {
      reply.accept(list(query(path, "prefix"), query(path, "from"), query(path, "limit")));
    } else if (path.startsWith("/changes")) {
      watch(path, reply);
    } else if (path.equals("/holds")) {
      long ttl = in.path("ttlMs").asLong();
      holdEnds.put(++lastHold, environment.now() + ttl);
      holdTtl.put(lastHold, ttl);
      reply.accept(json(200, Json.object().put("hold", lastHold)));
    } else if (path.startsWith("/holds/")) {
      reply.accept(hold(method, Long.parseLong(path.split("/")[2])));
    } else {
      reply.accept(json(400, Json.object().put("error", "no such path")));
    }
  }

  private HttpReply hold(String method, long h) {
    if (!holdEnds.containsKey(h)) {
      return json(404, Json.object());
    }
    if (method.equals("DELETE")) {
      endHold(h);
    } else {
      holdEnds.put(h, environment.now() + holdTtl.get(h));
    }
    return json(200, Json.object());
  }

  private void watch(String path, Consumer<HttpReply> reply) {
    long since = Long.parseLong(query(path, "from"));
    String prefix = query(path, "prefix");
    String blockMs = query(path, "blockMs");
    long block = blockMs == null ? 0 : Long.parseLong(blockMs);
    if (block == 0 || tooOld(since) || anyNews(prefix, since)) {
      reply.accept(news(prefix, since));
    } else {
      watches.add(new Watch(prefix, since, environment.now() + block, reply));
    }
  }

  private HttpReply commit(JsonNode in) {
    if (in.path("writes").size() > emulatorSettings.txnOps()
        || in.path("when").size() > 4 * emulatorSettings.txnOps()) {
      violation = "transaction too large: " + in;
      return json(400, Json.object().put("error", "too large"));
    }
    // Transactions whose conditions fail are counted as well.
    if (!writeLimit.allows(in.path("writes").size(), environment.now())) {
      tooMany++;
      return json(429, Json.object());
    }
    ArrayNode failed = Json.array();
    for (JsonNode node : in.path("when")) {
      StoredValue row = rows.get(node.path("k").asText());
      if ((row == null ? 0 : row.stamp) != node.path("stamp").asLong()) {
        failed.add(node.path("k").asText());
      }
    }
    for (JsonNode w : in.path("writes")) {
      if (w.has("hold") && !holdEnds.containsKey(w.path("hold").asLong())) {
        return json(400, Json.object().put("error", "no such lease"));
      }
      if (w.has("put") && Json.bytes(w.get("value")).length > emulatorSettings.valueBytes()) {
        violation = "value too large under " + w.path("put").asText();
        return json(400, Json.object().put("error", "value too large"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode object = Json.object().put("epoch", epoch);
      object.set("failed", failed);
      return json(409, object);
    }
    if (!in.path("writes").isEmpty()) {
      write(in.path("writes"));
    }
    HttpReply reply = json(200, Json.object().put("epoch", epoch));
    wake();
    return reply;
  }

  private void write(JsonNode writes) {
    epoch++;
    puts += writes.size();
    writes.forEach(w -> putKeys.add(w.path(w.has("put") ? "put" : "remove").asText()));
    for (JsonNode w : writes) {
      if (w.has("put")) {
        String k = w.path("put").asText();
        rows.put(k, new StoredValue(w.get("value"), epoch, w.path("hold").asLong(0)));
        changes.add(new Change(k, w.get("value"), epoch));
      } else {
        remove(w.path("remove").asText());
      }
    }
  }

  private HttpReply list(String prefix, String from, String limit) {
    int most =
        Math.min(
            emulatorSettings.pageRows(),
            limit == null ? emulatorSettings.pageRows() : Integer.parseInt(limit));
    ObjectNode object = Json.object();
    ArrayNode out = object.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, StoredValue> entry :
        rows.tailMap(from == null ? prefix : from, from == null).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (out.size() >= most) {
        more = true;
        break;
      }
      out.add(row(entry.getKey(), entry.getValue()));
    }
    return json(200, object.put("more", more).put("epoch", epoch));
  }

  private boolean tooOld(long since) {
    int count = changes.size();
    return since < forgotten
        || count > emulatorSettings.changesKept()
            && changes.get(count - emulatorSettings.changesKept()).stamp > since;
  }

  /** Index of the first change after a moment. */
  private int firstAfter(long since) {
    int low = 0;
    int high = changes.size();
    while (low < high) {
      int mid = (low + high) >>> 1;
      if (changes.get(mid).stamp > since) {
        high = mid;
      } else {
        low = mid + 1;
      }
    }
    return low;
  }

  private boolean anyNews(String prefix, long since) {
    return changes.subList(firstAfter(since), changes.size()).stream()
        .anyMatch(c -> c.key.startsWith(prefix));
  }

  private HttpReply news(String prefix, long since) {
    if (tooOld(since)) {
      return json(410, Json.object());
    }
    ObjectNode object = Json.object().put("epoch", epoch);
    ArrayNode out = object.putArray("news");
    for (Change change : changes.subList(firstAfter(since), changes.size())) {
      if (change.key.startsWith(prefix)) {
        ObjectNode n = out.addObject().put("stamp", change.stamp);
        if (change.value == null) {
          n.put("remove", change.key);
        } else {
          n.put("put", change.key).set("value", change.value);
        }
      }
    }
    return json(200, object);
  }

  private static ObjectNode row(String key, StoredValue row) {
    ObjectNode object = Json.object().put("k", key).put("stamp", row.stamp);
    object.set("value", row.value);
    return object;
  }

  static String query(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return null;
  }

  static HttpReply json(int status, JsonNode body) {
    return new HttpReply(status, Json.bytes(body));
  }
}
