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
  private static final int MAX_CONCURRENT_CALLS = 24;
  private static final int MAX_ADDRESSES = 4000;
  private static final int MAX_LISTED_MACHINES = 50;
  private static final int MAX_RETURNED_PER_TURN = 20;

  /** A place at which a cancellation's task is not proved to be absent. */
  private record RemainingTask(Cancellation cancellation, Cancellation.TaskLocation location) {
    String ref() {
      return cancellation.ref();
    }
  }

  private final Clock clock;
  private final Timers timers;
  private final HttpCaller http;
  private final CloudClient cloud;
  private final Settings settings;
  private final OpenCancellations openCancellations;
  private final long launchWindowMs;
  private final long callTimeoutMs;
  private final Map<String, String> addresses = new BoundedMap<>(MAX_ADDRESSES);
  private final Set<String> hostsWithOpenCall = new HashSet<>();

  // What is proved to be absent, by job; forgotten with the job.
  private final Map<String, Set<Cancellation.TaskLocation>> absentLocationsByJob = new HashMap<>();
  private boolean lookupBlocked;
  private boolean returnBlocked;

  /**
   * Launches may be sent for {@code launchWindowMs} after a cancellation by one who does not know
   * of it.
   */
  CancellationEnforcer(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      OpenCancellations openCancellations,
      long launchWindowMs) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.cloud = cloud;
    this.settings = settings;
    this.openCancellations = openCancellations;
    this.launchWindowMs = launchWindowMs;
    this.callTimeoutMs = settings.workers().reportMs() / 2;
  }

  /** A machine's address, as it said itself. */
  void recordAddress(String host, String endpoint) {
    addresses.put(host, endpoint);
  }

  /** One turn over all cancellations that nobody is known to carry out. */
  void enforce() {
    List<Cancellation> cancellations = openCancellations.ownCancellations();
    absentLocationsByJob.keySet().retainAll(cancellations.stream().map(Cancellation::ref).toList());
    Map<String, List<RemainingTask>> tasksByHost = new LinkedHashMap<>();
    List<String> hostsToReturn = new ArrayList<>();
    long cancelMs = settings.workers().cancelMs();
    for (Cancellation cancellation : cancellations) {
      long ageMs = clock.now() - cancellation.knownSinceMs();
      boolean handledByLeader = openCancellations.isHandledByLeader(cancellation.ref());
      if (ageMs < cancelMs / 16 || handledByLeader && ageMs < cancelMs / 2) {
        continue;
      }
      Set<Cancellation.TaskLocation> absentLocations =
          absentLocationsByJob.getOrDefault(cancellation.ref(), Set.of());
      List<Cancellation.TaskLocation> remainingLocations =
          cancellation.locations().stream()
              .filter(location -> !absentLocations.contains(location))
              .toList();
      if (remainingLocations.isEmpty()) {
        openCancellations.remove(cancellation.ref());
      }
      for (Cancellation.TaskLocation location : remainingLocations) {
        tasksByHost
            .computeIfAbsent(location.host(), h -> new ArrayList<>())
            .add(new RemainingTask(cancellation, location));
        // Whoever leads returns a machine after half of the time at the latest.
        if (!handledByLeader
            && ageMs > cancelMs * 5 / 8
            && hostsToReturn.size() < MAX_RETURNED_PER_TURN) {
          hostsToReturn.add(location.host());
        }
      }
    }
    tasksByHost.forEach(this::haltTasksOn);
    returnMachines(hostsToReturn.stream().distinct().toList());
  }

  private void haltTasksOn(String host, List<RemainingTask> tasks) {
    if (hostsWithOpenCall.size() >= MAX_CONCURRENT_CALLS || hostsWithOpenCall.contains(host)) {
      return;
    }
    String endpoint = addresses.get(host);
    if (endpoint == null) {
      lookUpAddress(host);
      return;
    }
    hostsWithOpenCall.add(host);
    http.call(
        endpoint,
        "GET",
        "/status",
        null,
        callTimeoutMs,
        reply -> {
          Report report = reply.status() == 200 ? Report.parse(Json.parse(reply.body())) : null;
          if (report == null || !report.host().equals(host)) {
            hostsWithOpenCall.remove(host);
            return;
          }
          sendHalts(endpoint, report, tasks);
        });
  }

  private void sendHalts(String endpoint, Report report, List<RemainingTask> tasks) {
    long token = FencingToken.raisedByNonLeader(report.token());
    if (token < 0) {
      hostsWithOpenCall.remove(report.host());
      return;
    }
    List<WorkerCommand.Halt> halts =
        tasks.stream()
            .map(
                task ->
                    new WorkerCommand.Halt(
                        task.location().taskKey(task.ref()), task.location().attempt(), 0))
            .toList();
    ObjectNode body = WorkerCommand.call(token, report.session(), halts);
    long sentAtMs = clock.now();
    http.call(
        endpoint,
        "POST",
        "/orders",
        Json.bytes(body),
        callTimeoutMs,
        reply -> {
          hostsWithOpenCall.remove(report.host());
          if (reply.status() == 200) {
            recordAbsentTasks(Report.parse(Json.parse(reply.body())), sentAtMs, tasks);
          }
        });
  }

  /**
   * What the answer lacks, or calls exited, is gone: no launch sent before can be executed under
   * the raised token. One that a leader who did not know sent later can be, so until none can be
   * sent any more the machine is asked again.
   */
  private void recordAbsentTasks(Report reportAfterHalt, long sentAtMs, List<RemainingTask> tasks) {
    if (reportAfterHalt == null) {
      return;
    }
    Set<String> presentTaskKeys = new HashSet<>();
    reportAfterHalt.tasks().stream()
        .filter(task -> task.status() != Report.Status.EXITED)
        .forEach(task -> presentTaskKeys.add(task.key()));
    for (RemainingTask task : tasks) {
      boolean noLaunchCanFollow =
          sentAtMs > task.cancellation().knownSinceMs() + 2 * launchWindowMs;
      boolean laterSession = reportAfterHalt.session() > task.location().session();
      if (laterSession
          || noLaunchCanFollow && !presentTaskKeys.contains(task.location().taskKey(task.ref()))) {
        absentLocationsByJob.computeIfAbsent(task.ref(), k -> new HashSet<>()).add(task.location());
      }
    }
  }

  /**
   * The cloud knows a machine's address. Names are listed in order after a given one: after this
   * name less its last letter come few others before it.
   */
  private void lookUpAddress(String host) {
    if (lookupBlocked || host.length() < 2) {
      return;
    }
    lookupBlocked = true;
    String precedingName = host.substring(0, host.length() - 1);
    cloud.lookUp(
        precedingName,
        MAX_LISTED_MACHINES,
        reply -> {
          // The leader needs nearly all calls that the cloud allows.
          timers.after(Math.round(4000 / settings.cloud().rps()), () -> lookupBlocked = false);
          for (JsonNode node : Json.parse(reply.ok() ? reply.body() : new byte[0]).path("hosts")) {
            String name = Json.text(node, "ref");
            String endpoint = Json.text(node, "endpoint");
            if (name != null && endpoint != null) {
              recordAddress(name, endpoint);
            }
          }
        });
  }

  private void returnMachines(List<String> hosts) {
    if (returnBlocked || hosts.isEmpty()) {
      return;
    }
    returnBlocked = true;
    LOG.warn("{} still hold cancelled work, and nobody else ends it: returning them", hosts);
    cloud.enforceRelease(
        hosts,
        reply -> {
          timers.after(Math.round(2000 / settings.cloud().rps()), () -> returnBlocked = false);
          recordReturned(hosts, reply);
        });
  }

  private void recordReturned(List<String> hosts, HttpReply reply) {
    if (reply.status() != 200) {
      return;
    }
    Set<String> returnedHosts = new HashSet<>(hosts);
    for (Cancellation cancellation : openCancellations.ownCancellations()) {
      cancellation.locations().stream()
          .filter(location -> returnedHosts.contains(location.host()))
          .forEach(
              location ->
                  absentLocationsByJob
                      .computeIfAbsent(cancellation.ref(), k -> new HashSet<>())
                      .add(location));
    }
  }
}
