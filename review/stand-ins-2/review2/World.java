package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The platform of a small deployment on loopback: state service, cloud, workers and users as the
 * pages describe them, and the controllers as processes of the deploy file's run line. Each
 * controller has its own port of the state service and of the cloud, so that a trouble can concern
 * one controller alone.
 */
public final class World implements AutoCloseable {
  /** What happens to one request of a controller. */
  public enum Fate {
    PASS,
    /** Answered with 503, not executed. */
    REFUSE,
    /** Neither executed nor answered. */
    DROP,
    /** Executed at once; the answer is lost. */
    LOSE_ANSWER,
    /** Not answered; executed after {@link #lateMs}. */
    LATE,
    /** Executed and answered after {@link #slowMs}. */
    SLOW
  }

  /** Decides the fate of a request of controller {@code member}. */
  public interface Trouble {
    Fate of(int member, String method, String path, JsonNode body);
  }

  static final ObjectMapper JSON = new ObjectMapper();
  static final Duration USER_WAIT = Duration.ofSeconds(2);

  // ---- settings, as of a small deployment; a case may change them before start ----
  public int nodes = 3;
  public String[] zones = {"kalamaria", "pylaia", "sindos"};
  public String[] memberZones = {"kalamaria", "pylaia", "kalamaria"};
  public double reportS = 3;
  public double leaseS = 17;
  public double cancelS = 47;
  public double stateRps = 200;
  public double stateWriteRps = 50;
  public int valueKb = 16;
  public int txnOps = 24;
  public double cloudRps = 5;
  public double listLagS = 4;
  public long stateLatencyMs = 3;
  public long cloudLatencyMs = 80;
  public double bootS = 3;
  public int capacityPerZone = 6;
  public String teams =
      "[[settings.teams]]\nname = \"entoles\"\ncpus = 144.0\ncpus_max = 472.0\n"
          + "[[settings.teams]]\nname = \"kindynos\"\ncpus = 176.0\ncpus_max = 712.0\n";
  public final Map<String, Double> cpusMax = new HashMap<>(Map.of("entoles", 472.0, "kindynos", 712.0));
  public volatile long lateMs = 5000;
  public volatile long slowMs = 500;

  public volatile Trouble stateTrouble = (m, method, path, body) -> Fate.PASS;
  public volatile Trouble cloudTrouble = (m, method, path, body) -> Fate.PASS;

  final long startNanos = System.nanoTime();
  final Random random = new Random(7);
  final PrintWriter record;
  final Path dir;
  final Path repo;
  final ExecutorService pool =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });
  final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          8,
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });
  final List<HttpServer> servers = new ArrayList<>();
  final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .executor(pool)
          .build();
  public final State state = new State();
  public final Cloud cloud = new Cloud();
  public final Member[] members;
  final Map<String, ObjectNode> jobs = new ConcurrentHashMap<>();
  final Map<String, Long> toldCancelled = new ConcurrentHashMap<>();
  public final List<String> violations = new ArrayList<>();

  public World(Path repo, Path recordFile, int nodes) throws IOException {
    this.repo = repo;
    this.nodes = nodes;
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
    this.dir = Files.createTempDirectory("review2-");
    this.members = new Member[nodes];
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    // No script runs for longer than 120 s.
    timers.schedule(
        () -> {
          log("out of time");
          endProcesses();
          Runtime.getRuntime().halt(2);
        },
        117,
        TimeUnit.SECONDS);
  }

  // ---- record ----

  public long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  public synchronized void log(String text) {
    record.printf("%9.3f %s%n", now() / 1000.0, text);
    record.flush();
  }

  public synchronized void violation(String rule, String text) {
    violations.add(rule + ": " + text);
    log("RULE BROKEN " + rule + ": " + text);
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public void sleepUntil(long atMs) {
    sleep(atMs - now());
  }

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static final java.util.Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();
  private static final Random PORTS = new Random();

  /** Returns a free port below the range from which outgoing connections take theirs. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 12_000 + PORTS.nextInt(18_000);
      if (USED_PORTS.add(port)) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return s.getLocalPort();
        } catch (IOException e) {
          // taken, try another
        }
      }
    }
    throw new IOException("no free port");
  }

  interface Handler {
    /** Returns the answer, or null if there is to be none. */
    Reply handle(String method, String path, JsonNode body) throws Exception;
  }

  record Reply(int status, JsonNode body) {}

  HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    server.setExecutor(pool);
    server.createContext(
        "/",
        exchange -> {
          try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            Reply reply = handler.handle(exchange.getRequestMethod(), uri(exchange), body);
            if (reply == null) {
              // No answer: the connection is left open and silent; the caller gives it up.
              return;
            }
            byte[] out = JSON.writeValueAsBytes(reply.body);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status, out.length);
            exchange.getResponseBody().write(out);
            exchange.close();
          } catch (IOException e) {
            exchange.close();
          } catch (Exception e) {
            log("stand-in failed: " + e);
            exchange.close();
          }
        });
    server.start();
    synchronized (servers) {
      servers.add(server);
    }
    return server;
  }

  private static String uri(HttpExchange e) {
    return e.getRequestURI().toString();
  }

  static String query(String path, String name) {
    int q = path.indexOf('?');
    if (q >= 0) {
      for (String part : path.substring(q + 1).split("&")) {
        if (part.startsWith(name + "=")) {
          return part.substring(name.length() + 1);
        }
      }
    }
    return null;
  }

  private Reply apply(Trouble trouble, int member, String method, String path, JsonNode body, long latencyMs, Handler handler)
      throws Exception {
    Fate fate = trouble.of(member, method, path, body);
    sleep(latencyMs);
    switch (fate) {
      case REFUSE:
        return new Reply(503, object().put("error", "trouble"));
      case DROP:
        return null;
      case LOSE_ANSWER:
        Reply lost = handler.handle(method, path, body);
        log("s" + member + " " + method + " " + path + " executed, answer lost: " + lost.status);
        return null;
      case LATE:
        timers.schedule(
            () -> {
              try {
                Reply late = handler.handle(method, path, body);
                log("s" + member + " late " + method + " " + path + " " + body + " -> " + late.status + " " + late.body);
              } catch (Exception e) {
                log("late request failed " + e);
              }
            },
            lateMs,
            TimeUnit.MILLISECONDS);
        return null;
      case SLOW:
        sleep(slowMs);
        return handler.handle(method, path, body);
      default:
        return handler.handle(method, path, body);
    }
  }

  // ---- state service ----

  /** The state service of the pages. */
  public final class State {
    record Row(JsonNode value, long stamp, long hold) {}

    record Change(String key, JsonNode value, long stamp) {}

    final TreeMap<String, Row> rows = new TreeMap<>();
    final ArrayDeque<Change> changes = new ArrayDeque<>();
    final Map<Long, long[]> holds = new HashMap<>();
    public long epoch = 100;
    long lastHold;
    long droppedEpoch = 100;
    int changesKept = 10_000;
    double requestTokens = -1;
    double writeTokens;
    long refilledAt;
    boolean down;
    public int count429;

    State() {}

    void start() {
      requestTokens = stateRps;
      writeTokens = stateWriteRps;
      timers.scheduleAtFixedRate(this::expire, 50, 50, TimeUnit.MILLISECONDS);
    }

    public synchronized void setDown(boolean value) {
      down = value;
      log("state service " + (value ? "down" : "up again"));
      if (!value) {
        holds.values().forEach(h -> h[1] = now() + h[0]);
      }
      notifyAll();
    }

    /** Every hold has its full time again, as after an outage. */
    synchronized void expire() {
      if (down) {
        return;
      }
      for (Long id : new ArrayList<>(holds.keySet())) {
        if (holds.get(id)[1] < now()) {
          end(id);
        }
      }
    }

    private void end(long id) {
      holds.remove(id);
      List<String> attached = new ArrayList<>();
      rows.forEach((k, r) -> {
        if (r.hold == id) {
          attached.add(k);
        }
      });
      if (!attached.isEmpty()) {
        epoch++;
        for (String k : attached) {
          rows.remove(k);
          changes.add(new Change(k, null, epoch));
          log("state: " + k + " removed, its hold " + id + " ended");
        }
        notifyAll();
      }
    }

    public synchronized JsonNode value(String key) {
      Row r = rows.get(key);
      return r == null ? null : r.value;
    }

    public synchronized String leader() {
      Row r = rows.get("live/leader");
      return r == null ? null : r.value.path("member").asText();
    }

    private boolean takeRequest() {
      refill();
      if (requestTokens < 1) {
        count429++;
        return false;
      }
      requestTokens--;
      return true;
    }

    private void refill() {
      long t = now();
      requestTokens = Math.min(stateRps, requestTokens + (t - refilledAt) / 1000.0 * stateRps);
      writeTokens = Math.min(stateWriteRps, writeTokens + (t - refilledAt) / 1000.0 * stateWriteRps);
      refilledAt = t;
    }

    Reply request(int member, String method, String path, JsonNode body) throws Exception {
      synchronized (this) {
        if (down) {
          return new Reply(503, object());
        }
        if (!takeRequest()) {
          return new Reply(429, object());
        }
      }
      if (path.startsWith("/changes")) {
        return changes(member, path);
      }
      synchronized (this) {
        if (path.equals("/commit")) {
          return commit(member, body);
        } else if (path.startsWith("/kv/")) {
          String key = path.substring(4);
          Row r = rows.get(key);
          return r == null
              ? new Reply(404, object().put("epoch", epoch))
              : new Reply(200, row(key, r));
        } else if (path.startsWith("/kv?")) {
          return list(path);
        } else if (path.equals("/holds")) {
          long ttl = body.path("ttlMs").asLong();
          holds.put(++lastHold, new long[] {ttl, now() + ttl});
          return new Reply(200, object().put("hold", lastHold));
        } else if (path.startsWith("/holds/")) {
          long id = Long.parseLong(path.split("/")[2]);
          long[] hold = holds.get(id);
          if (hold == null) {
            return new Reply(404, object());
          }
          if (method.equals("DELETE")) {
            end(id);
          } else {
            hold[1] = now() + hold[0];
          }
          return new Reply(200, object());
        }
      }
      return new Reply(400, object().put("error", "no such path"));
    }

    private ObjectNode row(String key, Row r) {
      ObjectNode o = object().put("k", key).put("stamp", r.stamp);
      o.set("value", r.value);
      if (r.hold != 0) {
        o.put("hold", r.hold);
      }
      return o;
    }

    private Reply list(String path) throws Exception {
      String prefix = query(path, "prefix");
      String from = query(path, "from");
      String limitText = query(path, "limit");
      int limit = Math.min(1000, limitText == null ? 1000 : Integer.parseInt(limitText));
      ObjectNode o = object();
      ArrayNode array = o.putArray("rows");
      boolean more = false;
      int bytes = 0;
      for (Map.Entry<String, Row> e :
          rows.tailMap(from == null ? prefix : from, from == null).entrySet()) {
        if (!e.getKey().startsWith(prefix)) {
          break;
        }
        ObjectNode row = row(e.getKey(), e.getValue());
        bytes += JSON.writeValueAsBytes(row).length;
        if (array.size() >= limit || bytes > 500 * 1024) {
          more = true;
          break;
        }
        array.add(row);
      }
      return new Reply(200, o.put("more", more).put("epoch", epoch));
    }

    private Reply commit(int member, JsonNode txn) throws Exception {
      JsonNode writes = txn.path("writes");
      if (writes.size() > txnOps || txn.path("when").size() > 4 * txnOps) {
        violation("limits", "transaction of s" + member + " too large");
        return new Reply(400, object().put("error", "too large"));
      }
      refill();
      if (writeTokens < writes.size()) {
        count429++;
        return new Reply(429, object());
      }
      writeTokens -= writes.size();
      for (JsonNode w : writes) {
        if (w.has("put") && w.has("hold") && !holds.containsKey(w.get("hold").asLong())) {
          return new Reply(400, object().put("error", "no such lease"));
        }
        if (w.has("put") && JSON.writeValueAsBytes(w.path("value")).length > valueKb * 1024) {
          return new Reply(400, object().put("error", "value too large"));
        }
      }
      ArrayNode failed = JsonNodeFactory.instance.arrayNode();
      for (JsonNode c : txn.path("when")) {
        Row r = rows.get(c.path("k").asText());
        if ((r == null ? 0 : r.stamp) != c.path("stamp").asLong()) {
          failed.add(c.path("k").asText());
        }
      }
      if (!failed.isEmpty()) {
        ObjectNode o = object().put("epoch", epoch);
        o.set("failed", failed);
        return new Reply(409, o);
      }
      if (writes.size() > 0) {
        epoch++;
        for (JsonNode w : writes) {
          if (w.has("put")) {
            String k = w.get("put").asText();
            rows.put(k, new Row(w.get("value"), epoch, w.path("hold").asLong(0)));
            changes.add(new Change(k, w.get("value"), epoch));
            log("state: s" + member + " put " + k + " " + shorten(w.get("value")) + " at " + epoch);
          } else {
            String k = w.get("remove").asText();
            if (rows.remove(k) != null) {
              changes.add(new Change(k, null, epoch));
              log("state: s" + member + " remove " + k + " at " + epoch);
            }
          }
        }
        while (changes.size() > changesKept) {
          droppedEpoch = changes.poll().stamp;
        }
        notifyAll();
      }
      return new Reply(200, object().put("epoch", epoch));
    }

    private String shorten(JsonNode v) {
      String s = v.toString();
      return s.length() > 160 ? s.substring(0, 160) + "..." : s;
    }

    private Reply changes(int member, String path) throws Exception {
      String prefix = query(path, "prefix");
      long from = Long.parseLong(query(path, "from"));
      String block = query(path, "blockMs");
      long until = now() + (block == null ? 0 : Long.parseLong(block));
      synchronized (this) {
        while (true) {
          if (!down || until == 0) {
            if (from < droppedEpoch) {
              return new Reply(410, object());
            }
            boolean any =
                changes.stream().anyMatch(c -> c.stamp > from && c.key.startsWith(prefix));
            if (any || now() >= until) {
              ObjectNode o = object().put("epoch", epoch);
              ArrayNode news = o.putArray("news");
              for (Change c : changes) {
                if (c.stamp > from && c.key.startsWith(prefix)) {
                  ObjectNode n = news.addObject().put("stamp", c.stamp);
                  if (c.value == null) {
                    n.put("remove", c.key);
                  } else {
                    n.put("put", c.key).set("value", c.value);
                  }
                }
              }
              return new Reply(200, o);
            }
          }
          wait(Math.max(1, Math.min(100, until - now())));
        }
      }
    }
  }

  // ---- cloud ----

  /** The cloud of the pages, with one type of machine. */
  public final class Cloud {
    public final TreeMap<String, Worker> machines = new TreeMap<>();
    final Map<String, List<String>> rentals = new HashMap<>();
    final ArrayDeque<Object[]> snapshots = new ArrayDeque<>();
    int created = 100;
    public double cpus = 16;
    public double memoryGb = 32;
    public double price = 0.7;
    public double spotPrice = 0.3;
    public boolean listsGoBack = true;
    double tokens;
    long refilledAt;

    void start() {
      tokens = 2 * cloudRps;
      timers.scheduleAtFixedRate(this::snapshot, 0, 250, TimeUnit.MILLISECONDS);
    }

    private synchronized void snapshot() {
      TreeMap<String, ObjectNode> hosts = new TreeMap<>();
      machines.forEach(
          (id, w) -> {
            hosts.put(
                id,
                object()
                    .put("ref", id)
                    .put("endpoint", w.endpoint())
                    .put("hull", "mikro16")
                    .put("basin", w.zone)
                    .put("loaners", w.spot)
                    .put("status", w.dead ? (now() - w.diedAt > 30_000 ? "failed" : "running") : w.up ? "running" : "booting")
                    .put("ageS", (now() - w.rentedAt) / 1000.0));
          });
      snapshots.add(new Object[] {now(), hosts});
      while (snapshots.size() > 8 + 8 * listLagS) {
        snapshots.poll();
      }
    }

    Reply request(int member, String method, String path, JsonNode body) throws Exception {
      synchronized (this) {
        long t = now();
        tokens = Math.min(2 * cloudRps, tokens + (t - refilledAt) / 1000.0 * cloudRps);
        refilledAt = t;
        if (tokens < 1) {
          return new Reply(429, object());
        }
        tokens--;
        if (path.equals("/machine_types")) {
          ObjectNode o = object();
          ObjectNode type =
              o.putArray("hulls")
                  .addObject()
                  .put("label", "mikro16")
                  .put("vcpus", cpus)
                  .put("accelerators", 0)
                  .put("memoryGb", memoryGb)
                  .put("cacheGb", 60)
                  .put("pullGbPerS", 0.6)
                  .put("hourly", price)
                  .put("marketPrice", spotPrice)
                  .put("readyS", bootS);
          ArrayNode basins = type.putArray("basins");
          for (String z : zones) {
            basins.add(z);
          }
          return new Reply(200, o);
        }
        if (path.equals("/rentals/release")) {
          for (JsonNode h : body.path("hosts")) {
            Worker w = machines.remove(h.asText());
            log("cloud: s" + member + " releases " + h.asText() + (w == null ? " (unknown)" : " with " + w.onMachine()));
            if (w != null) {
              List<String> on = w.onMachine();
              on.removeIf(k -> toldCancelled.containsKey(k.substring(0, k.indexOf('/'))));
              if (member == watchReleasesOf && !on.isEmpty()) {
                synchronized (releasesByWatched) {
                  releasesByWatched.add(h.asText() + " with " + on);
                }
              }
              w.powerOff();
            }
          }
          return new Reply(200, object());
        }
        if (path.equals("/rentals")) {
          return rent(member, body);
        }
        if (path.startsWith("/rentals?")) {
          return list(path);
        }
      }
      return new Reply(404, object());
    }

    private Reply rent(int member, JsonNode body) throws Exception {
      String name = body.path("rental").asText();
      List<String> hosts = rentals.get(name);
      if (hosts == null) {
        hosts = new ArrayList<>();
        String zone = body.path("basin").asText();
        boolean spot = body.path("loaners").asBoolean();
        int n = body.path("howMany").asInt();
        long held =
            machines.values().stream().filter(w -> w.zone.equals(zone) && w.spot == spot).count();
        for (int i = 0; i < n && held + i < capacityPerZone; i++) {
          String id = String.format("n-%06d", ++created);
          Worker w = new Worker(id, zone, spot);
          machines.put(id, w);
          hosts.add(id);
          timers.schedule(w::boot, (long) (1000 * bootS * (0.6 + 0.9 * random.nextDouble())), TimeUnit.MILLISECONDS);
        }
        log("cloud: s" + member + " rents " + body + " -> " + hosts);
        if (hosts.isEmpty()) {
          return new Reply(503, object().put("error", "no capacity"));
        }
        rentals.put(name, hosts);
      }
      ObjectNode o = object();
      ArrayNode a = o.putArray("hosts");
      hosts.forEach(a::add);
      return new Reply(200, o);
    }

    @SuppressWarnings("unchecked")
    private Reply list(String path) {
      String from = query(path, "from");
      String limitText = query(path, "limit");
      int limit = Math.min(500, limitText == null ? 500 : Integer.parseInt(limitText));
      long lagMs = (long) (1000 * listLagS * (listsGoBack ? 0.5 + 1.5 * random.nextDouble() : 1));
      Object[] chosen = snapshots.peek();
      for (Object[] s : snapshots) {
        if ((Long) s[0] <= now() - lagMs) {
          chosen = s;
        }
      }
      ObjectNode o = object();
      ArrayNode hosts = o.putArray("hosts");
      boolean more = false;
      for (Map.Entry<String, ObjectNode> e : ((TreeMap<String, ObjectNode>) chosen[1]).entrySet()) {
        if (from != null && e.getKey().compareTo(from) <= 0) {
          continue;
        }
        if (hosts.size() == limit) {
          more = true;
          break;
        }
        hosts.add(e.getValue());
      }
      return new Reply(200, o.put("more", more));
    }
  }

  // ---- workers ----

  /** A task on a machine. */
  static final class Task {
    final String key;
    final long number;
    String status = "fetching";
    String cause;
    long runsSince;

    Task(String key, long number) {
      this.key = key;
      this.number = number;
    }

    boolean onMachine() {
      return status.equals("running") || status.equals("flushing");
    }

    String ref() {
      return key.substring(0, key.indexOf('/'));
    }
  }

  /** A machine and its worker. */
  public final class Worker {
    public final String id;
    public final String zone;
    public final boolean spot;
    final long rentedAt = now();
    final int port;
    HttpServer server;
    volatile boolean up;
    volatile boolean gone;
    volatile boolean dead;
    long diedAt;
    long session = 1;
    long tick;
    long token;
    long leaseFrom;
    int at;
    boolean inFlight;
    long nextReport;
    long changeReportAt = Long.MAX_VALUE;
    long lastReport = -100_000;
    public double recallS = Double.NaN;
    /** The controllers that this worker can't reach; a bit for each. */
    public volatile int cutFrom;
    /** True while direct commands and answers don't reach it. */
    public volatile boolean deaf;
    /** Time for which a direct command is held up before it is carried out, without an answer. */
    public volatile long holdCommandsMs;
    public final TreeMap<String, Task> tasks = new TreeMap<>();

    Worker(String id, String zone, boolean spot) throws IOException {
      this.id = id;
      this.zone = zone;
      this.spot = spot;
      this.port = freePort();
    }

    String endpoint() {
      return "127.0.0.1:" + port;
    }

    void boot() {
      if (gone) {
        return;
      }
      try {
        server = serve(port, this::command);
      } catch (IOException e) {
        log("worker " + id + " can't listen: " + e);
        return;
      }
      synchronized (World.this.cloud) {
        up = true;
      }
      leaseFrom = now();
      // A new worker begins with one controller after the other in turn.
      at = firstController.getAndIncrement() % nodes;
      log("worker " + id + " is up in " + zone + (spot ? " (spot)" : ""));
      pool.execute(this::run);
    }

    synchronized List<String> onMachine() {
      List<String> list = new ArrayList<>();
      tasks.values().forEach(t -> {
        if (t.onMachine()) {
          list.add(t.key + "#" + t.number);
        }
      });
      return list;
    }

    void powerOff() {
      synchronized (this) {
        gone = true;
        tasks.values().forEach(t -> {
          if (t.onMachine()) {
            log("task " + t.key + "#" + t.number + " ends with machine " + id);
          }
        });
        tasks.clear();
      }
      HttpServer s = server;
      if (s != null) {
        pool.execute(() -> s.stop(0));
      }
    }

    /** The machine stops with all that is on it. */
    public void die() {
      dead = true;
      diedAt = now();
      log("machine " + id + " dies");
      powerOff();
    }

    private void run() {
      while (!gone) {
        sleep(20);
        Runnable send = null;
        synchronized (this) {
          long t = now();
          if (t - leaseFrom > leaseS * 1000) {
            List<String> lost = onMachine();
            log("worker " + id + " session " + session + " ends by lease with " + lost.size() + " tasks " + lost.subList(0, Math.min(4, lost.size())));
            if (!lost.isEmpty()) {
              leasesLost.incrementAndGet();
            }
            tasks.clear();
            session++;
            leaseFrom = t;
            nextReport = t;
          }
          advanceTasks(t);
          boolean due = t >= nextReport || t >= changeReportAt && t - lastReport >= 500;
          if (due && !inFlight) {
            inFlight = true;
            tick++;
            lastReport = t;
            changeReportAt = Long.MAX_VALUE;
            nextReport = t + (long) (1000 * reportS * (0.75 + 0.5 * random.nextDouble()));
            byte[] body = report().toString().getBytes(StandardCharsets.UTF_8);
            long sentSession = session;
            send = () -> sendReport(body, t, sentSession);
          }
        }
        if (send != null) {
          pool.execute(send);
        }
      }
    }

    private void advanceTasks(long t) {
      for (Task task : tasks.values()) {
        ObjectNode job = jobs.get(task.ref());
        if (task.status.equals("fetching") && t >= task.runsSince) {
          task.status = "running";
          task.runsSince = t;
          started(task, job);
          changeReportAt = t;
        } else if (task.status.equals("running")
            && job.path("shape").asText().equals("sweep")
            && t - task.runsSince >= 1000 * job.path("guessS").asDouble()) {
          task.status = "exited";
          task.cause = "done";
          if (shown(task)) {
            log("task " + task.key + "#" + task.number + " done on " + id);
          }
          completed.merge(task.ref(), new java.util.BitSet(), (a, b) -> a).set(Integer.parseInt(task.key.substring(task.key.indexOf('/') + 1)));
          changeReportAt = t;
        }
      }
    }

    private void started(Task task, ObjectNode job) {
      if (shown(task)) {
        log("task " + task.key + "#" + task.number + " starts on " + id + " session " + session);
      }
      if (shown(task)) {
        pool.execute(() -> checkStart(this, task, job));
      }
    }

    /** Of arrays of more than 500 tasks, the record shows every hundredth. */
    private boolean shown(Task task) {
      return jobs.get(task.ref()).path("steps").asInt() <= 500 || task.key.endsWith("00");
    }

    private ObjectNode report() {
      ObjectNode o =
          object()
              .put("host", id)
              .put("endpoint", endpoint())
              .put("hull", "mikro16")
              .put("basin", zone)
              .put("loaners", spot)
              .put("tenure", session)
              .put("tick", tick)
              .put("baton", token);
      if (Double.isNaN(recallS)) {
        o.putNull("recallS");
      } else {
        o.put("recallS", recallS);
      }
      ArrayNode steps = o.putArray("steps");
      for (Task task : tasks.values()) {
        ObjectNode n =
            steps.addObject().put("step", task.key).put("try", task.number).put("status", task.status);
        if (task.cause != null) {
          n.put("cause", task.cause);
        }
      }
      return o;
    }

    private void sendReport(byte[] body, long sentAt, long sentSession) {
      int target = at;
      int status = -1;
      JsonNode answer = null;
      if ((cutFrom & 1 << target) != 0) {
        sleep(500);
      } else {
        try {
          HttpResponse<byte[]> r =
              client.send(
                  HttpRequest.newBuilder(URI.create("http://" + members[target].userAddress() + "/agent/beat"))
                      .timeout(Duration.ofSeconds(4))
                      .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                      .build(),
                  HttpResponse.BodyHandlers.ofByteArray());
          status = r.statusCode();
          answer = r.body().length == 0 ? object() : JSON.readTree(r.body());
        } catch (IOException | InterruptedException e) {
          status = -1;
        }
      }
      if (deaf) {
        status = -1;
        sleep(Math.max(0, 4000 - (now() - sentAt)));
      }
      if (status == 400) {
        reports400.incrementAndGet();
        log("report of " + id + " of " + body.length + " bytes to s" + target + " -> 400 " + answer);
      }
      synchronized (this) {
        if (gone) {
          return;
        }
        if (status == 200) {
          long shown = answer.path("baton").asLong(-1);
          if (sentSession == session && shown >= token) {
            if (shown > token) {
              token = shown;
              changeReportAt = now();
            }
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(answer.path("orders"), "answer of s" + target);
          }
          inFlight = false;
          return;
        }
        if (status == 421 && answer.path("steward").isTextual()) {
          int to = memberIndex(answer.path("steward").asText());
          if (to >= 0 && to != target) {
            at = to;
            nextReport = now() + random.nextInt(400);
            inFlight = false;
            return;
          }
        }
        at = (target + 1) % nodes;
        nextReport = now() + 1000;
        inFlight = false;
      }
    }

    private Reply command(String method, String path, JsonNode body) throws Exception {
      if (gone || deaf) {
        return null;
      }
      long hold = holdCommandsMs;
      if (lateCommandsShare > 0 && random.nextDouble() < lateCommandsShare) {
        hold = 2000 + random.nextInt(14_000);
      }
      if (hold > 0 && path.equals("/orders")) {
        log("command to " + id + " held up for " + hold + " ms: " + body);
        timers.schedule(() -> log("held command to " + id + " -> " + orders(body).status), hold, TimeUnit.MILLISECONDS);
        return null;
      }
      if (path.equals("/status")) {
        synchronized (this) {
          tick++;
          return new Reply(200, report());
        }
      }
      return orders(body);
    }

    private synchronized Reply orders(JsonNode body) {
      if (!body.path("baton").isIntegralNumber() || !body.path("tenure").isIntegralNumber()) {
        return new Reply(400, object());
      }
      long shown = body.path("baton").asLong();
      boolean stale = gone || shown < token || body.path("tenure").asLong() != session;
      if (!stale) {
        if (shown > token) {
          token = shown;
          changeReportAt = now();
        }
        execute(body.path("orders"), "command");
      }
      tick++;
      return new Reply(stale ? 409 : 200, report());
    }

    private void execute(JsonNode orders, String how) {
      if (orders.size() > 20) {
        log(how + " to " + id + ": " + orders.size() + " orders, the first " + orders.get(0));
      }
      for (JsonNode order : orders) {
        String key = order.path("step").asText();
        long number = order.path("try").asLong();
        String name = key + "#" + number;
        Task task = tasks.get(name);
        if (orders.size() <= 20) {
          log(how + " to " + id + ": " + order.path("verb").asText() + " " + name);
        }
        switch (order.path("verb").asText()) {
          case "launch" -> {
            if (task == null) {
              Task t = new Task(key, number);
              tasks.put(name, t);
              ObjectNode job = jobs.get(t.ref());
              boolean present = tasks.values().stream().anyMatch(o -> o != t && o.key.equals(key) && o.cause == null);
              if (job == null) {
                t.status = "exited";
                t.cause = "unknown";
              } else if (present) {
                t.status = "exited";
                t.cause = "busy";
              } else if (used() > cloud.cpus + 1e-6) {
                t.status = "exited";
                t.cause = "full";
              } else {
                t.runsSince = now() + (long) (1000 * job.path("imageGb").asDouble() / 0.6);
              }
              changeReportAt = now();
            }
          }
          case "halt" -> {
            if (task != null && task.cause == null) {
              if (task.onMachine()) {
                log("task " + name + " stopped on " + id);
              }
              task.status = "exited";
              task.cause = "stopped";
              changeReportAt = now();
            }
          }
          case "clear" -> {
            if (task != null && task.cause != null) {
              tasks.remove(name);
              changeReportAt = now();
            }
          }
          default -> violation("protocol", "unknown order " + order);
        }
      }
    }

    private double used() {
      double sum = 0;
      for (Task t : tasks.values()) {
        if (t.cause == null) {
          sum += jobs.get(t.ref()).path("vcpus").asDouble();
        }
      }
      return sum;
    }
  }

  /** Sessions of workers that ended by their lease with tasks on the machine. */
  final java.util.concurrent.atomic.AtomicInteger leasesLost = new java.util.concurrent.atomic.AtomicInteger();
  final java.util.concurrent.atomic.AtomicInteger reports400 = new java.util.concurrent.atomic.AtomicInteger();
  final Map<String, java.util.BitSet> completed = new ConcurrentHashMap<>();

  private void checkStart(Worker where, Task task, ObjectNode job) {
    double teamCpus = 0;
    int inZone = 0;
    List<Worker> all;
    synchronized (cloud) {
      all = new ArrayList<>(cloud.machines.values());
    }
    for (Worker w : all) {
      synchronized (w) {
        for (Task t : w.tasks.values()) {
          if (!t.onMachine()) {
            continue;
          }
          if (w != where && t.key.equals(task.key)) {
            violation("ran_twice", task.key + "#" + task.number + " starts on " + where.id + " while #" + t.number + " is on " + w.id);
          }
          ObjectNode other = jobs.get(t.ref());
          if (other.path("owner").equals(job.path("owner"))) {
            teamCpus += other.path("vcpus").asDouble();
          }
          if (t.ref().equals(task.ref()) && w.zone.equals(where.zone)) {
            inZone++;
          }
        }
      }
    }
    Double max = cpusMax.get(job.path("owner").asText());
    if (max != null && max > 0 && teamCpus > max + 1e-6) {
      violation("quota", "team " + job.path("owner").asText() + " uses " + teamCpus + " of " + max);
    }
    if (job.path("apart").asBoolean() && inZone > (job.path("steps").asInt() + 1) / 2) {
      violation("wrong_place", task.key + " is one of " + inZone + " in " + where.zone);
    }
    if (!job.path("loaners").asBoolean() && where.spot) {
      violation("wrong_place", task.key + " starts on spot machine " + where.id);
    }
    if (job.path("basin").isTextual() && !job.path("basin").asText().equals(where.zone)) {
      violation("wrong_place", task.key + " starts in " + where.zone);
    }
    Long told = toldCancelled.get(task.ref());
    if (told != null) {
      log("task " + task.key + " starts " + (now() - told) + " ms after its cancellation was confirmed");
    }
  }

  /** Checks that no task of a job that was cancelled longer ago than allowed is on a machine. */
  void checkCancelled() {
    List<Worker> all;
    synchronized (cloud) {
      all = new ArrayList<>(cloud.machines.values());
    }
    for (Worker w : all) {
      synchronized (w) {
        for (Task t : w.tasks.values()) {
          Long told = toldCancelled.get(t.ref());
          if (told != null && t.onMachine() && now() - told > 1000 * cancelS && reportedCancelled.add(t.key)) {
            violation("ran_cancelled", t.key + " is on " + w.id + " " + (now() - told) + " ms after its cancellation was confirmed");
          }
        }
      }
    }
  }

  private final java.util.Set<String> reportedCancelled = ConcurrentHashMap.newKeySet();

  // ---- controllers ----

  int memberIndex(String name) {
    for (int i = 0; i < nodes; i++) {
      if (name(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  static String name(int i) {
    return "stairhost-" + i;
  }

  /** One controller process. */
  public final class Member {
    public final int index;
    public volatile int userPort;
    volatile int peerPort;
    final int statePort;
    final int cloudPort;
    Process process;

    Member(int index) throws IOException {
      this.index = index;
      userPort = freePort();
      peerPort = freePort();
      statePort = freePort();
      cloudPort = freePort();
    }

    public String userAddress() {
      return "127.0.0.1:" + userPort;
    }

    public void start() throws IOException {
      Path file = dir.resolve("settings-" + index + ".toml");
      Files.writeString(file, settings(index));
      List<String> command = new ArrayList<>();
      for (String line : Files.readAllLines(repo.resolve("deploy/service.toml"))) {
        if (line.startsWith("run")) {
          String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
          command.addAll(List.of(run.trim().split("\\s+")));
        }
      }
      command.add(file.toString());
      ProcessBuilder builder = new ProcessBuilder(command).directory(repo.toFile());
      builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
      builder.redirectError(
          ProcessBuilder.Redirect.appendTo(dir.resolve("log-" + index + ".txt").toFile()));
      builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
      process = builder.start();
      log("controller s" + index + " starts, process " + process.pid());
    }

    public boolean isAlive() {
      return process.isAlive();
    }

    public void signal(String name) {
      log("signal " + name + " to controller s" + index);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (IOException | InterruptedException e) {
        log("kill failed " + e);
      }
    }

    public void kill() {
      log("kill controller s" + index);
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    public String logText() throws IOException {
      return new String(Files.readAllBytes(dir.resolve("log-" + index + ".txt")), StandardCharsets.UTF_8);
    }
  }

  /** A link between two controllers, which can be cut: bytes are held back, or refused. */
  final class Link {
    final int from;
    final int to;
    final int port = freePort();
    volatile boolean held;

    Link(int from, int to) throws IOException {
      this.from = from;
      this.to = to;
      ServerSocket server = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
      pool.execute(
          () -> {
            while (true) {
              try {
                Socket in = server.accept();
                pool.execute(() -> connect(in));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    private void connect(Socket in) {
      try {
        Socket out = new Socket("127.0.0.1", members[to].peerPort);
        in.setTcpNoDelay(true);
        out.setTcpNoDelay(true);
        pool.execute(() -> pump(in, out));
        pump(out, in);
      } catch (IOException e) {
        try {
          in.setSoLinger(true, 0);
          in.close();
        } catch (IOException ignored) {
          // closed already
        }
      }
    }

    private void pump(Socket a, Socket b) {
      byte[] buffer = new byte[65536];
      try {
        InputStream in = a.getInputStream();
        OutputStream out = b.getOutputStream();
        while (true) {
          int n = in.read(buffer);
          while (held) {
            sleep(10);
          }
          if (n < 0) {
            break;
          }
          out.write(buffer, 0, n);
          out.flush();
        }
      } catch (IOException e) {
        // closed
      }
      try {
        a.close();
        b.close();
      } catch (IOException ignored) {
        // closed already
      }
    }
  }

  /** The share of direct commands that are held up, unanswered, and carried out 2 to 16 s late. */
  volatile double lateCommandsShare;

  /** The controller whose returns of machines with running tasks are noted. */
  volatile int watchReleasesOf = -1;

  final List<String> releasesByWatched = new ArrayList<>();
  private final java.util.concurrent.atomic.AtomicInteger firstController = new java.util.concurrent.atomic.AtomicInteger();
  final Map<String, Link> links = new HashMap<>();

  /** Holds back all traffic between a controller and the others, or lets it through again. */
  public void cutPeers(int member, boolean cut) {
    log("peers of s" + member + (cut ? " cut off" : " connected again"));
    links.values().forEach(l -> {
      if (l.from == member || l.to == member) {
        l.held = cut;
      }
    });
  }

  private String settings(int i) {
    StringBuilder s = new StringBuilder();
    s.append("member = \"" + name(i) + "\"\nzone = \"" + memberZones[i] + "\"\n");
    s.append("client_listen = \"127.0.0.1:" + members[i].userPort + "\"\n");
    s.append("peer_bind = \"127.0.0.1:" + members[i].peerPort + "\"\n");
    for (int j = 0; j < nodes; j++) {
      if (j != i) {
        s.append("\n[[peers]]\nmember = \"" + name(j) + "\"\nzone = \"" + memberZones[j] + "\"\n");
        s.append("endpoint = \"127.0.0.1:" + links.get(i + "-" + j).port + "\"\n");
      }
    }
    s.append("\n[outside]\ncloud = \"127.0.0.1:" + members[i].cloudPort + "\"\n");
    s.append("state = \"127.0.0.1:" + members[i].statePort + "\"\n");
    s.append("\n[settings]\nnodes = " + nodes + "\nzones = [");
    for (int z = 0; z < zones.length; z++) {
      s.append(z == 0 ? "" : ", ").append("\"" + zones[z] + "\"");
    }
    s.append("]\ntime_bound_ms = 1000.0\n" + teams);
    s.append("[settings.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS);
    s.append("\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = " + cancelS + "\n");
    s.append("[settings.state]\nrps = " + stateRps + "\nwrite_rps = " + stateWriteRps);
    s.append("\nvalue_kb = " + (double) valueKb + "\ntxn_ops = " + txnOps + "\n");
    s.append("[settings.cloud]\nrps = " + cloudRps + "\nlist_lag_s = " + listLagS + "\n");
    s.append("[settings.resources]\ncpu = 0.425\nram_mb = 263.0\nmax_connections = 1800\n");
    return s.toString();
  }

  /** Starts the platform and the controllers, and waits until one leads and all are healthy. */
  public boolean start() throws Exception {
    state.start();
    cloud.start();
    for (int i = 0; i < nodes; i++) {
      members[i] = new Member(i);
    }
    for (int i = 0; i < nodes; i++) {
      for (int j = 0; j < nodes; j++) {
        if (i != j) {
          links.put(i + "-" + j, new Link(i, j));
        }
      }
    }
    for (int i = 0; i < nodes; i++) {
      int m = i;
      serve(members[i].statePort, (method, path, body) -> apply(stateTrouble, m, method, path, body, stateLatencyMs, (a, b, c) -> state.request(m, a, b, c)));
      serve(members[i].cloudPort, (method, path, body) -> apply(cloudTrouble, m, method, path, body, cloudLatencyMs, (a, b, c) -> cloud.request(m, a, b, c)));
    }
    for (int i = 0; i < nodes; i++) {
      members[i].start();
    }
    timers.scheduleAtFixedRate(this::checkCancelled, 500, 500, TimeUnit.MILLISECONDS);
    long until = now() + 25_000;
    while (now() < until) {
      boolean all = state.leader() != null;
      for (Member m : members) {
        if (!m.isAlive()) {
          // Somebody else took one of its ports meanwhile.
          m.userPort = freePort();
          m.peerPort = freePort();
          m.start();
        }
      }
      for (int i = 0; i < nodes && all; i++) {
        all = get(i, "/up", USER_WAIT).status == 200;
      }
      if (all) {
        log("all controllers are up, leader " + state.leader());
        return true;
      }
      sleep(200);
    }
    return false;
  }

  public int leaderIndex() {
    String leader = state.leader();
    return leader == null ? -1 : memberIndex(leader);
  }

  // ---- users ----

  public Reply get(int member, String path, Duration wait) {
    return call(member, "GET", path, null, wait);
  }

  public Reply call(int member, String method, String path, JsonNode body, Duration wait) {
    try {
      HttpRequest.Builder b =
          HttpRequest.newBuilder(URI.create("http://" + members[member].userAddress() + path)).timeout(wait);
      b =
          method.equals("GET")
              ? b.GET()
              : b.POST(
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body)));
      HttpResponse<byte[]> r = client.send(b.build(), HttpResponse.BodyHandlers.ofByteArray());
      return new Reply(r.statusCode(), r.body().length == 0 ? object() : JSON.readTree(r.body()));
    } catch (IOException | InterruptedException e) {
      return new Reply(-1, object().put("error", e.toString()));
    }
  }

  public static ObjectNode array(String ref, String team, int steps, double cpus, double runS) {
    return object()
        .put("ref", ref)
        .put("jobclass", "rekon-array")
        .put("owner", team)
        .put("shape", "sweep")
        .put("rank", "standard")
        .put("steps", steps)
        .put("vcpus", cpus)
        .put("accelerators", 0.0)
        .put("memoryGb", 1.0)
        .put("bundle", "img-01")
        .put("imageGb", 0.3)
        .putNull("hulls")
        .putNull("basin")
        .put("together", false)
        .put("apart", false)
        .put("loaners", true)
        .put("guessS", runS)
        .put("snapshotEveryS", 0.0)
        .put("snapshotS", 0.0)
        .putNull("dueS");
  }

  public static ObjectNode service(String ref, String team, int steps) {
    return array(ref, team, steps, 1.0, 0)
        .put("jobclass", "pyli-entolon")
        .put("shape", "daemon")
        .put("rank", "critical")
        .put("apart", true)
        .put("loaners", false);
  }

  /** Makes a job's description known to the workers. */
  public void upload(ObjectNode job) {
    jobs.put(job.path("ref").asText(), job);
  }

  public Reply submit(int member, ObjectNode job) {
    upload(job);
    Reply r = call(member, "POST", "/submissions", job, Duration.ofSeconds(5));
    log("user submits " + job.path("ref").asText() + " to s" + member + " -> " + r.status + " " + r.body);
    return r;
  }

  public Reply poll(int member, String ref) {
    Reply r = get(member, "/submissions/" + ref, USER_WAIT);
    log("user asks s" + member + " for " + ref + " -> " + r.status + " " + r.body);
    return r;
  }

  public Reply cancel(int member, String ref) {
    Reply r = call(member, "POST", "/submissions/" + ref + "/withdraw", null, Duration.ofSeconds(5));
    log("user cancels " + ref + " at s" + member + " -> " + r.status + " " + r.body);
    if (r.status == 200 && r.body.path("status").asText().equals("aborted")) {
      toldCancelled.putIfAbsent(ref, now());
    }
    return r;
  }

  /** Submits until accepted, at the given controllers in turn, for up to 60 s. */
  public boolean submitUntilAccepted(int member, ObjectNode job) {
    long until = now() + 60_000;
    for (int i = member; now() < until; i++) {
      Reply r = submit(i % nodes, job);
      if (r.status == 200 || r.status == 201) {
        return true;
      }
      sleep(1000);
    }
    return false;
  }

  public int running(String ref) {
    int n = 0;
    List<Worker> all;
    synchronized (cloud) {
      all = new ArrayList<>(cloud.machines.values());
    }
    for (Worker w : all) {
      synchronized (w) {
        n += (int) w.tasks.values().stream().filter(t -> t.ref().equals(ref) && t.onMachine()).count();
      }
    }
    return n;
  }

  public Worker machineOf(String key) {
    synchronized (cloud) {
      for (Worker w : cloud.machines.values()) {
        synchronized (w) {
          if (w.tasks.values().stream().anyMatch(t -> t.key.equals(key) && t.onMachine())) {
            return w;
          }
        }
      }
    }
    return null;
  }

  private void endProcesses() {
    for (Member m : members) {
      if (m != null && m.process != null && m.process.isAlive()) {
        m.process.destroyForcibly();
        try {
          m.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    log("all processes ended; controllers' logs follow");
    for (int i = 0; i < nodes; i++) {
      try {
        for (String line : members[i].logText().split("\n")) {
          record.println("s" + i + " " + (line.length() > 400 ? line.substring(0, 400) : line));
        }
      } catch (IOException | RuntimeException e) {
        // no log
      }
    }
    record.close();
    try (var files = Files.walk(dir)) {
      files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
    } catch (IOException e) {
      // the temporary folder stays
    }
  }
}
