package dapplestair.workers;

import dapplestair.leadership.FencingToken;
import dapplestair.ledger.Attempt;
import dapplestair.work.WorkerCommand;
import java.util.List;

/**
 * How a machine's token rises with the messages sent to it, and what each outcome says about the
 * launches in a message. The rules are explored exhaustively by the tests' package {@code model}.
 */
final class Fencing {
  private Fencing() {}

  /** The attempt that this launch is still due for, or null. */
  static Attempt findDueAttempt(Host host, WorkerCommand launch) {
    Attempt attempt = host.attempt(launch.key());
    // Dropped meanwhile, or planned for a session that has ended.
    boolean isDue =
        attempt != null
            && attempt.number() == launch.attempt()
            && !attempt.sent()
            && !attempt.job().over()
            && attempt.session() == host.session;
    return isDue ? attempt : null;
  }

  /**
   * Whether launches may be sent under the machine's token: it must lie below all that another
   * controller raises the worker's token to in order to keep them out.
   */
  static boolean maySendLaunches(Host host, long term) {
    long shownFence =
        FencingToken.term(host.tokenSeen) == term ? FencingToken.fence(host.tokenSeen) : 0;
    return host.fence - shownFence < FencingToken.MOST_AHEAD;
  }

  /** A message with these orders is about to leave; its token is read after this. */
  static void beforeSend(Host host, List<WorkerCommand> commands, List<Attempt> launches) {
    if (commands.stream().anyMatch(command -> command instanceof WorkerCommand.Clear)) {
      // Once cleared, an attempt is forgotten: a copy of the message that launched it, come late,
      // would start it again. It carries a lower token than this one.
      host.fence++;
    }
    launches.forEach(Attempt::launchSent);
  }

  /** The worker answered: the whole message was executed or refused. */
  static void callAnswered(List<Attempt> launches) {
    launches.forEach(Attempt::launchAnswered);
  }

  /**
   * No answer. If the message was {@code sent}, its launches may be executed at any later time
   * until the worker has seen the token that is raised here: nothing is concluded before it is
   * shown.
   */
  static void callUnanswered(Host host, long term, List<Attempt> launches, boolean sent) {
    host.fence++;
    long token = FencingToken.of(term, host.fence);
    launches.forEach(
        attempt -> {
          if (sent) {
            attempt.launchUnknown(token);
          } else {
            attempt.launchNotSent();
          }
        });
  }

  /**
   * The worker shows this token. Another controller may have raised it within the term: what lies
   * below is not executed any more.
   */
  static void tokenShown(Host host, long term, long token) {
    if (FencingToken.term(token) == term) {
      host.fence = Math.max(host.fence, FencingToken.fence(token));
    }
  }
}
