package dapplestair.workers;

import dapplestair.leadership.FencingToken;
import dapplestair.ledger.Attempt;
import dapplestair.work.WorkerCommand;
import java.util.List;

/**
 * The rules by which a machine's fencing token is raised with the messages sent to it, and what the
 * outcome of each message proves about its launches. The test package {@code model} explores these
 * rules exhaustively.
 */
final class Fencing {
  private Fencing() {}

  /** Returns the attempt that this launch command should still start, or null if there is none. */
  static Attempt findDueAttempt(Host host, WorkerCommand launch) {
    Attempt attempt = host.attempt(launch.key());
    // The attempt may have been dropped meanwhile, or planned for a session that has ended.
    boolean isDue =
        attempt != null
            && attempt.number() == launch.attempt()
            && !attempt.isSent()
            && !attempt.job().isOver()
            && attempt.session() == host.session;
    return isDue ? attempt : null;
  }

  /**
   * Returns true when launches may be sent under the machine's token. The token must be lower than
   * any token that another controller may raise the worker to in order to fence them off.
   */
  static boolean maySendLaunches(Host host, long term) {
    long shownFence =
        FencingToken.term(host.tokenSeen) == term ? FencingToken.fence(host.tokenSeen) : 0;
    return host.fence - shownFence < FencingToken.MAX_FENCE_LEAD;
  }

  /** Prepares for sending a message with these commands; the caller reads its token afterwards. */
  static void beforeSend(Host host, List<WorkerCommand> commands, List<Attempt> launches) {
    if (commands.stream().anyMatch(command -> command instanceof WorkerCommand.Clear)) {
      // A worker forgets an attempt that was cleared, so a delayed copy of the message that
      // launched it would start it again. With the raised token that copy is refused, since it
      // carries a lower one.
      host.fence++;
    }
    launches.forEach(Attempt::markLaunchSent);
  }

  /**
   * Records that the worker replied, which means that the whole message was executed or refused.
   */
  static void callAnswered(List<Attempt> launches) {
    launches.forEach(Attempt::markLaunchAnswered);
  }

  /**
   * Records that a message got no reply. If the message was {@code sent}, its launches may still be
   * executed at any time until the worker has seen the token that is raised here, so nothing is
   * concluded about them before the worker shows that token.
   */
  static void callUnanswered(Host host, long term, List<Attempt> launches, boolean sent) {
    host.fence++;
    long token = FencingToken.of(term, host.fence);
    launches.forEach(
        attempt -> {
          if (sent) {
            attempt.markLaunchUnknown(token);
          } else {
            attempt.markLaunchNotSent();
          }
        });
  }

  /**
   * Records the token that the worker shows. Another controller may have raised it within the term,
   * and the worker executes no message with a lower token any more.
   */
  static void tokenShown(Host host, long term, long token) {
    if (FencingToken.term(token) == term) {
      host.fence = Math.max(host.fence, FencingToken.fence(token));
    }
  }
}
