package dapplestair.model;

import dapplestair.ledger.Attempt;
import dapplestair.ledger.AttemptRules;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

/**
 * Encodes a state so that two states are equal exactly when their bytes are. Of ticks, only the
 * order among the reports in flight and those that a leader has seen matters, so ticks are written
 * as ranks. The network's sets are written in sorted order.
 */
final class Encoder {
  private static final int MAX_STATE_BYTES = 4096;

  private final ByteBuffer out = ByteBuffer.allocate(MAX_STATE_BYTES);
  private long[] inFlightTicks;

  private Encoder() {}

  static byte[] encode(Cluster cluster) {
    Encoder encoder = new Encoder();
    for (int machine = 0; machine < cluster.workers.length; machine++) {
      encoder.putMachine(cluster, machine);
    }
    for (Leader leader : cluster.leaders) {
      encoder.putLeader(leader);
    }
    encoder.putNumber(cluster.leaderKeyHolder);
    encoder.putFlag(cluster.cancelled);
    encoder.putNumber(cluster.recorded.lastNumber());
    encoder.putNumber(cluster.recorded.number());
    encoder.putNumber(cluster.recorded.machine());
    encoder.putNumber(cluster.recorded.session());
    encoder.putFlag(cluster.raisedByNonLeader);
    for (boolean proved : cluster.provedGone) {
      encoder.putFlag(proved);
    }
    encoder.putFlag(cluster.cancellationProved);
    return encoder.takeBytesFrom(0);
  }

  /** Returns the ticks of all reports of a machine that are in flight, in ascending order. */
  private static long[] inFlightTicks(Cluster cluster, int machine) {
    TreeSet<Long> ticks = new TreeSet<>();
    cluster.reports.get(machine).forEach(r -> ticks.add(r.tick()));
    for (Leader leader : cluster.leaders) {
      Leader.Call call = leader.machines[machine].call;
      if (call != null && call.response() != null) {
        ticks.add(call.response().tick());
      }
    }
    return ticks.stream().mapToLong(Long::longValue).toArray();
  }

  private void putNumber(long value) {
    if (value >= 0 && value < 100) {
      out.put((byte) value);
      return;
    }
    out.put((byte) -1);
    for (int shift = 56; shift >= 0; shift -= 8) {
      out.put((byte) (value >> shift));
    }
  }

  private void putFlag(boolean value) {
    out.put((byte) (value ? 1 : 0));
  }

  private void putTickRank(long tick) {
    putNumber(Arrays.stream(inFlightTicks).filter(t -> t <= tick).count());
  }

  private void putMachine(Cluster cluster, int machine) {
    inFlightTicks = inFlightTicks(cluster, machine);
    Worker worker = cluster.workers[machine];
    putNumber(worker.session);
    putNumber(worker.token);
    for (Worker.Task task : worker.tasks) {
      putNumber(task.ordinal());
    }
    putSorted(cluster.messages.get(machine).stream().map(this::bytes).toList());
    putSorted(cluster.reports.get(machine).stream().map(this::bytes).toList());
    for (Leader leader : cluster.leaders) {
      putMachine(leader.machines[machine]);
    }
  }

  private void putMachine(Leader.Machine machineState) {
    putNumber(machineState.fence);
    putNumber(machineState.session);
    putTickRank(machineState.tick);
    putFlag(machineState.acknowledged);
    putFlag(machineState.hasStrayTasks);
    putNumber(machineState.outbox.size());
    machineState.outbox.values().forEach(this::putOrder);
    putFlag(machineState.call != null);
    if (machineState.call != null) {
      putMessage(machineState.call.message());
      putFlag(machineState.call.executed());
      putFlag(machineState.call.response() != null);
      if (machineState.call.response() != null) {
        putReport(machineState.call.response());
      }
    }
  }

  private void putLeader(Leader leader) {
    putFlag(leader.leading);
    putFlag(leader.knowsCancelled);
    putFlag(leader.recordInFlight);
    putNumber(leader.lastNumber);
    Attempt attempt = leader.attempt;
    putFlag(attempt != null);
    if (attempt != null) {
      putNumber(attempt.number());
      putNumber(Integer.parseInt(attempt.host().substring(2)));
      putNumber(attempt.session());
      putFlag(AttemptRules.planned(attempt));
      putFlag(attempt.isSent());
      putNumber(attempt.isSent() ? AttemptRules.neededToken(attempt) : 0);
    }
  }

  private void putOrder(WorkerCommand order) {
    putNumber(
        order instanceof WorkerCommand.Launch ? 0 : order instanceof WorkerCommand.Halt ? 1 : 2);
    putNumber(order.attempt());
  }

  private void putMessage(Message message) {
    putNumber(message.token());
    putNumber(message.session());
    putNumber(message.orders().size());
    message.orders().forEach(this::putOrder);
  }

  private void putReport(Report report) {
    putNumber(report.session());
    putTickRank(report.tick());
    putNumber(report.token());
    putNumber(report.tasks().size());
    for (Report.Task task : report.tasks()) {
      putNumber(task.attempt());
      putNumber(task.status().ordinal());
    }
  }

  private byte[] bytes(Message message) {
    int from = out.position();
    putMessage(message);
    return takeBytesFrom(from);
  }

  private byte[] bytes(Report report) {
    int from = out.position();
    putReport(report);
    return takeBytesFrom(from);
  }

  private byte[] takeBytesFrom(int from) {
    byte[] bytes = Arrays.copyOfRange(out.array(), from, out.position());
    out.position(from);
    return bytes;
  }

  private void putSorted(List<byte[]> parts) {
    List<byte[]> sortedParts = new ArrayList<>(parts);
    sortedParts.sort(Arrays::compare);
    putNumber(sortedParts.size());
    sortedParts.forEach(out::put);
  }
}
