package dapplestair.workers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cancellations.Cancellations;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Attempt;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.settings.Settings;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to machines, with at most one call in progress to each machine, and raises the
 * fencing token after a call that was not answered.
 */
final class CommandSender {
  /** Receives the outcomes of calls to machines. */
  interface Listener {
    /** Called with the report that a machine returns after it has received its commands. */
    void reportReceived(Host host, Report report);

    /** Called when two calls in a row to a machine have not been answered. */
    void becameUnresponsive(Host host);
  }

  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
  private static final int MAX_COMMANDS_PER_CALL = 200;
  private static final int MAX_TIMEOUT_DOUBLINGS = 4;

  private final Clock clock;
  private final Timers timers;
  private final Relay relay;
  private final Leadership leadership;
  private final Cancellations cancellations;
  private final HostRegistry hostRegistry;
  private final Listener listener;
  private final long reportMs;
  private final long baseCallTimeoutMs;
  private final Set<String> hostIdsWithScheduledSend = new HashSet<>();
  private boolean leading;

  CommandSender(
      Clock clock,
      Timers timers,
      Relay relay,
      Settings settings,
      Leadership leadership,
      Cancellations cancellations,
      HostRegistry hostRegistry,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.relay = relay;
    this.leadership = leadership;
    this.cancellations = cancellations;
    this.hostRegistry = hostRegistry;
    this.listener = listener;
    this.reportMs = settings.workers().reportMs();
    this.baseCallTimeoutMs = Math.min(reportMs / 2, settings.workers().leaseMs() / 16);
  }

  void startLeading() {
    leading = true;
  }

  void stopLeading() {
    leading = false;
    hostIdsWithScheduledSend.clear();
  }

  /** Returns the fencing token to send to a machine: the current term and the machine's fence. */
  long fencingToken(Host host) {
    return FencingToken.of(leadership.term(), host.fence);
  }

  /**
   * Queues a command; all commands queued for a machine in the same event loop turn are sent
   * together.
   */
  void queue(String hostId, WorkerCommand command) {
    Host host = hostRegistry.find(hostId);
    if (host == null || !leading) {
      return;
    }
    host.outbox.put(command.id(), command);
    if (hostIdsWithScheduledSend.add(hostId)) {
      timers.after(
          0,
          () -> {
            hostIdsWithScheduledSend.remove(hostId);
            Host currentHost = hostRegistry.find(hostId);
            if (currentHost != null) {
              sendQueued(currentHost);
            }
          });
    }
  }

  /** Sends the commands that are queued for a machine, if there are any. */
  void sendQueued(Host host) {
    if (!host.outbox.isEmpty()) {
      call(host, false);
    }
  }

  /** Calls a machine with its queued commands, or with none: its reply shows what runs on it. */
  void probe(Host host) {
    call(host, true);
  }

  private void call(Host host, boolean allowEmpty) {
    if (!leading
        || !leadership.isLeading()
        || host.callInProgress
        || host.endpoint == null
        || clock.now() < host.nextCallAt) {
      return;
    }
    List<WorkerCommand> commands = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    takeSendableCommands(host, commands, launches);
    if (commands.isEmpty() && !allowEmpty) {
      return;
    }
    Fencing.beforeSend(host, commands, launches);
    ObjectNode body = WorkerCommand.callMessage(fencingToken(host), host.session, commands);
    if (!launches.isEmpty()) {
      LOG.debug(
          "sending {} launches to {} under fencing token {}",
          launches.size(),
          host.id(),
          fencingToken(host));
    }
    host.callInProgress = true;
    long term = leadership.term();
    relay.sendCommands(
        // The relaying controller may be the reason for a failed call, so the next one is direct.
        host.failedCalls > 0 ? null : host.relayController,
        host.endpoint,
        Json.bytes(body),
        replyTimeoutMs(host),
        reply -> {
          if (leading && leadership.term() == term) {
            host.callInProgress = false;
            handleReply(host, commands, launches, reply);
          }
        });
  }

  /**
   * Returns how long to wait for a machine's reply. The timeout is doubled after each failed call
   * while the machine reports and its reports show the tokens of earlier calls: its link is slow,
   * and the replies came too late. With the same timeout for all, such a machine took no work for
   * as long as its link was slow (OverloadTest). A machine whose reports don't arrive hangs, or
   * receives nothing; its timeout is not extended.
   */
  private long replyTimeoutMs(Host host) {
    boolean reportsArrive = clock.now() - host.lastReachedAt < 2 * reportMs;
    int doublings = reportsArrive ? Math.min(MAX_TIMEOUT_DOUBLINGS, host.failedCalls) : 0;
    return Math.min(reportMs, baseCallTimeoutMs << doublings);
  }

  private void takeSendableCommands(
      Host host, List<WorkerCommand> commands, List<Attempt> launches) {
    Iterator<WorkerCommand> queuedCommands = host.outbox.values().iterator();
    while (queuedCommands.hasNext() && commands.size() < MAX_COMMANDS_PER_CALL) {
      WorkerCommand command = queuedCommands.next();
      if (command instanceof WorkerCommand.Launch && !mayLaunch(host)) {
        continue;
      }
      queuedCommands.remove();
      if (command instanceof WorkerCommand.Launch) {
        Attempt attempt = Fencing.findDueAttempt(host, command);
        if (attempt == null) {
          continue;
        }
        launches.add(attempt);
      }
      commands.add(command);
    }
  }

  /**
   * Returns true when launches may be sent to this machine. A job may have been cancelled without
   * this leader's knowledge: its launches may be sent only for a limited time after that, and only
   * under a token below the one that another controller raises the worker to in order to fence them
   * off (see package cancellations).
   */
  private boolean mayLaunch(Host host) {
    return cancellations.mayLaunch() && Fencing.maySendLaunches(host, leadership.term());
  }

  private void handleReply(
      Host host, List<WorkerCommand> commands, List<Attempt> launches, HttpReply reply) {
    boolean executed = reply.status() == 200;
    if (executed || reply.status() == 409) {
      host.failedCalls = 0;
      Fencing.callAnswered(launches);
      Report report = Report.parse(Json.parse(reply.body()));
      if (report != null && report.host().equals(host.id())) {
        listener.reportReceived(host, report);
      }
      if (!executed) {
        requeue(host, commands);
      }
      sendQueued(host);
      return;
    }
    host.failedCalls++;
    boolean mayHaveArrived = reply.status() != HttpReply.NOT_SENT;
    Fencing.callUnanswered(host, leadership.term(), launches, mayHaveArrived);
    // Only a report that was sent after this failed call can show the raised token.
    if (host.tokenSeen >= host.reachabilityToken) {
      host.reachabilityToken = fencingToken(host);
    }
    // A failed call's connection is closed, so a later call that was sent has opened a new one.
    host.lastCallConnected = mayHaveArrived;
    host.nextCallAt = clock.now() + Math.min(reportMs / 3, 100L << Math.min(4, host.failedCalls));
    if (mayHaveArrived) {
      requeue(host, commands);
    } else {
      commands.forEach(command -> host.outbox.putIfAbsent(command.id(), command));
    }
    if (host.failedCalls == 2) {
      listener.becameUnresponsive(host);
    }
  }

  /**
   * Queues halts again. A launch is never repeated, nor is a clear, whose launch may still be in
   * transit.
   */
  private static void requeue(Host host, List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Halt halt) {
        host.outbox.putIfAbsent(halt.id(), halt);
      }
    }
  }
}
