package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Users who submit, poll and cancel, repeat what failed, and remember what they were told. */
final class SimulatedUsers {
  /** A job with all that any user was told of it. */
  static final class KnownJob {
    final String ref;
    final JsonNode body;
    final int steps;
    final double cpus;
    final boolean service;
    final double runS;
    final String team;
    final String jobClass;
    boolean accepted;
    long submittedAt;
    long acceptedAt;
    boolean started;
    int starts;
    boolean done;
    boolean aborted;
    boolean cancelAsked;
    long abortedAt;
    long lastAnswer;

    /** Somebody asks about it again and again. */
    boolean asked;

    /** Since when, if somebody does. */
    long askedFrom;

    // Starts that may yet turn out to be none, by task; empty once one has counted.
    private final Map<String, Long> youngStarts = new HashMap<>();

    // Starts that were stopped by command so soon that they are none, unless the task completes.
    private final Map<String, Long> stoppedStarts = new HashMap<>();
    private long begunAt = -1;

    void taskStarted(String key, long now) {
      if (begunAt < 0) {
        settled(now);
        stoppedStarts.remove(key);
        youngStarts.put(key, now);
      }
    }

    /** A start that is stopped by command within 30 s is none. */
    void taskStopped(String key, long now) {
      settled(now);
      Long startedAt = begunAt < 0 ? youngStarts.remove(key) : null;
      if (startedAt != null) {
        stoppedStarts.put(key, startedAt);
      }
    }

    /** A task that completes while it saves has begun: nobody starts it again. */
    void taskCompleted(String key) {
      Long startedAt = stoppedStarts.get(key);
      if (begunAt < 0 && startedAt != null) {
        begunAt = startedAt;
        youngStarts.clear();
      }
    }

    private void settled(long now) {
      youngStarts.values().stream()
          .filter(at -> now - at >= 30_000)
          .min(Long::compare)
          .ifPresent(
              at -> {
                begunAt = at;
                youngStarts.clear();
              });
    }

    /** When it began, or -1. */
    long begunAt() {
      return begunAt >= 0 ? begunAt : youngStarts.values().stream().min(Long::compare).orElse(-1L);
    }

    double size() {
      return steps * cpus;
    }

    /** True when its user allows machines of this type. */
    boolean allowsType(String type) {
      JsonNode types = body.path("hulls");
      if (!types.isArray()) {
        return true;
      }
      for (JsonNode allowed : types) {
        if (allowed.asText().equals(type)) {
          return true;
        }
      }
      return false;
    }

    String finalState() {
      return done ? "done" : aborted ? "aborted" : null;
    }

    KnownJob(JsonNode body) {
      this.body = body;
      this.ref = body.path("ref").asText();
      this.steps = body.path("steps").asInt();
      this.cpus = body.path("vcpus").asDouble();
      this.service = body.path("shape").asText().equals("daemon");
      this.runS = body.path("guessS").asDouble();
      this.team = body.path("owner").asText();
      this.jobClass = body.path("jobclass").asText();
    }
  }

  final Map<String, KnownJob> told = new LinkedHashMap<>();
  private final SimulatedCluster world;
  private int made;
  boolean quiet;

  /** No random jobs are submitted before. */
  long pausedUntil;

  /** Share of arrays that are cancelled within seconds. */
  double cancelledArrays = 0.15;

  /**
   * By the operators' letter, no job may go without an answer for longer once troubles are over.
   */
  static final long FORGOTTEN_MS = 75_000;

  /** Since when there have been no troubles. */
  long calmFrom = Long.MAX_VALUE / 2;

  SimulatedUsers(SimulatedCluster world) {
    this.world = world;
    world.sim.after(500, this::next);
    world.sim.after(3000, this::askForUnknown);
    world.sim.after(1000, this::watchAnswers);
  }

  private void watchAnswers() {
    for (KnownJob t : told.values()) {
      // A question counts from when it was asked: late retries ask anew about jobs long over.
      long since = Math.max(calmFrom, Math.max(t.lastAnswer, t.askedFrom));
      if (t.accepted && t.asked && world.sim.now() - since > FORGOTTEN_MS) {
        world.checker.broken("forgotten: no question about " + t.ref + " was answered for 75 s");
      }
    }
    world.sim.after(1000, this::watchAnswers);
  }

  private void next() {
    if (!quiet) {
      if (world.sim.now() >= pausedUntil) {
        submitNew();
      }
      long mean = world.size.arrivalsEveryMs();
      world.sim.after(world.sim.between(mean / 7, 2 * mean - mean / 7), this::next);
    }
  }

  private void submitNew() {
    boolean service = world.sim.chance(0.3);
    int steps =
        service ? (int) world.sim.between(1, 3) : (int) world.sim.between(1, world.size.steps());
    boolean apart = service || world.sim.chance(0.2);
    ObjectNode b =
        Json.object()
            .put("ref", String.format("wk-%06d", ++made))
            .put("jobclass", service ? "serve" : "batch")
            .put("owner", world.sim.chance(0.5) ? "one" : "two")
            .put("shape", service ? "daemon" : world.sim.chance(0.15) ? "gang" : "sweep")
            .put("rank", service ? "critical" : world.sim.chance(0.5) ? "high" : "low")
            .put("steps", steps)
            .put("vcpus", service ? 1.0 : 2.0)
            .put("accelerators", 0.0)
            .put("memoryGb", 1.0)
            .put("bundle", "img-" + world.sim.between(1, 3))
            .put("imageGb", 0.5)
            .put("together", !apart && world.sim.chance(0.2))
            .put("apart", apart)
            .put("loaners", !service)
            .put("guessS", service ? 0.0 : world.sim.between(1, 12))
            .put("snapshotEveryS", world.sim.chance(0.5) ? 2.0 : 0.0)
            .put("snapshotS", 1.0);
    KnownJob t = new KnownJob(b);
    told.put(t.ref, t);
    submit(t, world.sim.now() + 60_000);
    if (service || world.sim.chance(cancelledArrays)) {
      world.sim.after(world.sim.between(500, service ? 60_000 : 8_000), () -> cancel(t));
    }
  }

  /** Submits one array of two-CPU tasks that never save, besides the random ones. */
  KnownJob array(String team, String rank, int steps, double runS) {
    return changed(team, steps, runS, b -> b.put("rank", rank));
  }

  /** Submits one service of one-CPU replicas, spread over zones, besides the random ones. */
  KnownJob service(String team, int replicas) {
    return changed(
        team,
        replicas,
        0,
        b ->
            b.put("shape", "daemon")
                .put("jobclass", "serve")
                .put("rank", "critical")
                .put("vcpus", 1.0)
                .put("apart", true)
                .put("loaners", false));
  }

  /** Submits one such array, changed by the test. */
  KnownJob changed(String team, int steps, double runS, Consumer<ObjectNode> change) {
    ObjectNode b =
        Json.object()
            .put("ref", String.format("ch-%06d", ++made))
            .put("jobclass", "batch")
            .put("owner", team)
            .put("shape", "sweep")
            .put("rank", "standard")
            .put("steps", steps)
            .put("vcpus", 2.0)
            .put("accelerators", 0.0)
            .put("memoryGb", 1.0)
            .put("bundle", "img-1")
            .put("imageGb", 0.5)
            .put("together", false)
            .put("apart", false)
            .put("loaners", true)
            .put("guessS", runS)
            .put("snapshotEveryS", 0.0)
            .put("snapshotS", 0.0);
    change.accept(b);
    KnownJob t = new KnownJob(b);
    told.put(t.ref, t);
    submit(t, world.sim.now() + 60_000);
    return t;
  }

  private String someNode() {
    return SimulatedCluster.client((int) world.sim.between(0, world.nodes.size() - 1));
  }

  private void submit(KnownJob t, long until) {
    if (t.submittedAt == 0) {
      t.submittedAt = world.sim.now();
    }
    // Answers are held against what had been told when the question was asked: two questions at
    // once may be answered in either order.
    String before = t.finalState();
    call(
        "POST",
        "/submissions",
        Json.bytes(t.body),
        5000,
        r -> {
          if (r.status() == 201 || r.status() == 200) {
            if (!t.accepted) {
              t.accepted = true;
              t.acceptedAt = world.sim.now();
            }
            heard(t, before, r);
            if (world.sim.chance(0.1)) {
              // A retry that comes much later.
              world.sim.after(world.sim.between(1000, 90_000), () -> submit(t, 0));
            }
            world.sim.after(5000, () -> poll(t));
          } else if (r.status() == 400 || r.status() == 422) {
            world.checker.broken("forgotten: " + t.ref + " is answered " + r.status());
          } else if (world.sim.now() < until || t.accepted) {
            world.sim.after(1000 + world.sim.between(0, 500), () -> submit(t, until));
          }
        });
  }

  private void poll(KnownJob t) {
    if (!t.asked) {
      t.asked = true;
      t.askedFrom = world.sim.now();
    }
    String before = t.finalState();
    call(
        "GET",
        "/submissions/" + t.ref,
        null,
        2000,
        r -> {
          if (r.status() == 404) {
            world.checker.broken("forgotten: " + t.ref + " gets 404");
          } else if (r.status() == 200) {
            t.lastAnswer = world.sim.now();
            heard(t, before, r);
          }
          if (!t.done && !t.aborted || world.sim.chance(0.7)) {
            world.sim.after(world.sim.between(4000, 6000), () -> poll(t));
          } else {
            t.asked = false;
          }
        });
  }

  /** Cancels through one controller, once; what it answers counts like any other answer. */
  void cancelAt(KnownJob t, SimulatedCluster.ControllerNode node) {
    cancelAt(t, SimulatedCluster.client(node.index), () -> {});
  }

  private void cancelAt(KnownJob t, String client, Runnable otherwise) {
    t.cancelAsked = true;
    String before = t.finalState();
    world.net.call(
        "users",
        client,
        "POST",
        "/submissions/" + t.ref + "/withdraw",
        null,
        5000,
        r -> {
          if (r.status() == 200) {
            heard(t, before, r);
          } else if (r.status() == 404) {
            world.checker.broken("forgotten: cancelling " + t.ref + " gets 404");
          } else {
            otherwise.run();
          }
        });
  }

  void cancel(KnownJob t) {
    if (!t.accepted) {
      world.sim.after(
          1000,
          () -> {
            if (!quiet || t.accepted) {
              cancel(t);
            }
          });
      return;
    }
    cancelAt(t, someNode(), () -> world.sim.after(1000, () -> cancel(t)));
  }

  private void askForUnknown() {
    call(
        "GET",
        "/submissions/zz-" + world.sim.between(1, 99),
        null,
        2000,
        r -> {
          if (r.status() == 200) {
            world.checker.broken("invented: a job nobody submitted");
          }
          world.sim.after(7000, this::askForUnknown);
        });
  }

  private void call(
      String method, String path, byte[] body, long timeout, Consumer<HttpReply> done) {
    world.net.call("users", someNode(), method, path, body, timeout, done);
  }

  private void heard(KnownJob t, String before, HttpReply r) {
    JsonNode body = Json.parse(r.body());
    world.checker.told(t, before, body.path("status").asText());
  }
}
