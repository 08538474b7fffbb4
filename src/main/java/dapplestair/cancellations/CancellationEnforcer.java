package dapplestair.cancellations;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.leadership.FencingToken;
import dapplestair.pause.PauseDetector;
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
 * Ends cancelled tasks while this controller is not the leader. It sends halts directly to the
 * addresses of the machines, with a fencing token raised above that of any launch that may still be
 * in flight. It does so only for cancellations that this controller confirmed to a user, or adopted
 * from a controller that has ended. Cancellations that a leader reports to handle are left to it
 * until half of the time for cancellations has passed. The last resort is to return the machine to
 * the cloud.
 */
final class CancellationEnforcer {
  private static final Logger LOG = LoggerFactory.getLogger(CancellationEnforcer.class);
  private static final int MAX_CONCURRENT_CALLS = 24;
  private static final int MAX_ADDRESSES = 4000;
  private static final int MAX_LISTED_MACHINES = 50;
  private static final int MAX_RETURNED_PER_TURN = 20;

  /** A cancelled task that is not yet proved to be absent from a location. */
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
  private final PauseDetector pauses;
  private final long launchWindowMs;
  private final long callTimeoutMs;
  private final Map<String, String> addresses = new BoundedMap<>(MAX_ADDRESSES);
  private final Set<String> hostsWithOpenCall = new HashSet<>();

  // Locations from which a job's task is proved to be absent, until the job is no longer tracked.
  private final Map<String, Set<Cancellation.TaskLocation>> absentLocationsByJob = new HashMap<>();
  private boolean lookupBlocked;
  private boolean returnBlocked;

  /**
   * Creates an enforcer.
   *
   * @param launchWindowMs how long after a cancellation a controller that does not know of it may
   *     still send launches
   */
  CancellationEnforcer(
      Clock clock,
      Timers timers,
      HttpCaller http,
      CloudClient cloud,
      Settings settings,
      OpenCancellations openCancellations,
      PauseDetector pauses,
      long launchWindowMs) {
    this.clock = clock;
    this.timers = timers;
    this.http = http;
    this.cloud = cloud;
    this.settings = settings;
    this.openCancellations = openCancellations;
    this.pauses = pauses;
    this.launchWindowMs = launchWindowMs;
    this.callTimeoutMs = settings.workers().reportMs() / 2;
  }

  /** Records the address of a machine as reported by the machine itself. */
  void recordAddress(String host, String endpoint) {
    addresses.put(host, endpoint);
  }

  /**
   * Goes once through the open cancellations, and halts the remaining tasks of those that no leader
   * is known to handle or that are past half of the time for cancellations.
   */
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
        // A leader returns a machine after half of cancelMs at the latest.
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
    ObjectNode body = WorkerCommand.callMessage(token, report.session(), halts);
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
   * Records the tasks that the reply to a halt proves to be absent. A task that the reply does not
   * list, or lists as exited, is gone: under the raised token the worker executes no launch that
   * was sent earlier. It may still execute a launch sent later by a leader that did not know of the
   * cancellation, so the machine is asked again until no such launch can be sent any more.
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
   * Looks up the address of a machine in the cloud. The cloud lists machines by name, starting
   * after a given name. The name without its last character is used as that start, since only few
   * other names lie between the two.
   */
  private void lookUpAddress(String host) {
    if (lookupBlocked || host.length() < 2) {
      return;
    }
    lookupBlocked = true;
    String precedingName = host.substring(0, host.length() - 1);
    cloud.findMachines(
        precedingName,
        MAX_LISTED_MACHINES,
        reply -> {
          // Leaves the leader nearly all of the calls that the cloud allows.
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

  /**
   * Returns machines to the cloud. After a pause of this process the leader may have ended the
   * tasks long ago and use the machines for others: the records, the leader and the machines are
   * asked first.
   */
  private void returnMachines(List<String> hosts) {
    if (returnBlocked || hosts.isEmpty()) {
      return;
    }
    if (!pauses.mayActOnDeadline()) {
      pauses.countHeldBack();
      return;
    }
    returnBlocked = true;
    LOG.warn(
        "machines {} may still run cancelled tasks and no leader ends them: returning the machines",
        hosts);
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
