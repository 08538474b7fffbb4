package dapplestair.workers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.leadership.FencingToken;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.withdrawals.KnownWithdrawals;
import dapplestair.withdrawals.Withdrawals;
import dapplestair.work.Latest;
import dapplestair.work.Order;
import dapplestair.work.Report;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The answers that keep a worker's lease. A lease is kept only by one who knows of every withdrawal
 * that is old enough to matter, and the same answer ends all withdrawn tasks there and keeps out
 * what was launched of them and is still on its way. So no withdrawn task outlives the lease that
 * somebody who did not know renewed last (docs/withdrawals.md).
 */
final class LeaseRenewal {
  // A line of an answer may take 64 KiB: some 100 bytes for each.
  private static final int MOST_HALTS = 500;
  private static final int MOST_KEPT = 4000;

  /** The token that was shown to a worker to keep launches out, and when. */
  private record Raised(long token, long at) {}

  private final Clock clock;
  private final Courier courier;
  private final Ledger ledger;
  private final Withdrawals withdrawals;
  private final Map<String, Raised> raised = new Latest<>(MOST_KEPT);

  LeaseRenewal(Clock clock, Courier courier, Ledger ledger, Withdrawals withdrawals) {
    this.clock = clock;
    this.courier = courier;
    this.ledger = ledger;
    this.withdrawals = withdrawals;
  }

  /**
   * A leader's answer, or null when it may not keep the lease. All its own attempts there count,
   * not only those in the report: one may have been launched since that was sent.
   */
  ObjectNode byLeader(Host host, Report r) {
    if (!withdrawals.mayRenew()) {
      return null;
    }
    Map<String, Order> halts = new LinkedHashMap<>();
    boolean launchOpen = false;
    for (Attempt a : host.attempts()) {
      if (a.job().over() && a.sent() && !a.exited()) {
        add(halts, a.key(), a.number());
        launchOpen |= a.launchOpen();
      }
    }
    for (Report.Task t : r.tasks()) {
      boolean over = withdrawals.knows(t.ref()) || !ledger.live(t.ref());
      if (t.status() != Report.Status.EXITED && over) {
        add(halts, t.key(), t.attempt());
      }
    }
    if (launchOpen) {
      // The launch is under way: after this answer it is executed no more.
      host.fence++;
    }
    return answer(courier.token(host), halts);
  }

  /**
   * The answer of a controller that does not lead, under the worker's own token; null when it may
   * not keep the lease. It must tell of each task whether its job is withdrawn: of a job that it
   * does not know it cannot, since it may have begun after that job was over.
   */
  ObjectNode byOther(Report r) {
    if (!withdrawals.mayRenew()) {
      return null;
    }
    Map<String, Order> halts = new LinkedHashMap<>();
    for (Report.Task t : r.tasks()) {
      if (t.status() == Report.Status.EXITED) {
        continue;
      }
      if (withdrawals.knows(t.ref())) {
        add(halts, t.key(), t.attempt());
      } else if (!ledger.live(t.ref())) {
        return null;
      }
    }
    for (KnownWithdrawals.Task t : withdrawals.on(r.host(), r.session())) {
      add(halts, t.place().key(t.ref()), t.place().number());
    }
    long token = raisedFor(r);
    return token < 0 ? null : answer(token, halts);
  }

  /**
   * The worker's own token, or one raised above any that a launch on its way can carry, once after
   * each withdrawal: when no such launch can be sent any more, and not before.
   */
  private long raisedFor(Report r) {
    Raised last = raised.get(r.host());
    long needed = withdrawals.newestAt() + withdrawals.launchMs();
    boolean shown = last != null && last.at() > needed && r.token() >= last.token();
    if (shown || clock.now() - withdrawals.newestAt() > withdrawals.keptMs()) {
      return r.token();
    }
    long token = FencingToken.raisedByOther(r.token());
    raised.remove(r.host());
    raised.put(r.host(), new Raised(token, clock.now()));
    return token;
  }

  private static void add(Map<String, Order> halts, String key, long number) {
    Order.Halt halt = new Order.Halt(key, number, 0);
    halts.put(halt.id(), halt);
  }

  private static ObjectNode answer(long token, Map<String, Order> halts) {
    return halts.size() > MOST_HALTS ? null : Order.message(token, halts.values());
  }
}
