package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
final class StandInState implements Network.Place {
  private record Row(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private record Watch(String prefix, long from, long until, Consumer<HttpReply> reply) {}

  private final Sim sim;
  private final int txnOps;
  private final int valueBytes;
  final TreeMap<String, JsonNode> view = new TreeMap<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> holdEnds = new HashMap<>();
  private final Map<Long, Long> holdTtl = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  final Set<String> refused = new HashSet<>();
  boolean down;
  private long epoch;
  private long lastHold;
  int puts;
  String violation;

  StandInState(Sim sim, int txnOps, int valueBytes) {
    this.sim = sim;
    this.txnOps = txnOps;
    this.valueBytes = valueBytes;
    tick();
  }

  private void tick() {
    if (!down) {
      for (long h : List.copyOf(holdEnds.keySet())) {
        if (holdEnds.get(h) < sim.now()) {
          endHold(h);
        }
      }
    }
    sim.after(50, this::tick);
    for (Watch w : List.copyOf(watches)) {
      if (!down && w.until <= sim.now()) {
        watches.remove(w);
        w.reply.accept(news(w.prefix, w.from));
      }
    }
  }

  void recover() {
    down = false;
    holdEnds.replaceAll((h, end) -> sim.now() + holdTtl.get(h));
  }

  private void endHold(long h) {
    holdEnds.remove(h);
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
      view.remove(key);
      changes.add(new Change(key, null, epoch));
    }
  }

  private void wake() {
    for (Watch w : List.copyOf(watches)) {
      if (!down && changes.get(changes.size() - 1).stamp > w.from) {
        HttpReply r = news(w.prefix, w.from);
        if (Json.parse(r.body()).path("news").size() > 0) {
          watches.remove(w);
          w.reply.accept(r);
        }
      }
    }
  }

  @Override
  public void request(
      String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
    if (down || refused.contains(from)) {
      reply.accept(json(503, Json.object()));
      return;
    }
    JsonNode in = body == null ? Json.object() : Json.parse(body);
    if (path.equals("/commit")) {
      reply.accept(commit(in));
    } else if (path.startsWith("/kv/")) {
      Row r = rows.get(path.substring(4));
      reply.accept(
          r == null
              ? json(404, Json.object().put("epoch", epoch))
              : json(200, row(path.substring(4), r)));
    } else if (path.startsWith("/kv?")) {
      reply.accept(list(query(path, "prefix"), query(path, "from")));
    } else if (path.startsWith("/changes")) {
      long since = Long.parseLong(query(path, "from"));
      String prefix = query(path, "prefix");
      HttpReply now = news(prefix, since);
      long block = Long.parseLong(query(path, "blockMs"));
      if (block == 0 || now.status() != 200 || Json.parse(now.body()).path("news").size() > 0) {
        reply.accept(now);
      } else {
        watches.add(new Watch(prefix, since, sim.now() + block, reply));
      }
    } else if (path.equals("/holds")) {
      long ttl = in.path("ttlMs").asLong();
      holdEnds.put(++lastHold, sim.now() + ttl);
      holdTtl.put(lastHold, ttl);
      reply.accept(json(200, Json.object().put("hold", lastHold)));
    } else {
      long h = Long.parseLong(path.split("/")[2]);
      if (!holdEnds.containsKey(h)) {
        reply.accept(json(404, Json.object()));
      } else if (method.equals("DELETE")) {
        endHold(h);
        reply.accept(json(200, Json.object()));
      } else {
        holdEnds.put(h, sim.now() + holdTtl.get(h));
        reply.accept(json(200, Json.object()));
      }
    }
  }

  private HttpReply commit(JsonNode in) {
    if (in.path("writes").size() > txnOps || in.path("when").size() > 4 * txnOps) {
      violation = "transaction too large: " + in;
      return json(400, Json.object().put("error", "too large"));
    }
    ArrayNode failed = Json.array();
    for (JsonNode c : in.path("when")) {
      Row r = rows.get(c.path("k").asText());
      if ((r == null ? 0 : r.stamp) != c.path("stamp").asLong()) {
        failed.add(c.path("k").asText());
      }
    }
    for (JsonNode w : in.path("writes")) {
      if (w.has("hold") && !holdEnds.containsKey(w.path("hold").asLong())) {
        return json(400, Json.object().put("error", "no such lease"));
      }
      if (w.has("put") && Json.bytes(w.get("value")).length > valueBytes) {
        violation = "value too large under " + w.path("put").asText();
        return json(400, Json.object().put("error", "value too large"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode o = Json.object().put("epoch", epoch);
      o.set("failed", failed);
      return json(409, o);
    }
    if (in.path("writes").size() > 0) {
      epoch++;
      puts += in.path("writes").size();
      for (JsonNode w : in.path("writes")) {
        if (w.has("put")) {
          String k = w.path("put").asText();
          rows.put(k, new Row(w.get("value"), epoch, w.path("hold").asLong(0)));
          view.put(k, w.get("value"));
          changes.add(new Change(k, w.get("value"), epoch));
        } else {
          remove(w.path("remove").asText());
        }
      }
    }
    HttpReply reply = json(200, Json.object().put("epoch", epoch));
    if (!changes.isEmpty()) {
      wake();
    }
    return reply;
  }

  private HttpReply list(String prefix, String from) {
    ObjectNode o = Json.object();
    ArrayNode out = o.putArray("rows");
    boolean more = false;
    for (Map.Entry<String, Row> e :
        rows.tailMap(from == null ? prefix : from, from == null).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      // Small pages, so that listings take several.
      if (out.size() >= 40) {
        more = true;
        break;
      }
      out.add(row(e.getKey(), e.getValue()));
    }
    return json(200, o.put("more", more).put("epoch", epoch));
  }

  private HttpReply news(String prefix, long from) {
    if (changes.size() > 400 && changes.get(changes.size() - 400).stamp > from) {
      return json(410, Json.object());
    }
    ObjectNode o = Json.object().put("epoch", epoch);
    ArrayNode out = o.putArray("news");
    for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp > from; i--) {
      Change c = changes.get(i);
      if (c.key.startsWith(prefix)) {
        ObjectNode n = Json.object().put("stamp", c.stamp);
        if (c.value == null) {
          n.put("remove", c.key);
        } else {
          n.put("put", c.key).set("value", c.value);
        }
        out.insert(0, n);
      }
    }
    return json(200, o);
  }

  private static ObjectNode row(String key, Row r) {
    ObjectNode o = Json.object().put("k", key).put("stamp", r.stamp);
    o.set("value", r.value);
    return o;
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
