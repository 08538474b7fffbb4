package dapplestair.model;

import dapplestair.leadership.FencingToken;
import dapplestair.ledger.AttemptRules;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * All that can happen next in a state. The network loses, delays, reorders and repeats; leaders are
 * deposed without knowing it; leases expire at any moment. Time has no part in it.
 */
final class TaskProtocol {
  /** Told of each step: what happens, and the state after it. */
  interface StepListener {
    void accept(Supplier<String> name, Cluster after);
  }

  private final Bounds bounds;

  TaskProtocol(Bounds bounds) {
    this.bounds = bounds;
  }

  Cluster initial() {
    return new Cluster(bounds);
  }

  /** Calls {@code next} with the name of each possible step and the state after it. */
  void steps(Cluster c, StepListener next) {
    for (int m = 0; m < bounds.machines(); m++) {
      workerSteps(c, m, next);
      messageSteps(c, m, next);
      reportSteps(c, m, next);
    }
    for (int l = 0; l < c.leaders.length; l++) {
      if (c.leaders[l].leading) {
        leaderSteps(c, l, next);
      }
    }
    stateSteps(c, next);
  }

  // ---- workers ----

  private void workerSteps(Cluster c, int machine, StepListener next) {
    Worker w = c.workers[machine];
    Cluster reported = new Cluster(c);
    Report report = reported.worker(machine).report();
    addReport(reported, machine, report, () -> w.host + " reports", next);
    for (int n = 1; n <= bounds.attempts(); n++) {
      if (w.running(n)) {
        Cluster exited = new Cluster(c);
        exited.worker(machine).exit(n);
        int number = n;
        next.accept(() -> "attempt " + number + " exits on " + w.host, exited);
      }
    }
    if (w.session < bounds.sessions()) {
      Cluster expired = new Cluster(c);
      expired.worker(machine).leaseExpires();
      next.accept(() -> "the lease of " + w.host + " expires", pruned(expired, machine));
    }
  }

  /** The network holds so many; when it is full, any one of them is lost. */
  private static <T> List<Set<T>> with(Set<T> before, T added, int most) {
    Set<T> all = new LinkedHashSet<>(before);
    all.add(added);
    if (all.size() <= most) {
      return List.of(all);
    }
    List<Set<T>> out = new ArrayList<>();
    for (T lost : all) {
      Set<T> left = new LinkedHashSet<>(all);
      left.remove(lost);
      out.add(left);
    }
    return out;
  }

  private void addReport(
      Cluster c, int machine, Report r, Supplier<String> step, StepListener next) {
    for (Set<Report> reports : with(c.reports.get(machine), r, bounds.reports())) {
      Cluster after = new Cluster(c);
      after.reports.set(machine, reports);
      next.accept(step, after);
    }
  }

  private void addMessage(
      Cluster c, int machine, Message m, Supplier<String> step, StepListener next) {
    for (Set<Message> messages : with(c.messages.get(machine), m, bounds.messages())) {
      Cluster after = new Cluster(c);
      after.messages.set(machine, messages);
      next.accept(step, pruned(after, machine));
    }
  }

  /** Without what can have no effect any more, so that equal states are found to be equal. */
  private static Cluster pruned(Cluster c, int machine) {
    Worker w = c.workers[machine];
    Set<Message> messages = new LinkedHashSet<>(c.messages.get(machine));
    messages.removeIf(
        m ->
            !c.awaited(machine, m)
                && (w.refuses(m) || m.orders().isEmpty() && m.token() <= w.token));
    c.messages.set(machine, messages);
    Set<Report> reports = new LinkedHashSet<>(c.reports.get(machine));
    reports.removeIf(r -> !c.matters(machine, r));
    c.reports.set(machine, reports);
    return c;
  }

  // ---- messages to workers ----

  private void messageSteps(Cluster c, int machine, StepListener next) {
    for (Message m : c.messages.get(machine)) {
      // It stays in the network: a copy may come at any later time.
      Cluster after = new Cluster(c);
      Worker w = after.worker(machine);
      boolean executed = w.execute(m);
      for (int l = 0; l < c.leaders.length; l++) {
        Leader.Call call = c.leaders[l].machines[machine].call;
        if (call != null && call.response() == null && call.message().equals(m)) {
          after.leader(l).machines[machine].call = new Leader.Call(m, executed, w.report());
          if (!bounds.lateAnswers()) {
            Cluster answered = new Cluster(after);
            answered.proved(answered.leader(l).answered(machine));
            next.accept(() -> w.host + " answers " + m, pruned(answered, machine));
            after.leader(l).machines[machine].call = call;
          }
        }
      }
      next.accept(() -> w.host + " gets " + m, pruned(after, machine));
    }
  }

  // ---- reports to controllers ----

  private void reportSteps(Cluster c, int machine, StepListener next) {
    for (Report r : c.reports.get(machine)) {
      for (int l = 0; l < c.leaders.length; l++) {
        if (c.leaders[l].leading) {
          Cluster after = new Cluster(c);
          Leader leader = after.leader(l);
          after.proved(leader.apply(machine, r));
          Supplier<String> step = () -> "leader " + leader.term + " hears " + r;
          if (leader.leading) {
            addMessage(pruned(after, machine), machine, leader.answer(machine, r), step, next);
          } else {
            next.accept(step, pruned(after, machine));
          }
        }
      }
      if (bounds.raisedByOthers() && !c.raisedByOther) {
        Cluster after = new Cluster(c);
        after.raisedByOther = true;
        Message raised =
            new Message(FencingToken.raisedByNonLeader(r.token()), r.session(), List.of());
        addMessage(after, machine, raised, () -> "another controller raises the token", next);
      }
    }
  }

  // ---- leaders ----

  private void leaderSteps(Cluster c, int l, StepListener next) {
    Leader leader = c.leaders[l];
    String name = "leader " + leader.term;
    for (int m = 0; m < bounds.machines(); m++) {
      callSteps(c, l, m, next);
      // A record of a deposed leader, or of a cancelled job, would be refused.
      boolean recordable = c.leaderKey == l && !c.cancelled;
      if (recordable && leader.mayPlan(m) && leader.lastNumber < bounds.attempts()) {
        Cluster after = new Cluster(c);
        after.leader(l).plan(m);
        String host = Leader.host(m);
        next.accept(() -> name + " plans on " + host, after);
      }
    }
    boolean mayHalt = leader.knowsCancelled || !bounds.cancellation();
    if (leader.attempt != null && mayHalt && !leader.halting()) {
      Cluster after = new Cluster(c);
      after.leader(l).halt();
      next.accept(() -> name + " halts", after);
    }
    if (c.cancelled && !leader.knowsCancelled) {
      Cluster after = new Cluster(c);
      Leader told = after.leader(l);
      told.knowsCancelled = true;
      if (told.attempt != null) {
        told.halt();
      }
      next.accept(() -> name + " learns of the cancellation", after);
    }
    boolean entitled = c.leaderKey == l;
    if (entitled && leader.knowsCancelled && leader.attempt == null && !c.cancellationProved) {
      Cluster after = new Cluster(c);
      after.cancellationProved = true;
      next.accept(() -> name + " says that nothing of the job is left", after);
    }
  }

  private Cluster prunedAll(Cluster c) {
    for (int m = 0; m < bounds.machines(); m++) {
      pruned(c, m);
    }
    return c;
  }

  private void callSteps(Cluster c, int l, int machine, StepListener next) {
    Leader leader = c.leaders[l];
    Leader.Machine m = leader.machines[machine];
    String name = "leader " + leader.term;
    boolean mayRaise = leader.mayRaise(machine, bounds.raises());
    boolean clears = m.outbox.values().stream().anyMatch(o -> o instanceof WorkerCommand.Clear);
    if (leader.maySend(machine) && (mayRaise || !clears)) {
      Cluster after = new Cluster(c);
      Message sent = after.leader(l).send(machine);
      if (sent == null) {
        next.accept(() -> name + " has nothing to send", after);
      } else {
        addMessage(after, machine, sent, () -> name + " sends " + sent, next);
        if (after.leaders[l].mayRaise(machine, bounds.raises())) {
          Cluster refused = new Cluster(after);
          refused.leader(l).unanswered(machine, false);
          next.accept(() -> name + " is refused a connection", refused);
        }
      }
    }
    if (m.call == null) {
      return;
    }
    if (m.call.response() != null) {
      Cluster after = new Cluster(c);
      after.proved(after.leader(l).answered(machine));
      next.accept(
          () -> name + " gets the answer of " + Leader.host(machine), pruned(after, machine));
    }
    if (mayRaise) {
      Cluster after = new Cluster(c);
      after.leader(l).unanswered(machine, true);
      next.accept(
          () -> name + " gets no answer of " + Leader.host(machine), pruned(after, machine));
    }
  }

  // ---- the state service ----

  private void stateSteps(Cluster c, StepListener next) {
    if (bounds.cancellation() && !c.cancelled) {
      Cluster after = new Cluster(c);
      after.cancelled = true;
      refuseRecord(after);
      next.accept(() -> "the user cancels", after);
    }
    for (int l = 0; l < c.leaders.length; l++) {
      if (c.leaders[l].leading) {
        recordSteps(c, l, next);
      }
    }
    if (c.successorMayCome()) {
      // The former leader does not know yet that it leads no more. One that has ended is one that
      // takes no step any more.
      Cluster after = new Cluster(c);
      after.leaderKey = 1;
      refuseRecord(after);
      Leader successor = after.leader(1);
      successor.leading = true;
      successor.knowsCancelled = c.cancelled;
      successor.lastNumber = c.recorded.lastNumber();
      if (c.recorded.number() > 0) {
        successor.attempt =
            AttemptRules.adopted(
                c.recorded.number(),
                Leader.host(c.recorded.machine()),
                c.recorded.session(),
                successor.term);
        if (c.cancelled) {
          successor.halt();
        }
      }
      next.accept(() -> "leader 2 begins", prunedAll(after));
    }
  }

  /**
   * A late transaction is carried out only while the leader's key and the job are as they were:
   * once one of them has changed it is as good as refused.
   */
  private static void refuseRecord(Cluster c) {
    for (int l = 0; l < c.leaders.length; l++) {
      if (c.leaders[l].recording) {
        c.leader(l).recorded(false);
      }
    }
  }

  private static void recordSteps(Cluster c, int l, StepListener next) {
    Leader leader = c.leaders[l];
    boolean entitled = c.leaderKey == l;
    if (leader.recording) {
      Cluster after = new Cluster(c);
      Leader writer = after.leader(l);
      after.recorded = record(writer, c.recorded);
      writer.recorded(true);
      next.accept(() -> "the attempt of leader " + leader.term + " goes on record", after);
    }
    boolean gone = leader.attempt == null && !leader.recording;
    if (entitled && gone && c.recorded.number() > 0) {
      Cluster after = new Cluster(c);
      after.recorded = new Cluster.Recorded(leader.lastNumber, 0, 0, 0);
      next.accept(() -> "leader " + leader.term + " records that the attempt is gone", after);
    }
  }

  /** What was dropped meanwhile is on record all the same, and is taken for possible. */
  private static Cluster.Recorded record(Leader writer, Cluster.Recorded before) {
    if (writer.attempt == null) {
      return new Cluster.Recorded(writer.lastNumber, 0, 0, before.session());
    }
    int machine = Integer.parseInt(writer.attempt.host().substring(2));
    return new Cluster.Recorded(
        writer.lastNumber, writer.attempt.number(), machine, writer.attempt.session());
  }
}
