package dapplestair.model;

import dapplestair.ledger.AttemptRules;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A machine's worker as the protocol defines it, with the attempts of one task. */
final class Worker {
  /** The state of an attempt as the worker knows it. */
  enum Task {
    UNKNOWN,
    RUNNING,
    EXITED
  }

  final String host;
  long session = 1;
  long token;
  long tick;
  final Task[] tasks;

  Worker(String host, int attempts) {
    this.host = host;
    tasks = new Task[attempts];
    Arrays.fill(tasks, Task.UNKNOWN);
  }

  Worker(Worker other) {
    host = other.host;
    session = other.session;
    token = other.token;
    tick = other.tick;
    tasks = other.tasks.clone();
  }

  boolean isRunning(int attempt) {
    return tasks[attempt - 1] == Task.RUNNING;
  }

  boolean isBusy() {
    return Arrays.asList(tasks).contains(Task.RUNNING);
  }

  /** Advances the tick and returns a report of the present state. */
  Report report() {
    tick++;
    List<Report.Task> reportedTasks = new ArrayList<>();
    for (int i = 0; i < tasks.length; i++) {
      if (tasks[i] == Task.RUNNING) {
        reportedTasks.add(task(i + 1, Report.Status.RUNNING, null));
      } else if (tasks[i] == Task.EXITED) {
        reportedTasks.add(task(i + 1, Report.Status.EXITED, "stopped"));
      }
    }
    return new Report(host, host, "t", "a", false, session, tick, token, Double.NaN, reportedTasks);
  }

  private static Report.Task task(long number, Report.Status status, String cause) {
    return new Report.Task(AttemptRules.TASK, number, status, cause, false);
  }

  /** Returns true if the worker refuses a message now, and hence at any later time. */
  boolean refuses(Message message) {
    return message.token() < token || message.session() != session;
  }

  /** Executes a message unless the worker refuses it. Returns true if it was executed. */
  boolean execute(Message message) {
    if (refuses(message)) {
      return false;
    }
    token = message.token();
    message.orders().forEach(this::execute);
    return true;
  }

  private void execute(WorkerCommand command) {
    int index = (int) command.attempt() - 1;
    if (command instanceof WorkerCommand.Launch && tasks[index] == Task.UNKNOWN) {
      // A launch that is refused because the task already runs here is reported as exited.
      tasks[index] = isBusy() ? Task.EXITED : Task.RUNNING;
    } else if (command instanceof WorkerCommand.Halt && tasks[index] == Task.RUNNING) {
      tasks[index] = Task.EXITED;
    } else if (command instanceof WorkerCommand.Clear && tasks[index] == Task.EXITED) {
      tasks[index] = Task.UNKNOWN;
    }
  }

  void exit(int attempt) {
    tasks[attempt - 1] = Task.EXITED;
  }

  void expireLease() {
    session++;
    Arrays.fill(tasks, Task.UNKNOWN);
  }
}
