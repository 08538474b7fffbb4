package dapplestair.cancellations;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.peers.Peers;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.work.BoundedMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * When all controllers have ended in an outage of the state service, nobody remembers what was
 * cancelled, nor can it be read. No lease is kept then, so that what runs on machines that are
 * heard ends; a machine that hangs past its lease has to be returned. Machines that are silent
 * while others are heard are returned by the controllers together, without knowing what runs there:
 * its lease is over anyway.
 */
final class ForgottenMachines {
  private static final Logger LOG = LoggerFactory.getLogger(ForgottenMachines.class);

  /** Whether a controller has read no record since it began. */
  private static final String NO_RECORDS_TOPIC = "recordless";

  private static final byte YES = 1;
  private static final byte NO = 0;

  // Every worker that can has tried every controller within less than half of a lease.
  private static final int SILENCE_PERIODS_PER_LEASE = 2;
  private static final int MAX_HEARD_MACHINES = 8000;
  private static final int MAX_MACHINES_PER_PAGE = 500;
  private static final int MAX_RETURNED_PER_CALL = 100;

  /** A machine that may run something and is silent. */
  private record SilentMachine(String host, String zone) {}

  /** What one turn finds out. */
  private static final class Survey {
    /** Zones of controllers that are neither heard nor refuse connections. */
    final Set<String> unansweredZones = new HashSet<>();

    /** Zones of which a machine is heard. */
    final Set<String> heardZones = new HashSet<>();

    final List<SilentMachine> silentMachines = new ArrayList<>();

    /**
     * Machines that are silent while others are heard. A zone of which nothing is heard, neither
     * machines nor its controller, is cut off: that controller may know what was cancelled.
     */
    List<String> forgottenHosts() {
      if (heardZones.isEmpty()) {
        // It is rather we who are cut off.
        return List.of();
      }
      return silentMachines.stream()
          .filter(
              machine ->
                  heardZones.contains(machine.zone()) || !unansweredZones.contains(machine.zone()))
          .map(SilentMachine::host)
          .toList();
    }
  }

  private final Clock clock;
  private final Timers timers;
  private final CloudClient cloud;
  private final Settings settings;
  private final Peers peers;
  private final BooleanSupplier hasNoRecords;
  private final Map<String, Long> lastReportAtMs = new BoundedMap<>(MAX_HEARD_MACHINES);
  private long startedAtMs;
  private boolean turnInProgress;

  /** {@code hasNoRecords} is true while this controller has read no record since it began. */
  ForgottenMachines(
      Clock clock,
      Timers timers,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      BooleanSupplier hasNoRecords) {
    this.clock = clock;
    this.timers = timers;
    this.cloud = cloud;
    this.settings = settings;
    this.peers = peers;
    this.hasNoRecords = hasNoRecords;
  }

  void start() {
    startedAtMs = clock.now();
    peers
        .questions()
        .answer(
            NO_RECORDS_TOPIC,
            (body, reply) -> reply.accept(new byte[] {hasNoRecords.getAsBoolean() ? YES : NO}));
  }

  /** A machine reported here. */
  void recordReport(String host) {
    if (hasNoRecords.getAsBoolean()) {
      lastReportAtMs.put(host, clock.now());
    }
  }

  /** One turn. */
  void runTurn() {
    if (!hasNoRecords.getAsBoolean()) {
      lastReportAtMs.clear();
      return;
    }
    if (!turnInProgress && clock.now() - startedAtMs >= silenceThresholdMs()) {
      turnInProgress = true;
      askPeers(0, new Survey());
    }
  }

  private long silenceThresholdMs() {
    return settings.workers().leaseMs() / SILENCE_PERIODS_PER_LEASE;
  }

  /**
   * None of them may say that it has records: it looks after what it knows. One that is away, or
   * cut off, cannot be asked, and need not remember either.
   */
  private void askPeers(int peerIndex, Survey survey) {
    if (peerIndex == settings.peers().size()) {
      listMachines(null, survey);
      return;
    }
    Settings.Peer peer = settings.peers().get(peerIndex);
    peers
        .questions()
        .ask(
            peer.member(),
            NO_RECORDS_TOPIC,
            new byte[0],
            settings.workers().reportMs() / 4,
            reply -> handlePeerReply(peer, peerIndex, survey, reply));
  }

  private void handlePeerReply(Settings.Peer peer, int peerIndex, Survey survey, byte[] reply) {
    boolean hasAnswered = reply != null && reply.length == 1;
    if (hasAnswered ? reply[0] != YES : peers.alive(peer.member())) {
      endTurn();
      return;
    }
    if (!hasAnswered && !peers.seemsEnded(peer.member())) {
      survey.unansweredZones.add(peer.zone());
    }
    askPeers(peerIndex + 1, survey);
  }

  /** The next turn comes after a while: the leader to be needs nearly all of the cloud's calls. */
  private void endTurn() {
    timers.after(Math.round(4000 / settings.cloud().rps()), () -> turnInProgress = false);
  }

  private void listMachines(String afterHost, Survey survey) {
    cloud.lookUp(
        afterHost,
        MAX_MACHINES_PER_PAGE,
        reply -> {
          JsonNode page = reply.ok() ? Json.parse(reply.body()) : null;
          if (page == null || !hasNoRecords.getAsBoolean()) {
            endTurn();
            return;
          }
          String lastHost = afterHost;
          for (JsonNode node : page.path("hosts")) {
            lastHost = Json.text(node, "ref");
            addToSurvey(survey, lastHost, node);
          }
          if (page.path("more").asBoolean()) {
            listMachines(lastHost, survey);
          } else {
            returnMachines(survey.forgottenHosts());
          }
        });
  }

  private void addToSurvey(Survey survey, String host, JsonNode node) {
    String zone = Json.text(node, "basin");
    if (isHeard(host)) {
      survey.heardZones.add(zone);
    } else if (ranBeforeStart(node)) {
      survey.silentMachines.add(new SilentMachine(host, zone));
    }
  }

  private boolean isHeard(String host) {
    Long reportAtMs = lastReportAtMs.get(host);
    return reportAtMs != null && clock.now() - reportAtMs < silenceThresholdMs();
  }

  /** True when it was up before this controller began, so that something may run there. */
  private boolean ranBeforeStart(JsonNode node) {
    double ageMs = 1000 * node.path("ageS").asDouble();
    return "running".equals(Json.text(node, "status")) && ageMs > clock.now() - startedAtMs;
  }

  private void returnMachines(List<String> hosts) {
    if (hosts.isEmpty() || !hasNoRecords.getAsBoolean()) {
      endTurn();
      return;
    }
    int count = Math.min(MAX_RETURNED_PER_CALL, hosts.size());
    List<String> batch = hosts.subList(0, count);
    LOG.warn("no controller has records, and {} are silent: returning them", batch);
    cloud.enforceRelease(batch, reply -> returnMachines(hosts.subList(count, hosts.size())));
  }
}
