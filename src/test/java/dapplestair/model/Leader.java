package dapplestair.model;

import dapplestair.leadership.FencingToken;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.AttemptRules;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import dapplestair.workers.FencingRules;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One leader's knowledge of the task and of the machines, updated by the product's own rules. */
final class Leader {
  /**
   * A call to a worker that the leader has not finished; {@code response} is null until the worker
   * has answered.
   */
  record Call(Message message, boolean executed, Report response) {}

  /** What the leader knows of one machine. */
  static final class Machine {
    long fence;
    long session;
    long tick = -1;
    boolean acknowledged;
    boolean hasStrayTasks;
    Call call;
    final Map<String, WorkerCommand> outbox = new LinkedHashMap<>();

    Machine() {}

    Machine(Machine other) {
      fence = other.fence;
      session = other.session;
      tick = other.tick;
      acknowledged = other.acknowledged;
      hasStrayTasks = other.hasStrayTasks;
      call = other.call;
      outbox.putAll(other.outbox);
    }

    private void enqueue(WorkerCommand command) {
      outbox.put(command.id(), command);
    }
  }

  final long term;
  boolean leading;
  boolean knowsCancelled;

  /** True while a transaction that records the leader's attempt is in flight. */
  boolean recordInFlight;

  long lastNumber;

  /** The attempt whose absence is not proved, or null. */
  Attempt attempt;

  final Machine[] machines;

  Leader(long term, int machineCount) {
    this.term = term;
    machines = new Machine[machineCount];
    for (int i = 0; i < machineCount; i++) {
      machines[i] = new Machine();
    }
  }

  Leader(Leader other) {
    term = other.term;
    leading = other.leading;
    knowsCancelled = other.knowsCancelled;
    recordInFlight = other.recordInFlight;
    lastNumber = other.lastNumber;
    attempt = other.attempt == null ? null : AttemptRules.copy(other.attempt);
    machines = new Machine[other.machines.length];
    for (int i = 0; i < machines.length; i++) {
      machines[i] = new Machine(other.machines[i]);
    }
  }

  static String host(int machine) {
    return "n-" + machine;
  }

  private boolean isOn(int machine) {
    return attempt != null && attempt.host().equals(host(machine));
  }

  long token(int machine) {
    return FencingToken.of(term, machines[machine].fence);
  }

  /** Ends the leadership; messages that the leader has sent stay in the network. */
  void stepDown() {
    leading = false;
    attempt = null;
    recordInFlight = false;
    knowsCancelled = false;
    lastNumber = 0;
    for (int i = 0; i < machines.length; i++) {
      machines[i] = new Machine();
    }
  }

  // ---- planning ----

  boolean canPlan(int machine) {
    Machine machineState = machines[machine];
    return leading
        && !knowsCancelled
        && attempt == null
        && !recordInFlight
        && machineState.acknowledged
        && !machineState.hasStrayTasks;
  }

  void plan(int machine) {
    lastNumber++;
    attempt = AttemptRules.planned(lastNumber, host(machine), machines[machine].session);
    recordInFlight = true;
  }

  /**
   * Handles the reply to the recording transaction. If it was applied and the attempt is still
   * current, the attempt is queued for launch.
   */
  void completeRecord(boolean applied) {
    recordInFlight = false;
    if (attempt == null || !AttemptRules.planned(attempt)) {
      return;
    }
    if (!applied) {
      attempt = null;
      return;
    }
    AttemptRules.markCommitted(attempt);
    int machine = machineOf(attempt);
    machines[machine].enqueue(new WorkerCommand.Launch(attempt.key(), attempt.number()));
  }

  private static int machineOf(Attempt attempt) {
    return Integer.parseInt(attempt.host().substring(2));
  }

  /**
   * Stops the leader's attempt, for a cancellation or by choice. An attempt that was not sent is
   * dropped.
   */
  void halt() {
    if (!attempt.isSent()) {
      attempt = null;
    } else {
      machines[machineOf(attempt)].enqueue(
          new WorkerCommand.Halt(attempt.key(), attempt.number(), 0));
    }
  }

  /**
   * Returns true while a halt of the leader's attempt is queued or in flight; another halt would
   * change nothing.
   */
  boolean isHalting() {
    Machine machineState = machines[machineOf(attempt)];
    return machineState.outbox.values().stream().anyMatch(o -> o instanceof WorkerCommand.Halt)
        || machineState.call != null
            && machineState.call.message().hasOrder(WorkerCommand.Halt.class);
  }

  // ---- calls ----

  boolean canSend(int machine) {
    return leading && machines[machine].call == null && !machines[machine].outbox.isEmpty();
  }

  /**
   * Returns true while this leader has raised the machine's token less than {@code maxRaises}
   * times. Raises by other controllers, which set the fence to a multiple of its step, don't count.
   */
  boolean canRaiseToken(int machine, int maxRaises) {
    return (machines[machine].fence & (FencingToken.MAX_FENCE_LEAD - 1)) < maxRaises;
  }

  /** Sends the orders queued for a machine. Returns null if none of them is due any more. */
  Message send(int machine) {
    Machine machineState = machines[machine];
    List<WorkerCommand> orders = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    for (WorkerCommand command : machineState.outbox.values()) {
      if (command instanceof WorkerCommand.Launch) {
        if (!FencingRules.isDue(machineState.session, isOn(machine) ? attempt : null, command)) {
          continue;
        }
        launches.add(attempt);
      }
      orders.add(command);
    }
    machineState.outbox.clear();
    if (orders.isEmpty()) {
      return null;
    }
    machineState.fence = FencingRules.beforeSend(machineState.fence, orders, launches);
    Message message = new Message(token(machine), machineState.session, orders);
    machineState.call = new Call(message, false, null);
    return message;
  }

  /**
   * Returns the current attempt if the call launches it. Nothing is concluded about attempts that
   * are no longer current.
   */
  private List<Attempt> launchedAttempts(Message message) {
    boolean launchesCurrentAttempt =
        attempt != null
            && message.orders().stream()
                .anyMatch(
                    o -> o instanceof WorkerCommand.Launch && o.attempt() == attempt.number());
    return launchesCurrentAttempt ? List.of(attempt) : List.of();
  }

  /** Handles the worker's response to the call. Returns the attempts that it proves to be gone. */
  List<Long> receiveResponse(int machine) {
    Machine machineState = machines[machine];
    Call call = machineState.call;
    machineState.call = null;
    FencingRules.callAnswered(launchedAttempts(call.message()));
    List<Long> goneAttempts = applyReport(machine, call.response());
    if (leading && !call.executed()) {
      requeueHalts(machineState, call.message());
    }
    return goneAttempts;
  }

  /** Ends a call that will get no response, or ({@code wasSent} false) was certainly not sent. */
  void failCall(int machine, boolean wasSent) {
    Machine machineState = machines[machine];
    Call call = machineState.call;
    machineState.call = null;
    machineState.fence =
        FencingRules.callUnanswered(
            machineState.fence, term, launchedAttempts(call.message()), wasSent);
    if (wasSent) {
      requeueHalts(machineState, call.message());
    } else {
      call.message().orders().forEach(o -> machineState.outbox.putIfAbsent(o.id(), o));
    }
  }

  private static void requeueHalts(Machine machineState, Message message) {
    message.orders().stream()
        .filter(o -> o instanceof WorkerCommand.Halt)
        .forEach(machineState::enqueue);
  }

  // ---- reports ----

  /**
   * Applies a report. Returns the numbers of the attempts that the report proves to be gone for
   * good: those that have exited, and the leader's attempt if it is absent. An attempt that is only
   * planned is left out, since the next leader reuses the number of an attempt that is not
   * recorded.
   */
  List<Long> applyReport(int machine, Report report) {
    if (FencingToken.term(report.token()) > term) {
      stepDown();
      return List.of();
    }
    Machine machineState = machines[machine];
    machineState.fence = FencingRules.tokenShown(machineState.fence, term, report.token());
    if (!report.isNewerThan(machineState.session, machineState.tick)) {
      return List.of();
    }
    machineState.session = report.session();
    machineState.tick = report.tick();
    machineState.acknowledged |= report.token() >= FencingToken.of(term, 0);
    machineState.hasStrayTasks = false;
    List<Long> goneAttempts = new ArrayList<>();
    boolean attemptListed = false;
    for (Report.Task task : report.tasks()) {
      boolean isOwn =
          isOn(machine)
              && attempt.number() == task.attempt()
              && attempt.session() == report.session();
      if (isOwn) {
        attemptListed = true;
        AttemptRules.markSeenOnMachine(attempt);
      }
      if (task.status() == Report.Status.EXITED) {
        handleExited(machineState, task, isOwn, goneAttempts);
      } else if (!isOwn && machineState.acknowledged) {
        machineState.hasStrayTasks = true;
        machineState.enqueue(new WorkerCommand.Halt(task.key(), task.attempt(), 0));
      }
    }
    if (!attemptListed && isOn(machine) && AttemptRules.provesAbsence(attempt, report)) {
      if (!AttemptRules.planned(attempt)) {
        goneAttempts.add(attempt.number());
      }
      attempt = null;
    }
    return goneAttempts;
  }

  private void handleExited(
      Machine machineState, Report.Task task, boolean isOwn, List<Long> goneAttempts) {
    if (isOwn) {
      goneAttempts.add(attempt.number());
      attempt = null;
    }
    if (isOwn || machineState.acknowledged) {
      machineState.enqueue(new WorkerCommand.Clear(task.key(), task.attempt()));
    }
  }

  /** Returns the reply to a report: the token, and halts if the job is known to be cancelled. */
  Message replyTo(int machine, Report report) {
    List<WorkerCommand> halts = new ArrayList<>();
    for (Report.Task task : report.tasks()) {
      if (knowsCancelled && task.status() != Report.Status.EXITED) {
        halts.add(new WorkerCommand.Halt(task.key(), task.attempt(), 0));
      }
    }
    return new Message(token(machine), report.session(), halts);
  }
}
