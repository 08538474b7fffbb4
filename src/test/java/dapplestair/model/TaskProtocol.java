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
 * The transitions of the model: all steps that are possible in a state. The network loses, delays,
 * reorders and repeats messages; leaders are deposed without knowing it; leases expire at any time.
 * The model has no clock.
 */
final class TaskProtocol {
  /** Receives each step: the name of what happens, and the state after it. */
  interface StepListener {
    void accept(Supplier<String> name, Cluster after);
  }

  private final Bounds bounds;

  TaskProtocol(Bounds bounds) {
    this.bounds = bounds;
  }

  Cluster initialState() {
    return new Cluster(bounds);
  }

  /** Calls {@code listener} with the name of each possible step and the state after the step. */
  void forEachStep(Cluster cluster, StepListener listener) {
    for (int machine = 0; machine < bounds.machines(); machine++) {
      workerSteps(cluster, machine, listener);
      messageSteps(cluster, machine, listener);
      reportSteps(cluster, machine, listener);
    }
    for (int leaderIndex = 0; leaderIndex < cluster.leaders.length; leaderIndex++) {
      if (cluster.leaders[leaderIndex].leading) {
        leaderSteps(cluster, leaderIndex, listener);
      }
    }
    stateServiceSteps(cluster, listener);
  }

  // ---- workers ----

  private void workerSteps(Cluster cluster, int machine, StepListener listener) {
    Worker worker = cluster.workers[machine];
    Cluster afterReport = new Cluster(cluster);
    Report report = afterReport.mutableWorker(machine).report();
    addReport(afterReport, machine, report, () -> worker.host + " reports", listener);
    for (int attempt = 1; attempt <= bounds.attempts(); attempt++) {
      if (worker.isRunning(attempt)) {
        Cluster afterExit = new Cluster(cluster);
        afterExit.mutableWorker(machine).exit(attempt);
        int number = attempt;
        listener.accept(() -> "attempt " + number + " exits on " + worker.host, afterExit);
      }
    }
    if (worker.session < bounds.sessions()) {
      Cluster afterExpiry = new Cluster(cluster);
      afterExpiry.mutableWorker(machine).expireLease();
      listener.accept(
          () -> "the lease of " + worker.host + " expires", prune(afterExpiry, machine));
    }
  }

  /**
   * Returns the possible contents of the network after adding an element. The network holds at most
   * {@code maxSize} elements; beyond that, any one of them may be the one that is lost.
   */
  private static <T> List<Set<T>> addBounded(Set<T> before, T added, int maxSize) {
    Set<T> all = new LinkedHashSet<>(before);
    all.add(added);
    if (all.size() <= maxSize) {
      return List.of(all);
    }
    List<Set<T>> boundedSets = new ArrayList<>();
    for (T lost : all) {
      Set<T> remaining = new LinkedHashSet<>(all);
      remaining.remove(lost);
      boundedSets.add(remaining);
    }
    return boundedSets;
  }

  private void addReport(
      Cluster cluster,
      int machine,
      Report report,
      Supplier<String> stepName,
      StepListener listener) {
    for (Set<Report> reports :
        addBounded(cluster.reports.get(machine), report, bounds.maxReports())) {
      Cluster after = new Cluster(cluster);
      after.reports.set(machine, reports);
      listener.accept(stepName, after);
    }
  }

  private void addMessage(
      Cluster cluster,
      int machine,
      Message message,
      Supplier<String> stepName,
      StepListener listener) {
    for (Set<Message> messages :
        addBounded(cluster.messages.get(machine), message, bounds.maxMessages())) {
      Cluster after = new Cluster(cluster);
      after.messages.set(machine, messages);
      listener.accept(stepName, prune(after, machine));
    }
  }

  /**
   * Removes messages and reports that can no longer have an effect, so that states which differ
   * only in them are equal.
   */
  private static Cluster prune(Cluster cluster, int machine) {
    Worker worker = cluster.workers[machine];
    Set<Message> messages = new LinkedHashSet<>(cluster.messages.get(machine));
    messages.removeIf(
        m ->
            !cluster.isResponseAwaited(machine, m)
                && (worker.refuses(m) || m.orders().isEmpty() && m.token() <= worker.token));
    cluster.messages.set(machine, messages);
    Set<Report> reports = new LinkedHashSet<>(cluster.reports.get(machine));
    reports.removeIf(r -> !cluster.mayInformLeader(machine, r));
    cluster.reports.set(machine, reports);
    return cluster;
  }

  // ---- messages to workers ----

  private void messageSteps(Cluster cluster, int machine, StepListener listener) {
    for (Message message : cluster.messages.get(machine)) {
      // The message stays in the network: a copy may be delivered at any later time.
      Cluster after = new Cluster(cluster);
      Worker worker = after.mutableWorker(machine);
      boolean executed = worker.execute(message);
      for (int leaderIndex = 0; leaderIndex < cluster.leaders.length; leaderIndex++) {
        Leader.Call call = cluster.leaders[leaderIndex].machines[machine].call;
        if (call != null && call.response() == null && call.message().equals(message)) {
          after.mutableLeader(leaderIndex).machines[machine].call =
              new Leader.Call(message, executed, worker.report());
          if (!bounds.lateResponses()) {
            Cluster afterResponse = new Cluster(after);
            afterResponse.addProofs(
                afterResponse.mutableLeader(leaderIndex).receiveResponse(machine));
            listener.accept(
                () -> worker.host + " answers " + message, prune(afterResponse, machine));
            after.mutableLeader(leaderIndex).machines[machine].call = call;
          }
        }
      }
      listener.accept(() -> worker.host + " gets " + message, prune(after, machine));
    }
  }

  // ---- reports to controllers ----

  private void reportSteps(Cluster cluster, int machine, StepListener listener) {
    for (Report report : cluster.reports.get(machine)) {
      for (int leaderIndex = 0; leaderIndex < cluster.leaders.length; leaderIndex++) {
        if (cluster.leaders[leaderIndex].leading) {
          Cluster after = new Cluster(cluster);
          Leader leader = after.mutableLeader(leaderIndex);
          after.addProofs(leader.applyReport(machine, report));
          Supplier<String> stepName = () -> "leader " + leader.term + " hears " + report;
          if (leader.leading) {
            addMessage(
                prune(after, machine),
                machine,
                leader.replyTo(machine, report),
                stepName,
                listener);
          } else {
            listener.accept(stepName, prune(after, machine));
          }
        }
      }
      if (bounds.nonLeaderRaises() && !cluster.raisedByNonLeader) {
        Cluster after = new Cluster(cluster);
        after.raisedByNonLeader = true;
        Message raised =
            new Message(
                FencingToken.raisedByNonLeader(report.token()), report.session(), List.of());
        addMessage(after, machine, raised, () -> "another controller raises the token", listener);
      }
    }
  }

  // ---- leaders ----

  private void leaderSteps(Cluster cluster, int leaderIndex, StepListener listener) {
    Leader leader = cluster.leaders[leaderIndex];
    String name = "leader " + leader.term;
    for (int machine = 0; machine < bounds.machines(); machine++) {
      callSteps(cluster, leaderIndex, machine, listener);
      // The state service would refuse a record of a deposed leader or of a cancelled job.
      boolean canRecord = cluster.leaderKeyHolder == leaderIndex && !cluster.cancelled;
      if (canRecord && leader.canPlan(machine) && leader.lastNumber < bounds.attempts()) {
        Cluster after = new Cluster(cluster);
        after.mutableLeader(leaderIndex).plan(machine);
        String host = Leader.host(machine);
        listener.accept(() -> name + " plans on " + host, after);
      }
    }
    boolean canHalt = leader.knowsCancelled || !bounds.userMayCancel();
    if (leader.attempt != null && canHalt && !leader.isHalting()) {
      Cluster after = new Cluster(cluster);
      after.mutableLeader(leaderIndex).halt();
      listener.accept(() -> name + " halts", after);
    }
    if (cluster.cancelled && !leader.knowsCancelled) {
      Cluster after = new Cluster(cluster);
      Leader informedLeader = after.mutableLeader(leaderIndex);
      informedLeader.knowsCancelled = true;
      if (informedLeader.attempt != null) {
        informedLeader.halt();
      }
      listener.accept(() -> name + " learns of the cancellation", after);
    }
    boolean holdsLeaderKey = cluster.leaderKeyHolder == leaderIndex;
    if (holdsLeaderKey
        && leader.knowsCancelled
        && leader.attempt == null
        && !cluster.cancellationProved) {
      Cluster after = new Cluster(cluster);
      after.cancellationProved = true;
      listener.accept(() -> name + " says that nothing of the job is left", after);
    }
  }

  private Cluster pruneAll(Cluster cluster) {
    for (int machine = 0; machine < bounds.machines(); machine++) {
      prune(cluster, machine);
    }
    return cluster;
  }

  private void callSteps(Cluster cluster, int leaderIndex, int machine, StepListener listener) {
    Leader leader = cluster.leaders[leaderIndex];
    Leader.Machine machineState = leader.machines[machine];
    String name = "leader " + leader.term;
    boolean canRaiseToken = leader.canRaiseToken(machine, bounds.maxRaises());
    boolean sendsClear =
        machineState.outbox.values().stream().anyMatch(o -> o instanceof WorkerCommand.Clear);
    if (leader.canSend(machine) && (canRaiseToken || !sendsClear)) {
      Cluster after = new Cluster(cluster);
      Message message = after.mutableLeader(leaderIndex).send(machine);
      if (message == null) {
        listener.accept(() -> name + " has nothing to send", after);
      } else {
        addMessage(after, machine, message, () -> name + " sends " + message, listener);
        if (after.leaders[leaderIndex].canRaiseToken(machine, bounds.maxRaises())) {
          Cluster afterRefusal = new Cluster(after);
          afterRefusal.mutableLeader(leaderIndex).failCall(machine, false);
          listener.accept(() -> name + " is refused a connection", afterRefusal);
        }
      }
    }
    if (machineState.call == null) {
      return;
    }
    if (machineState.call.response() != null) {
      Cluster after = new Cluster(cluster);
      after.addProofs(after.mutableLeader(leaderIndex).receiveResponse(machine));
      listener.accept(
          () -> name + " gets the answer of " + Leader.host(machine), prune(after, machine));
    }
    if (canRaiseToken) {
      Cluster after = new Cluster(cluster);
      after.mutableLeader(leaderIndex).failCall(machine, true);
      listener.accept(
          () -> name + " gets no answer of " + Leader.host(machine), prune(after, machine));
    }
  }

  // ---- the state service ----

  private void stateServiceSteps(Cluster cluster, StepListener listener) {
    if (bounds.userMayCancel() && !cluster.cancelled) {
      Cluster after = new Cluster(cluster);
      after.cancelled = true;
      refuseRecords(after);
      listener.accept(() -> "the user cancels", after);
    }
    for (int leaderIndex = 0; leaderIndex < cluster.leaders.length; leaderIndex++) {
      if (cluster.leaders[leaderIndex].leading) {
        recordSteps(cluster, leaderIndex, listener);
      }
    }
    if (cluster.canSuccessorBegin()) {
      // The former leader does not know yet that it has been deposed. A former leader whose process
      // has ended is covered as well: it is one that takes no more steps.
      Cluster after = new Cluster(cluster);
      after.leaderKeyHolder = 1;
      refuseRecords(after);
      Leader successor = after.mutableLeader(1);
      successor.leading = true;
      successor.knowsCancelled = cluster.cancelled;
      successor.lastNumber = cluster.recorded.lastNumber();
      if (cluster.recorded.number() > 0) {
        successor.attempt =
            AttemptRules.adopted(
                cluster.recorded.number(),
                Leader.host(cluster.recorded.machine()),
                cluster.recorded.session(),
                successor.term);
        if (cluster.cancelled) {
          successor.halt();
        }
      }
      listener.accept(() -> "leader 2 begins", pruneAll(after));
    }
  }

  /**
   * Refuses the transactions in flight. A transaction is applied only while the leader's key and
   * the job are unchanged, so once one of them has changed, a late transaction can be treated as
   * refused.
   */
  private static void refuseRecords(Cluster cluster) {
    for (int leaderIndex = 0; leaderIndex < cluster.leaders.length; leaderIndex++) {
      if (cluster.leaders[leaderIndex].recordInFlight) {
        cluster.mutableLeader(leaderIndex).completeRecord(false);
      }
    }
  }

  private static void recordSteps(Cluster cluster, int leaderIndex, StepListener listener) {
    Leader leader = cluster.leaders[leaderIndex];
    boolean holdsLeaderKey = cluster.leaderKeyHolder == leaderIndex;
    if (leader.recordInFlight) {
      Cluster after = new Cluster(cluster);
      Leader writer = after.mutableLeader(leaderIndex);
      after.recorded = recordAttempt(writer, cluster.recorded);
      writer.completeRecord(true);
      listener.accept(() -> "the attempt of leader " + leader.term + " goes on record", after);
    }
    boolean isAttemptGone = leader.attempt == null && !leader.recordInFlight;
    if (holdsLeaderKey && isAttemptGone && cluster.recorded.number() > 0) {
      Cluster after = new Cluster(cluster);
      after.recorded = new Cluster.Recorded(leader.lastNumber, 0, 0, 0);
      listener.accept(() -> "leader " + leader.term + " records that the attempt is gone", after);
    }
  }

  /**
   * Returns the record that a leader's transaction writes. An attempt that the leader has dropped
   * since it sent the transaction may be recorded all the same, which this model allows.
   */
  private static Cluster.Recorded recordAttempt(Leader writer, Cluster.Recorded before) {
    if (writer.attempt == null) {
      return new Cluster.Recorded(writer.lastNumber, 0, 0, before.session());
    }
    int machine = Integer.parseInt(writer.attempt.host().substring(2));
    return new Cluster.Recorded(
        writer.lastNumber, writer.attempt.number(), machine, writer.attempt.session());
  }
}
