package dapplestair.world;

import com.google.common.collect.Streams;
import dapplestair.emulator.RequestHandler;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Carries requests between named places, with delay, and through cuts that drop or hold back. What
 * is held back arrives once the cut ends, even if nobody waits for an answer any more.
 */
final class SimulatedNetwork {
  private record Pair(String a, String b) {}

  /** A request as it leaves its sender. */
  record Request(String from, String to, String method, String path, byte[] body) {
    /** True for a command with an order of this kind. */
    boolean orders(String verb) {
      return path.equals("/orders")
          && Streams.stream(Json.parse(body).path("orders"))
              .anyMatch(o -> o.path("verb").asText().equals(verb));
    }

    /** True for a transaction that writes a key with this prefix. */
    boolean puts(String prefix) {
      return path.equals("/commit")
          && Streams.stream(Json.parse(body).path("writes"))
              .anyMatch(o -> o.path("put").asText().startsWith(prefix));
    }
  }

  /** Commands are held up for between these times. */
  static final long LEAST_HELD_MS = 2000;

  static final long MOST_HELD_MS = 16_000;

  private final EventSimulator sim;
  private final Map<String, RequestHandler> places = new HashMap<>();
  private final Map<Pair, List<Runnable>> held = new HashMap<>();
  private final Set<Pair> dropping = new HashSet<>();

  // Ordered pairs: what the first sends to the second is lost.
  private final Set<Pair> deaf = new HashSet<>();
  // Machines without power, and who has noticed that its connection to one leads nowhere.
  private final Set<String> off = new HashSet<>();
  private final Set<Pair> noticed = new HashSet<>();
  double loss = 0.001;

  /** Slow links: up to so many milliseconds more for each message between these two. */
  long slowMs;

  BiPredicate<String, String> slow = (a, b) -> true;

  /** Share of requests of which a copy arrives late, and after how long at the most. */
  double copied;

  long copyLateMs = 60_000;

  /**
   * Share of transactions that get no answer and are carried out later, after newer ones of the
   * same controller.
   */
  double lateWrites;

  /** What is done to the answers to transactions. */
  final CommitInterceptor commits;

  /** Sees each request on its way and may look at its answer. */
  interface Tap {
    Consumer<HttpReply> asked(
        String from, String method, String path, byte[] body, Consumer<HttpReply> done);
  }

  Tap tap = (from, method, path, body, done) -> done;

  /** Share of direct commands that get no answer and are carried out once, late. */
  double lateCommands;

  /** By how much a direct command is held up in the same way, or 0 if it is not. */
  ToLongFunction<Request> commandHeldMs = r -> 0;

  /** Transactions that are late in that way for certain. */
  Predicate<Request> lateWrite = r -> false;

  /** What was handed over late and taken or refused. */
  final AtomicInteger lateTaken = new AtomicInteger();

  final AtomicInteger lateRefused = new AtomicInteger();

  private final List<Consumer<Request>> observers = new ArrayList<>();

  SimulatedNetwork(EventSimulator sim) {
    this.sim = sim;
    commits = new CommitInterceptor(sim);
  }

  void place(String name, RequestHandler place) {
    places.put(name, place);
  }

  /** No power: what is connected hears nothing more, and nobody can connect. */
  void off(String name) {
    off.add(name);
  }

  /** Shows each request to {@code observer} as it leaves. */
  void observe(Consumer<Request> observer) {
    observers.add(observer);
  }

  /** Does something once, so many milliseconds after the first such request from now on. */
  void when(Predicate<Request> first, long afterMs, Runnable task) {
    boolean[] seen = {false};
    observe(
        r -> {
          if (!seen[0] && first.test(r)) {
            seen[0] = true;
            sim.after(afterMs, task);
          }
        });
  }

  private static Pair pair(String a, String b) {
    return a.compareTo(b) < 0 ? new Pair(a, b) : new Pair(b, a);
  }

  void cut(String a, String b, boolean hold) {
    if (hold) {
      held.putIfAbsent(pair(a, b), new ArrayList<>());
    } else {
      dropping.add(pair(a, b));
    }
  }

  /** Loses what one sends to the other; the way back is open. */
  void cutOneWay(String from, String to) {
    deaf.add(new Pair(from, to));
  }

  void healOneWay(String from, String to) {
    deaf.remove(new Pair(from, to));
  }

  void heal(String a, String b) {
    dropping.remove(pair(a, b));
    List<Runnable> late = held.remove(pair(a, b));
    if (late != null) {
      late.forEach(r -> sim.after(sim.between(1, 40), r));
    }
  }

  private void carry(String a, String b, Runnable arrive) {
    carry(sim.random, a, b, arrive);
  }

  private void carry(SplittableRandom luck, String a, String b, Runnable arrive) {
    Pair p = pair(a, b);
    if (dropping.contains(p) || deaf.contains(new Pair(a, b)) || luck.nextDouble() < loss) {
      return;
    }
    List<Runnable> waiting = held.get(p);
    if (waiting != null) {
      waiting.add(() -> carry(luck, a, b, arrive));
      return;
    }
    sim.after(
        1
            + (luck.nextDouble() < 0.02 ? luck.nextLong(20, 401) : luck.nextLong(0, 5))
            + (slowMs > 0 && slow.test(a, b) ? luck.nextLong(slowMs / 2, slowMs + 1) : 0),
        () -> {
          List<Runnable> w = held.get(p);
          if (w != null) {
            w.add(arrive);
          } else if (!dropping.contains(p)) {
            arrive.run();
          }
        });
  }

  void call(
      String from,
      String to,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done) {
    Request request = new Request(from, to, method, path, body);
    List.copyOf(observers).forEach(o -> o.accept(request));
    boolean[] ended = {false};
    Consumer<HttpReply> tapped = tap.asked(from, method, path, body, done);
    Consumer<HttpReply> once =
        r -> {
          if (!ended[0]) {
            ended[0] = true;
            tapped.accept(r);
          }
        };
    boolean cannotConnect = off.contains(to) && !noticed.add(new Pair(from, to));
    int silence = cannotConnect ? HttpReply.NOT_SENT : HttpReply.UNKNOWN;
    sim.after(timeoutMs, () -> once.accept(HttpReply.of(silence)));
    if (off.contains(to)) {
      return;
    }
    if (copied > 0 && body != null && sim.chance(copied)) {
      copy(from, to, method, path, body);
    }
    boolean lateByChance = lateWrites > 0 && path.equals("/commit") && sim.chance(lateWrites);
    if (lateByChance || lateWrite.test(request)) {
      RequestHandler store = places.get(to);
      sim.after(sim.between(2000, 12_000), () -> store.request(from, method, path, body, r -> {}));
      return;
    }
    long heldMs = path.equals("/orders") ? heldMs(request) : 0;
    if (heldMs > 0) {
      sim.after(heldMs, () -> carry(from, to, () -> late(request, to)));
      return;
    }
    carry(
        from,
        to,
        () -> {
          RequestHandler p = places.get(to);
          if (p == null) {
            carry(to, from, () -> once.accept(HttpReply.of(HttpReply.NOT_SENT)));
          } else {
            p.request(
                from,
                method,
                path,
                body,
                r -> {
                  if (!commits.answerLost(from, path, body, r)) {
                    carry(to, from, () -> once.accept(r));
                  }
                });
          }
        });
  }

  private long heldMs(Request command) {
    boolean byChance = lateCommands > 0 && sim.chance(lateCommands);
    return byChance ? sim.between(LEAST_HELD_MS, MOST_HELD_MS) : commandHeldMs.applyAsLong(command);
  }

  /** Hands a request to a place now; its sender does not hear the answer. */
  void late(Request request, String where) {
    RequestHandler p = places.get(where);
    if (p != null && !off.contains(where)) {
      p.request(
          request.from,
          request.method,
          request.path,
          request.body,
          r -> (r.ok() ? lateTaken : lateRefused).incrementAndGet());
    }
  }

  /** The same once more, much later and perhaps to another controller; nobody hears the answer. */
  private void copy(String from, String to, String method, String path, byte[] body) {
    boolean report = path.equals("/agent/beat") && sim.chance(0.5);
    String where = report ? SimulatedCluster.client((int) sim.between(0, 2)) : to;
    sim.after(
        sim.between(1000, copyLateMs),
        () -> {
          RequestHandler p = places.get(where);
          if (p != null && !off.contains(where)) {
            p.request(from, method, path, body, r -> {});
          }
        });
  }

  /** One-way message; {@code question} when it is a question among controllers, or an answer. */
  void tell(String from, String to, boolean question, Runnable arrive) {
    carry(question ? sim.amongControllers : sim.random, from, to, arrive);
  }
}
