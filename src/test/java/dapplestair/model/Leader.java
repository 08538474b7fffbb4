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

/** One leader's knowledge of the task and of the machines, kept by the product's rules. */
final class Leader {
  /** A call that is not ended here; {@code response} is null until the worker has answered. */
  record Call(Message message, boolean executed, Report response) {}

  /** What the leader knows of one machine. */
  static final class Machine {
    long fence;
    long session;
    long tick = -1;
    boolean acknowledged;
    boolean strays;
    Call call;
    final Map<String, WorkerCommand> outbox = new LinkedHashMap<>();

    Machine() {}

    Machine(Machine other) {
      fence = other.fence;
      session = other.session;
      tick = other.tick;
      acknowledged = other.acknowledged;
      strays = other.strays;
      call = other.call;
      outbox.putAll(other.outbox);
    }

    private void queue(WorkerCommand command) {
      outbox.put(command.id(), command);
    }
  }

  final long term;
  boolean leading;
  boolean knowsCancelled;

  /** A transaction that records its attempt is on its way. */
  boolean recording;

  long lastNumber;

  /** The attempt whose absence is not proved, or null. */
  Attempt attempt;

  final Machine[] machines;

  Leader(long term, int count) {
    this.term = term;
    machines = new Machine[count];
    for (int i = 0; i < count; i++) {
      machines[i] = new Machine();
    }
  }

  Leader(Leader other) {
    term = other.term;
    leading = other.leading;
    knowsCancelled = other.knowsCancelled;
    recording = other.recording;
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

  /** Ends its lead; what it has sent stays in the network. */
  void stop() {
    leading = false;
    attempt = null;
    recording = false;
    knowsCancelled = false;
    lastNumber = 0;
    for (int i = 0; i < machines.length; i++) {
      machines[i] = new Machine();
    }
  }

  // ---- planning ----

  boolean mayPlan(int machine) {
    Machine m = machines[machine];
    return leading
        && !knowsCancelled
        && attempt == null
        && !recording
        && m.acknowledged
        && !m.strays;
  }

  void plan(int machine) {
    lastNumber++;
    attempt = AttemptRules.planned(lastNumber, host(machine), machines[machine].session);
    recording = true;
  }

  /** The answer to the transaction came: the attempt, if it still counts, may be launched. */
  void recorded(boolean applied) {
    recording = false;
    if (attempt == null || !AttemptRules.planned(attempt)) {
      return;
    }
    if (!applied) {
      attempt = null;
      return;
    }
    AttemptRules.markCommitted(attempt);
    int machine = machineOf(attempt);
    machines[machine].queue(new WorkerCommand.Launch(attempt.key(), attempt.number()));
  }

  private static int machineOf(Attempt a) {
    return Integer.parseInt(a.host().substring(2));
  }

  /** Stops its attempt, for a cancellation or by choice; one that was not sent is dropped. */
  void halt() {
    if (!attempt.isSent()) {
      attempt = null;
    } else {
      machines[machineOf(attempt)].queue(
          new WorkerCommand.Halt(attempt.key(), attempt.number(), 0));
    }
  }

  /** True while a halt of its attempt waits or is under way: one more would change nothing. */
  boolean halting() {
    Machine m = machines[machineOf(attempt)];
    return m.outbox.values().stream().anyMatch(o -> o instanceof WorkerCommand.Halt)
        || m.call != null && m.call.message().has(WorkerCommand.Halt.class);
  }

  // ---- calls ----

  boolean maySend(int machine) {
    return leading && machines[machine].call == null && !machines[machine].outbox.isEmpty();
  }

  /** True while it has raised the token less often, whoever else raised it by whole steps. */
  boolean mayRaise(int machine, int most) {
    return (machines[machine].fence & (FencingToken.MAX_FENCE_LEAD - 1)) < most;
  }

  /** Sends what waits for a machine; null when nothing of it is due any more. */
  Message send(int machine) {
    Machine m = machines[machine];
    List<WorkerCommand> orders = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    for (WorkerCommand command : m.outbox.values()) {
      if (command instanceof WorkerCommand.Launch) {
        if (!FencingRules.isDue(m.session, isOn(machine) ? attempt : null, command)) {
          continue;
        }
        launches.add(attempt);
      }
      orders.add(command);
    }
    m.outbox.clear();
    if (orders.isEmpty()) {
      return null;
    }
    m.fence = FencingRules.beforeSend(m.fence, orders, launches);
    Message message = new Message(token(machine), m.session, orders);
    m.call = new Call(message, false, null);
    return message;
  }

  /** The launches of a call whose attempt still counts; nothing is concluded about others. */
  private List<Attempt> launched(Message message) {
    boolean launched =
        attempt != null
            && message.orders().stream()
                .anyMatch(
                    o -> o instanceof WorkerCommand.Launch && o.attempt() == attempt.number());
    return launched ? List.of(attempt) : List.of();
  }

  /** The worker's answer to the call arrives. */
  List<Long> answered(int machine) {
    Machine m = machines[machine];
    Call call = m.call;
    m.call = null;
    FencingRules.callAnswered(launched(call.message()));
    List<Long> ended = apply(machine, call.response());
    if (leading && !call.executed()) {
      requeueHalts(m, call.message());
    }
    return ended;
  }

  /** No answer to the call comes any more, or it is known not to have left. */
  void unanswered(int machine, boolean sent) {
    Machine m = machines[machine];
    Call call = m.call;
    m.call = null;
    m.fence = FencingRules.callUnanswered(m.fence, term, launched(call.message()), sent);
    if (sent) {
      requeueHalts(m, call.message());
    } else {
      call.message().orders().forEach(o -> m.outbox.putIfAbsent(o.id(), o));
    }
  }

  private static void requeueHalts(Machine m, Message message) {
    message.orders().stream().filter(o -> o instanceof WorkerCommand.Halt).forEach(m::queue);
  }

  // ---- reports ----

  /**
   * Applies a report. Returns the numbers of the attempts that it proves to be gone for good: those
   * that have exited, and one that is absent. The number of one that is not on record is given out
   * again by the next leader.
   */
  List<Long> apply(int machine, Report r) {
    if (FencingToken.term(r.token()) > term) {
      stop();
      return List.of();
    }
    Machine m = machines[machine];
    m.fence = FencingRules.tokenShown(m.fence, term, r.token());
    if (!r.isNewerThan(m.session, m.tick)) {
      return List.of();
    }
    m.session = r.session();
    m.tick = r.tick();
    m.acknowledged |= r.token() >= FencingToken.of(term, 0);
    m.strays = false;
    List<Long> ended = new ArrayList<>();
    boolean seen = false;
    for (Report.Task t : r.tasks()) {
      boolean own =
          isOn(machine) && attempt.number() == t.attempt() && attempt.session() == r.session();
      if (own) {
        seen = true;
        AttemptRules.markSeenOnMachine(attempt);
      }
      if (t.status() == Report.Status.EXITED) {
        exited(m, t, own, ended);
      } else if (!own && m.acknowledged) {
        m.strays = true;
        m.queue(new WorkerCommand.Halt(t.key(), t.attempt(), 0));
      }
    }
    if (!seen && isOn(machine) && AttemptRules.provesAbsence(attempt, r)) {
      if (!AttemptRules.planned(attempt)) {
        ended.add(attempt.number());
      }
      attempt = null;
    }
    return ended;
  }

  private void exited(Machine m, Report.Task t, boolean own, List<Long> ended) {
    if (own) {
      ended.add(attempt.number());
      attempt = null;
    }
    if (own || m.acknowledged) {
      m.queue(new WorkerCommand.Clear(t.key(), t.attempt()));
    }
  }

  /** The answer to a report: the token, and a halt when the job is known to be cancelled. */
  Message answer(int machine, Report r) {
    List<WorkerCommand> halts = new ArrayList<>();
    for (Report.Task t : r.tasks()) {
      if (knowsCancelled && t.status() != Report.Status.EXITED) {
        halts.add(new WorkerCommand.Halt(t.key(), t.attempt(), 0));
      }
    }
    return new Message(token(machine), r.session(), halts);
  }
}
