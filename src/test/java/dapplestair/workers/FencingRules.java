package dapplestair.workers;

import dapplestair.ledger.Attempt;
import dapplestair.work.WorkerCommand;
import java.util.List;

/** Opens the rules for tokens and launches to the model in package {@code model}. */
public final class FencingRules {
  private FencingRules() {}

  /** A machine of a leader that has raised its token so often, in this session of its worker. */
  private static Host host(long fence, long session) {
    Host host = new Host("n-1", 0);
    host.fence = fence;
    host.session = session;
    return host;
  }

  /** True when the launch is still due for the attempt, which may be null. */
  public static boolean isDue(long session, Attempt attempt, WorkerCommand launch) {
    Host host = host(0, session);
    if (attempt != null) {
      host.hold(attempt);
    }
    return Fencing.findDueAttempt(host, launch) != null;
  }

  /** The fence after a message with these orders was made up. */
  public static long beforeSend(long fence, List<WorkerCommand> orders, List<Attempt> launches) {
    Host host = host(fence, 0);
    Fencing.beforeSend(host, orders, launches);
    return host.fence;
  }

  /** A message with these launches was answered. */
  public static void callAnswered(List<Attempt> launches) {
    Fencing.callAnswered(launches);
  }

  /** The fence after a message got no answer. */
  public static long callUnanswered(long fence, long term, List<Attempt> launches, boolean sent) {
    Host host = host(fence, 0);
    Fencing.callUnanswered(host, term, launches, sent);
    return host.fence;
  }

  /** The fence after a worker has shown this token. */
  public static long tokenShown(long fence, long term, long token) {
    Host host = host(fence, 0);
    Fencing.tokenShown(host, term, token);
    return host.fence;
  }
}
