package dapplestair.workers;

import dapplestair.ledger.Attempt;
import dapplestair.work.WorkerCommand;
import java.util.List;

/** Gives the model in package {@code model} access to the rules for tokens and launches. */
public final class FencingRules {
  private FencingRules() {}

  /**
   * Returns a machine whose token was raised {@code fence} times, in this session of its worker.
   */
  private static Host host(long fence, long session) {
    Host host = new Host("n-1", 0);
    host.fence = fence;
    host.session = session;
    return host;
  }

  /** Returns true when the launch is still due for the attempt, which may be null. */
  public static boolean isDue(long session, Attempt attempt, WorkerCommand launch) {
    Host host = host(0, session);
    if (attempt != null) {
      host.reserve(attempt);
    }
    return Fencing.findDueAttempt(host, launch) != null;
  }

  /** Returns the fence after a message with these commands was prepared. */
  public static long beforeSend(long fence, List<WorkerCommand> commands, List<Attempt> launches) {
    Host host = host(fence, 0);
    Fencing.beforeSend(host, commands, launches);
    return host.fence;
  }

  /** Records that a message with these launches was answered. */
  public static void callAnswered(List<Attempt> launches) {
    Fencing.callAnswered(launches);
  }

  /** Returns the fence after a message got no reply. */
  public static long callUnanswered(long fence, long term, List<Attempt> launches, boolean sent) {
    Host host = host(fence, 0);
    Fencing.callUnanswered(host, term, launches, sent);
    return host.fence;
  }

  /** Returns the fence after a worker has shown this token. */
  public static long tokenShown(long fence, long term, long token) {
    Host host = host(fence, 0);
    Fencing.tokenShown(host, term, token);
    return host.fence;
  }
}
