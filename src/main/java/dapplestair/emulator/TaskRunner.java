package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Executes a worker's orders: launch, halt (with a final checkpoint) and clear. */
final class TaskRunner {
  private static final long REPORT_DELAY_MS = 500;
  private static final long MIN_RUN_MS = 200;
  private static final long MIN_RUN_BEFORE_ERROR_MS = 1000;
  private static final double MIN_RUN_RATIO = 0.9;
  private static final double RUN_RATIO_RANGE = 0.2;

  private final EmulatorEnvironment environment;
  private final EmulatedCloud cloud;
  private final EmulatedWorker worker;
  private final EmulatorSettings.MachineSpec type;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final Runnable sendReport;
  private final EmulatedImages images;
  private final Map<String, EmulatedTask> tasks = new LinkedHashMap<>();

  /**
   * Creates a runner without tasks; {@code sendReport} is run on changes that are reported ahead of
   * the next heartbeat.
   */
  TaskRunner(
      EmulatorEnvironment environment,
      EmulatedCloud cloud,
      EmulatedWorker worker,
      EmulatorSettings.MachineSpec type,
      MachineCondition condition,
      WorkerSession session,
      Runnable sendReport) {
    this.environment = environment;
    this.cloud = cloud;
    this.worker = worker;
    this.type = type;
    this.condition = condition;
    this.session = session;
    this.sendReport = sendReport;
    this.images = new EmulatedImages(environment, type);
  }

  /** Returns all attempts that the worker knows. */
  Collection<EmulatedTask> tasks() {
    return tasks.values();
  }

  /** Adds all attempts, in the form of the protocol, to an array. */
  void addTasksTo(ArrayNode steps) {
    tasks.values().forEach(task -> steps.add(task.toJson()));
  }

  /** Kills all running tasks and forgets all attempts. */
  void clear() {
    tasks.clear();
  }

  /** Executes one order of a command or of a reply to a report. */
  void execute(JsonNode order) {
    String key = order.path("step").asText();
    long attempt = order.path("try").asLong();
    String attemptName = key + "#" + attempt;
    EmulatedTask task = tasks.get(attemptName);
    switch (order.path("verb").asText()) {
      case "launch" -> launch(attemptName, key, attempt);
      case "halt" -> {
        if (task != null && !task.hasExited()) {
          halt(task, order.path("windDownS").asDouble());
        }
      }
      case "clear" -> {
        if (task != null && task.hasExited()) {
          tasks.remove(attemptName);
        }
      }
      default -> cloud.recordViolation("unknown order " + order);
    }
  }

  private void halt(EmulatedTask task, double gracePeriodS) {
    double saveS = task.amount("snapshotS");
    boolean savesCheckpoint = task.amount("snapshotEveryS") > 0 && task.status.equals("running");
    if (!savesCheckpoint || gracePeriodS < saveS) {
      recordPeriodicCheckpoints(task);
      task.exit("stopped");
      cloud.observer().stopped(worker, task);
      return;
    }
    task.status = "flushing";
    cloud.observer().stopped(worker, task);
    double ranS = task.runTimeS(environment.now());
    long startedInSession = session.number();
    environment.after(
        Math.round(1000 * saveS), () -> finishCheckpoint(task, ranS, startedInSession));
  }

  private void finishCheckpoint(EmulatedTask task, double ranS, long startedInSession) {
    if (isSessionOver(startedInSession) || !task.status.equals("flushing")) {
      return;
    }
    cloud.addSavedRunSeconds(task.key(), ranS);
    task.checkpointStored = true;
    task.exit("stopped");
    environment.after(REPORT_DELAY_MS, sendReport);
  }

  /** Records the run time saved by the checkpoints that the task made periodically. */
  private void recordPeriodicCheckpoints(EmulatedTask task) {
    double intervalS = task.amount("snapshotEveryS");
    if (intervalS > 0 && task.isOnMachine()) {
      cloud.addSavedRunSeconds(
          task.key(), Math.floor(task.runTimeS(environment.now()) / intervalS) * intervalS);
    }
  }

  private void launch(String attemptName, String key, long attempt) {
    if (tasks.containsKey(attemptName)) {
      return;
    }
    JsonNode job = cloud.submissionLookup().find(EmulatedTask.jobRef(key));
    EmulatedTask task = new EmulatedTask(key, attempt, job);
    boolean alreadyPresent =
        tasks.values().stream().anyMatch(other -> other.key().equals(key) && !other.hasExited());
    boolean hasRoom = !condition.isOccupied() && type.fits(task, tasks.values());
    tasks.put(attemptName, task);
    if (job == null) {
      task.exit("unknown");
    } else if (alreadyPresent) {
      task.exit("busy");
    } else if (!hasRoom) {
      task.exit("full");
      cloud.observer().refusedAsFull(worker, task);
    } else {
      long startedInSession = session.number();
      environment.after(images.fetchMs(task), () -> start(task, startedInSession));
    }
  }

  private void start(EmulatedTask task, long startedInSession) {
    if (isSessionOver(startedInSession) || !task.status.equals("fetching")) {
      return;
    }
    if (condition.isHanging()) {
      condition.defer(() -> start(task, startedInSession));
      return;
    }
    task.status = "running";
    task.startedAtMs = environment.now();
    cloud.observer().started(worker, task);
    if (condition.failsTasks()) {
      environment.after(MIN_RUN_MS, () -> finish(task, "error", startedInSession));
    } else if (task.failsOnEveryMachine()) {
      long runMs = Math.max(MIN_RUN_BEFORE_ERROR_MS, Math.round(1000 * task.amount("guessS")));
      environment.after(runMs, () -> finish(task, "error", startedInSession));
    } else if (!task.isService()) {
      environment.after(runMs(task), () -> finish(task, "done", startedInSession));
    }
    sendReport.run();
  }

  private long runMs(EmulatedTask task) {
    double ratio = MIN_RUN_RATIO + RUN_RATIO_RANGE * environment.fraction();
    double runS = task.estimatedRunS() * ratio - cloud.savedRunSeconds(task.key());
    return Math.max(MIN_RUN_MS, Math.round(1000 * runS));
  }

  private void finish(EmulatedTask task, String cause, long startedInSession) {
    if (isSessionOver(startedInSession) || !task.isOnMachine()) {
      return;
    }
    if (condition.isHanging()) {
      condition.defer(() -> finish(task, cause, startedInSession));
      return;
    }
    if (cause.equals("done")) {
      cloud.observer().completed(task.key());
      cloud.removeSavedRunSeconds(task.key());
    }
    task.exit(cause);
    environment.after(REPORT_DELAY_MS, sendReport);
  }

  /** Returns true if the machine is off, or the session in which an action began has ended. */
  private boolean isSessionOver(long startedInSession) {
    return condition.isGone() || startedInSession != session.number();
  }
}
