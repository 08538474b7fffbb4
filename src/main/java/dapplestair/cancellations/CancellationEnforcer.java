package dapplestair.cancellations;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.work.BoundedMap;
import dapplestair.work.Report;
import dapplestair.work.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends cancelled tasks without being the leader: halts go to their machines' own addresses, with a
 * token raised above any that a launch still on its way can carry. Only for what this controller
 * told a user, and while no leader says that it does the same. The last resort is the return of the
 * machine.
 */
final class CancellationEnforcer {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationEnforcer.class);
  private static final int MOST_CALLS = 24;
  private static final int MOST_ADDRESSES = 4000;
  private static final int MOST_LISTED = 50;
  private static final int MOST_RETURNED_AT_ONCE = 20;

  /** A place at which a cancellation's task is not proved to be absent. */
  private record RemainingTask(Cancellation cancellation, Cancellation.TaskLocation place) {
    String ref() {
      return cancellation.ref();
    }
  }

  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final CloudClient cloud;
  private final Settings settings;
  private final OpenCancellations open;
  private final long launchMs;
  private final long callMs;
  private final Map<String, String> addresses = new BoundedMap<>(MOST_ADDRESSES);
  private final Set<String> calling = new HashSet<>();

  // What is proved to be absent, by job; forgotten with the job.
  private final Map<String, Set<Cancellation.TaskLocation>> absent = new HashMap<>();
  private boolean asking;
  private boolean returning;

  /**
   * Launches may be sent for {@code launchMs} after a cancellation by one who does not know of it.
   */
  CancellationEnforcer(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      OpenCancellations open,
      long launchMs) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.cloud = cloud;
    this.settings = settings;
    this.open = open;
    this.launchMs = launchMs;
    this.callMs = settings.workers().reportMs() / 2;
  }

  /** A machine's address, as it said itself. */
  void addressed(String host, String endpoint) {
    addresses.put(host, endpoint);
  }

  /** One turn over all cancellations that nobody is known to carry out. */
  void enforce() {
    List<Cancellation> all = open.all();
    absent.keySet().retainAll(all.stream().map(Cancellation::ref).toList());
    Map<String, List<RemainingTask>> byHost = new LinkedHashMap<>();
    List<String> hopeless = new ArrayList<>();
    long cancelMs = settings.workers().cancelMs();
    for (Cancellation cancellation : all) {
      long ageMs = clock.now() - cancellation.at();
      boolean carriedOn = open.carriedOn(cancellation.ref());
      if (ageMs < cancelMs / 16 || carriedOn && ageMs < cancelMs / 2) {
        continue;
      }
      Set<Cancellation.TaskLocation> gone = absent.getOrDefault(cancellation.ref(), Set.of());
      List<Cancellation.TaskLocation> left =
          cancellation.places().stream().filter(p -> !gone.contains(p)).toList();
      if (left.isEmpty()) {
        open.proved(cancellation.ref());
      }
      for (Cancellation.TaskLocation p : left) {
        byHost
            .computeIfAbsent(p.host(), h -> new ArrayList<>())
            .add(new RemainingTask(cancellation, p));
        // Whoever leads returns a machine after half of the time at the latest.
        if (!carriedOn && ageMs > cancelMs * 5 / 8 && hopeless.size() < MOST_RETURNED_AT_ONCE) {
          hopeless.add(p.host());
        }
      }
    }
    byHost.forEach(this::visit);
    giveBack(hopeless.stream().distinct().toList());
  }

  private void visit(String host, List<RemainingTask> tasks) {
    if (calling.size() >= MOST_CALLS || calling.contains(host)) {
      return;
    }
    String endpoint = addresses.get(host);
    if (endpoint == null) {
      lookUp(host);
      return;
    }
    calling.add(host);
    http.call(
        endpoint,
        "GET",
        "/status",
        null,
        callMs,
        reply -> {
          Report report = reply.status() == 200 ? Report.parse(Json.parse(reply.body())) : null;
          if (report == null || !report.host().equals(host)) {
            calling.remove(host);
            return;
          }
          halt(endpoint, report, tasks);
        });
  }

  private void halt(String endpoint, Report report, List<RemainingTask> tasks) {
    long token = FencingToken.raisedByNonLeader(report.token());
    if (token < 0) {
      calling.remove(report.host());
      return;
    }
    List<WorkerCommand.Halt> halts =
        tasks.stream()
            .map(t -> new WorkerCommand.Halt(t.place().key(t.ref()), t.place().number(), 0))
            .toList();
    ObjectNode body = WorkerCommand.call(token, report.session(), halts);
    long sentAt = clock.now();
    http.call(
        endpoint,
        "POST",
        "/orders",
        Json.bytes(body),
        callMs,
        reply -> {
          calling.remove(report.host());
          if (reply.status() == 200) {
            conclude(Report.parse(Json.parse(reply.body())), sentAt, tasks);
          }
        });
  }

  /**
   * What the answer lacks, or calls exited, is gone: no launch sent before can be executed under
   * the raised token. One that a leader who did not know sent later can be, so until none can be
   * sent any more the machine is asked again.
   */
  private void conclude(Report after, long sentAt, List<RemainingTask> tasks) {
    if (after == null) {
      return;
    }
    Set<String> there = new HashSet<>();
    after.tasks().stream()
        .filter(t -> t.status() != Report.Status.EXITED)
        .forEach(t -> there.add(t.key()));
    for (RemainingTask t : tasks) {
      boolean settled = sentAt > t.cancellation().at() + 2 * launchMs;
      boolean laterSession = after.session() > t.place().session();
      if (laterSession || settled && !there.contains(t.place().key(t.ref()))) {
        absent.computeIfAbsent(t.ref(), k -> new HashSet<>()).add(t.place());
      }
    }
  }

  /**
   * The cloud knows a machine's address. Names are listed in order after a given one: after this
   * name less its last letter come few others before it.
   */
  private void lookUp(String host) {
    if (asking || host.length() < 2) {
      return;
    }
    asking = true;
    String from = host.substring(0, host.length() - 1);
    cloud.findMachines(
        from,
        MOST_LISTED,
        reply -> {
          // The leader needs nearly all calls that the cloud allows.
          timers.after(Math.round(4000 / settings.cloud().rps()), () -> asking = false);
          for (JsonNode node : Json.parse(reply.ok() ? reply.body() : new byte[0]).path("hosts")) {
            String name = Json.text(node, "ref");
            String endpoint = Json.text(node, "endpoint");
            if (name != null && endpoint != null) {
              addressed(name, endpoint);
            }
          }
        });
  }

  private void giveBack(List<String> hosts) {
    if (returning || hosts.isEmpty()) {
      return;
    }
    returning = true;
    LOG.warn("{} still hold cancelled work, and nobody else ends it: returning them", hosts);
    cloud.enforceRelease(
        hosts,
        reply -> {
          timers.after(Math.round(2000 / settings.cloud().rps()), () -> returning = false);
          returned(hosts, reply);
        });
  }

  private void returned(List<String> hosts, HttpReply reply) {
    if (reply.status() != 200) {
      return;
    }
    Set<String> gone = new HashSet<>(hosts);
    for (Cancellation cancellation : open.all()) {
      cancellation.places().stream()
          .filter(p -> gone.contains(p.host()))
          .forEach(p -> absent.computeIfAbsent(cancellation.ref(), k -> new HashSet<>()).add(p));
    }
  }
}
