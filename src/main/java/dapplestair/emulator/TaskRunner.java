package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Executes a worker's orders: launches, halts with checkpoints, clearings. */
final class TaskRunner {
  private static final long REPORT_DELAY_MS = 500;
  private static final long LEAST_RUN_MS = 200;
  private static final long LEAST_RUN_BEFORE_ERROR_MS = 1000;
  private static final double LEAST_RUN_RATIO = 0.9;
  private static final double RUN_RATIO_RANGE = 0.2;

  private final EmulatorEnvironment environment;
  private final EmulatedCloud cloud;
  private final EmulatedWorker worker;
  private final EmulatorSettings.MachineSpec type;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final Runnable report;
  private final EmulatedImages images;
  private final Map<String, EmulatedTask> tasks = new LinkedHashMap<>();

  /** Without tasks; {@code report} is run when something is worth a report of its own. */
  TaskRunner(
      EmulatorEnvironment environment,
      EmulatedCloud cloud,
      EmulatedWorker worker,
      EmulatorSettings.MachineSpec type,
      MachineCondition condition,
      WorkerSession session,
      Runnable report) {
    this.environment = environment;
    this.cloud = cloud;
    this.worker = worker;
    this.type = type;
    this.condition = condition;
    this.session = session;
    this.report = report;
    this.images = new EmulatedImages(environment, type);
  }

  /** All attempts that the worker knows. */
  Collection<EmulatedTask> tasks() {
    return tasks.values();
  }

  /** All attempts as on the wire. */
  void addTo(ArrayNode steps) {
    tasks.values().forEach(task -> steps.add(task.toJson()));
  }

  /** Forgets all attempts; what ran is gone. */
  void clear() {
    tasks.clear();
  }

  /** Executes one order of a command or of a report's answer. */
  void execute(JsonNode order) {
    String key = order.path("step").asText();
    long attempt = order.path("try").asLong();
    String name = key + "#" + attempt;
    EmulatedTask task = tasks.get(name);
    switch (order.path("verb").asText()) {
      case "launch" -> launch(name, key, attempt);
      case "halt" -> {
        if (task != null && !task.exited()) {
          halt(task, order.path("windDownS").asDouble());
        }
      }
      case "clear" -> {
        if (task != null && task.exited()) {
          tasks.remove(name);
        }
      }
      default -> cloud.violated("unknown order " + order);
    }
  }

  private void halt(EmulatedTask task, double windDownS) {
    double saveS = task.amount("snapshotS");
    boolean saves = task.amount("snapshotEveryS") > 0 && task.status.equals("running");
    if (!saves || windDownS < saveS) {
      keepCheckpoints(task);
      task.exit("stopped");
      cloud.observer().stopped(worker, task);
      return;
    }
    task.status = "flushing";
    cloud.observer().stopped(worker, task);
    double ranS = task.ranS(environment.now());
    long startedIn = session.number();
    environment.after(Math.round(1000 * saveS), () -> saved(task, ranS, startedIn));
  }

  private void saved(EmulatedTask task, double ranS, long startedIn) {
    if (ended(startedIn) || !task.status.equals("flushing")) {
      return;
    }
    cloud.keep(task.key(), ranS);
    task.stored = true;
    task.exit("stopped");
    environment.after(REPORT_DELAY_MS, report);
  }

  /** Checkpoints that the task has made by itself while it ran. */
  private void keepCheckpoints(EmulatedTask task) {
    double every = task.amount("snapshotEveryS");
    if (every > 0 && task.onMachine()) {
      cloud.keep(task.key(), Math.floor(task.ranS(environment.now()) / every) * every);
    }
  }

  private void launch(String name, String key, long attempt) {
    if (tasks.containsKey(name)) {
      return;
    }
    JsonNode job = cloud.book().find(EmulatedTask.ref(key));
    EmulatedTask task = new EmulatedTask(key, attempt, job);
    boolean here =
        tasks.values().stream().anyMatch(other -> other.key().equals(key) && !other.exited());
    boolean room = !condition.crowded() && type.fits(task, tasks.values());
    tasks.put(name, task);
    if (job == null) {
      task.exit("unknown");
    } else if (here) {
      task.exit("busy");
    } else if (!room) {
      task.exit("full");
      cloud.observer().refusedAsFull(worker, task);
    } else {
      long startedIn = session.number();
      environment.after(images.fetchMs(task), () -> start(task, startedIn));
    }
  }

  private void start(EmulatedTask task, long startedIn) {
    if (ended(startedIn) || !task.status.equals("fetching")) {
      return;
    }
    if (condition.hanging()) {
      condition.defer(() -> start(task, startedIn));
      return;
    }
    task.status = "running";
    task.runsSince = environment.now();
    cloud.observer().started(worker, task);
    if (condition.failing()) {
      environment.after(LEAST_RUN_MS, () -> finish(task, "error", startedIn));
    } else if (task.mistaken()) {
      long runMs = Math.max(LEAST_RUN_BEFORE_ERROR_MS, Math.round(1000 * task.amount("guessS")));
      environment.after(runMs, () -> finish(task, "error", startedIn));
    } else if (!task.service()) {
      environment.after(runMs(task), () -> finish(task, "done", startedIn));
    }
    report.run();
  }

  private long runMs(EmulatedTask task) {
    double ratio = LEAST_RUN_RATIO + RUN_RATIO_RANGE * environment.fraction();
    double runS = task.guessS() * ratio - cloud.kept(task.key());
    return Math.max(LEAST_RUN_MS, Math.round(1000 * runS));
  }

  private void finish(EmulatedTask task, String cause, long startedIn) {
    if (ended(startedIn) || !task.onMachine()) {
      return;
    }
    if (condition.hanging()) {
      condition.defer(() -> finish(task, cause, startedIn));
      return;
    }
    if (cause.equals("done")) {
      cloud.observer().completed(task.key());
      cloud.forget(task.key());
    }
    task.exit(cause);
    environment.after(REPORT_DELAY_MS, report);
  }

  /** True when what began in that session cannot go on any more. */
  private boolean ended(long startedIn) {
    return condition.gone() || startedIn != session.number();
  }
}
