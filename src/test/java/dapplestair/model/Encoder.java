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
 * Writes a state so that two states are equal exactly when their bytes are. Ticks only count by the
 * order of the reports on their way and of those that a leader has seen, so they are written as
 * ranks; the network's sets are written in sorted order.
 */
final class Encoder {
  private static final int LARGEST = 4096;

  private final ByteBuffer out = ByteBuffer.allocate(LARGEST);
  private long[] ticks;

  private Encoder() {}

  static byte[] encode(Cluster c) {
    Encoder e = new Encoder();
    for (int m = 0; m < c.workers.length; m++) {
      e.machine(c, m);
    }
    for (Leader l : c.leaders) {
      e.leader(l);
    }
    e.number(c.leaderKey);
    e.flag(c.cancelled);
    e.number(c.recorded.lastNumber());
    e.number(c.recorded.number());
    e.number(c.recorded.machine());
    e.number(c.recorded.session());
    e.flag(c.raisedByOther);
    for (boolean proved : c.proved) {
      e.flag(proved);
    }
    e.flag(c.cancellationProved);
    return e.taken(0);
  }

  /** Of all reports of a machine that are on their way, in order. */
  private static long[] ticks(Cluster c, int machine) {
    TreeSet<Long> all = new TreeSet<>();
    c.reports.get(machine).forEach(r -> all.add(r.tick()));
    for (Leader l : c.leaders) {
      Leader.Call call = l.machines[machine].call;
      if (call != null && call.response() != null) {
        all.add(call.response().tick());
      }
    }
    return all.stream().mapToLong(Long::longValue).toArray();
  }

  private void number(long value) {
    if (value >= 0 && value < 100) {
      out.put((byte) value);
      return;
    }
    out.put((byte) -1);
    for (int shift = 56; shift >= 0; shift -= 8) {
      out.put((byte) (value >> shift));
    }
  }

  private void flag(boolean value) {
    out.put((byte) (value ? 1 : 0));
  }

  private void tick(long tick) {
    number(Arrays.stream(ticks).filter(t -> t <= tick).count());
  }

  private void machine(Cluster c, int m) {
    ticks = ticks(c, m);
    Worker w = c.workers[m];
    number(w.session);
    number(w.token);
    for (Worker.Task t : w.tasks) {
      number(t.ordinal());
    }
    sorted(c.messages.get(m).stream().map(this::bytes).toList());
    sorted(c.reports.get(m).stream().map(this::bytes).toList());
    for (Leader l : c.leaders) {
      machine(l.machines[m]);
    }
  }

  private void machine(Leader.Machine m) {
    number(m.fence);
    number(m.session);
    tick(m.tick);
    flag(m.acknowledged);
    flag(m.strays);
    number(m.outbox.size());
    m.outbox.values().forEach(this::order);
    flag(m.call != null);
    if (m.call != null) {
      message(m.call.message());
      flag(m.call.executed());
      flag(m.call.response() != null);
      if (m.call.response() != null) {
        report(m.call.response());
      }
    }
  }

  private void leader(Leader l) {
    flag(l.leading);
    flag(l.knowsCancelled);
    flag(l.recording);
    number(l.lastNumber);
    Attempt a = l.attempt;
    flag(a != null);
    if (a != null) {
      number(a.number());
      number(Integer.parseInt(a.host().substring(2)));
      number(a.session());
      flag(AttemptRules.planned(a));
      flag(a.isSent());
      number(a.isSent() ? AttemptRules.neededToken(a) : 0);
    }
  }

  private void order(WorkerCommand o) {
    number(o instanceof WorkerCommand.Launch ? 0 : o instanceof WorkerCommand.Halt ? 1 : 2);
    number(o.attempt());
  }

  private void message(Message m) {
    number(m.token());
    number(m.session());
    number(m.orders().size());
    m.orders().forEach(this::order);
  }

  private void report(Report r) {
    number(r.session());
    tick(r.tick());
    number(r.token());
    number(r.tasks().size());
    for (Report.Task t : r.tasks()) {
      number(t.attempt());
      number(t.status().ordinal());
    }
  }

  private byte[] bytes(Message m) {
    int from = out.position();
    message(m);
    return taken(from);
  }

  private byte[] bytes(Report r) {
    int from = out.position();
    report(r);
    return taken(from);
  }

  private byte[] taken(int from) {
    byte[] bytes = Arrays.copyOfRange(out.array(), from, out.position());
    out.position(from);
    return bytes;
  }

  private void sorted(List<byte[]> parts) {
    List<byte[]> inOrder = new ArrayList<>(parts);
    inOrder.sort(Arrays::compare);
    number(inOrder.size());
    inOrder.forEach(out::put);
  }
}
