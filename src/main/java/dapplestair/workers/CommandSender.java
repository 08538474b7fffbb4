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

/** Brings orders to machines, one message at a time to each, and fences off what got no answer. */
final class CommandSender {
  /** Told of what machines answer. */
  interface Listener {
    /** A machine's report after its orders. */
    void report(Host host, Report report);

    /** Two calls in a row were not answered. */
    void unanswered(Host host);
  }

  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);
  private static final int MOST_ORDERS = 200;
  private static final int MOST_DOUBLINGS = 4;

  private final Clock clock;
  private final Timers timers;
  private final Relay relay;
  private final Leadership leadership;
  private final Cancellations cancellations;
  private final HostRegistry hostRegistry;
  private final Listener listener;
  private final long reportMs;
  private final long callMs;
  private final Set<String> flushing = new HashSet<>();
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
    this.callMs = Math.min(reportMs / 2, settings.workers().leaseMs() / 16);
  }

  void lead() {
    leading = true;
  }

  void clear() {
    leading = false;
    flushing.clear();
  }

  /** The token to show to a machine: the term, and its fence. */
  long token(Host host) {
    return FencingToken.of(leadership.term(), host.fence);
  }

  /** Sends an order with all others of this turn. */
  void queue(String hostId, WorkerCommand command) {
    Host host = hostRegistry.known(hostId);
    if (host == null || !leading) {
      return;
    }
    host.outbox.put(command.id(), command);
    if (flushing.add(hostId)) {
      timers.after(
          0,
          () -> {
            flushing.remove(hostId);
            Host h = hostRegistry.known(hostId);
            if (h != null) {
              send(h);
            }
          });
    }
  }

  /** Sends what waits for a machine. */
  void send(Host host) {
    if (!host.outbox.isEmpty()) {
      call(host, false);
    }
  }

  /** Sends what waits, or nothing: the answer shows what is on the machine. */
  void probe(Host host) {
    call(host, true);
  }

  private void call(Host host, boolean evenEmpty) {
    if (!leading
        || !leadership.isLeading()
        || host.calling
        || host.endpoint == null
        || clock.now() < host.callAgainAt) {
      return;
    }
    List<WorkerCommand> orders = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    take(host, orders, launches);
    if (orders.isEmpty() && !evenEmpty) {
      return;
    }
    Fencing.sending(host, orders, launches);
    ObjectNode body = WorkerCommand.call(token(host), host.session, orders);
    if (!launches.isEmpty()) {
      LOG.debug("{} launches leave for {} under token {}", launches.size(), host.id(), token(host));
    }
    host.calling = true;
    long term = leadership.term();
    relay.sendCommands(
        // After a call that failed on its way through another controller, the next one is direct.
        host.failedCalls > 0 ? null : host.relay,
        host.endpoint,
        Json.bytes(body),
        patienceMs(host),
        reply -> {
          if (leading && leadership.term() == term) {
            host.calling = false;
            answered(host, orders, launches, reply);
          }
        });
  }

  /**
   * How long an answer is waited for. A machine that reports, and shows what earlier calls told it,
   * though their answers came too late, is behind a slow link: with one patience for all it took no
   * work for as long as its link was slow (OverloadTest). One that is not reached hangs or is deaf.
   */
  private long patienceMs(Host host) {
    boolean reached = clock.now() - host.heardAt < 2 * reportMs;
    int doublings = reached ? Math.min(MOST_DOUBLINGS, host.failedCalls) : 0;
    return Math.min(reportMs, callMs << doublings);
  }

  private void take(Host host, List<WorkerCommand> orders, List<Attempt> launches) {
    Iterator<WorkerCommand> it = host.outbox.values().iterator();
    while (it.hasNext() && orders.size() < MOST_ORDERS) {
      WorkerCommand command = it.next();
      if (command instanceof WorkerCommand.Launch && !mayLaunch(host)) {
        continue;
      }
      it.remove();
      if (command instanceof WorkerCommand.Launch) {
        Attempt attempt = Fencing.due(host, command);
        if (attempt == null) {
          continue;
        }
        launches.add(attempt);
      }
      orders.add(command);
    }
  }

  /**
   * A launch of a job that was cancelled without this leader's knowledge must not leave for long
   * after that, nor under a token above all that another controller raises to keep it out: see
   * package cancellations.
   */
  private boolean mayLaunch(Host host) {
    return cancellations.mayLaunch() && Fencing.launchesMayLeave(host, leadership.term());
  }

  private void answered(
      Host host, List<WorkerCommand> orders, List<Attempt> launches, HttpReply reply) {
    boolean executed = reply.status() == 200;
    if (executed || reply.status() == 409) {
      host.failedCalls = 0;
      Fencing.answered(launches);
      Report report = Report.parse(Json.parse(reply.body()));
      if (report != null && report.host().equals(host.id())) {
        listener.report(host, report);
      }
      if (!executed) {
        requeue(host, orders);
      }
      send(host);
      return;
    }
    host.failedCalls++;
    boolean sent = reply.status() != HttpReply.NOT_SENT;
    Fencing.unanswered(host, leadership.term(), launches, sent);
    // A report that shows the raised token was sent since.
    if (host.tokenSeen >= host.challenge) {
      host.challenge = token(host);
    }
    // The connection of the first failed call was closed, so a later call has made a new one.
    host.lastCallConnected = sent;
    host.callAgainAt = clock.now() + Math.min(reportMs / 3, 100L << Math.min(4, host.failedCalls));
    if (sent) {
      requeue(host, orders);
    } else {
      orders.forEach(o -> host.outbox.putIfAbsent(o.id(), o));
    }
    if (host.failedCalls == 2) {
      listener.unanswered(host);
    }
  }

  /** Stops may be repeated; a launch never is, nor a clear whose launch may still be on its way. */
  private static void requeue(Host host, List<WorkerCommand> orders) {
    for (WorkerCommand command : orders) {
      if (command instanceof WorkerCommand.Halt halt) {
        host.outbox.putIfAbsent(halt.id(), halt);
      }
    }
  }
}
