package dapplestair.cancellations;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.pause.PauseDetector;
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
 * Returns silent machines after all controllers have restarted during an outage of the state
 * service. No controller then remembers which jobs were cancelled, and the records cannot be read.
 * No lease is renewed in this situation, so tasks end on the machines that report. A machine that
 * hangs past its lease has to be returned to the cloud. Once the controllers agree that none of
 * them has records, they return machines that are silent while others report, without knowing what
 * runs there: the leases of these machines have expired anyway.
 */
final class ForgottenMachines {
  private static final Logger LOG = LoggerFactory.getLogger(ForgottenMachines.class);

  /** Topic of the question whether a controller has read no records since it started. */
  private static final String NO_RECORDS_TOPIC = "recordless";

  private static final byte YES = 1;
  private static final byte NO = 0;

  // Within less than half of a lease every working worker has tried to reach every controller.
  private static final int SILENCE_PERIODS_PER_LEASE = 2;
  private static final int MAX_HEARD_MACHINES = 8000;
  private static final int MAX_MACHINES_PER_PAGE = 500;
  private static final int MAX_RETURNED_PER_CALL = 100;

  /** A machine that does not report and on which tasks may run. */
  private record SilentMachine(String host, String zone) {}

  /** What one turn finds out about controllers and machines. */
  private static final class Survey {
    /** A pause of this process ends the turn: what it found out before is out of date. */
    final long pauseCount;

    /** Zones of controllers that neither answer nor refuse connections. */
    final Set<String> unansweredZones = new HashSet<>();

    /** Zones from which at least one machine reports. */
    final Set<String> heardZones = new HashSet<>();

    final List<SilentMachine> silentMachines = new ArrayList<>();

    Survey(long pauseCount) {
      this.pauseCount = pauseCount;
    }

    /**
     * Returns the machines that are silent while others report. A zone in which neither a machine
     * nor the controller is heard is disconnected and left out, since its controller may know which
     * jobs were cancelled.
     */
    List<String> forgottenHosts() {
      if (heardZones.isEmpty()) {
        // More likely it is this controller that is disconnected.
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
  private final PauseDetector pauses;
  private final BooleanSupplier hasNoRecords;
  private final Map<String, Long> lastReportAtMs = new BoundedMap<>(MAX_HEARD_MACHINES);
  private long startedAtMs;
  private boolean turnInProgress;

  /** {@code hasNoRecords} is true while this controller has read no records since it started. */
  ForgottenMachines(
      Clock clock,
      Timers timers,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      PauseDetector pauses,
      BooleanSupplier hasNoRecords) {
    this.clock = clock;
    this.timers = timers;
    this.cloud = cloud;
    this.settings = settings;
    this.peers = peers;
    this.pauses = pauses;
    this.hasNoRecords = hasNoRecords;
  }

  void start() {
    startedAtMs = clock.now();
    peers
        .requests()
        .handle(
            NO_RECORDS_TOPIC,
            (body, reply) -> reply.accept(new byte[] {hasNoRecords.getAsBoolean() ? YES : NO}));
  }

  /** Records that a machine has reported to this controller. */
  void recordReport(String host) {
    if (hasNoRecords.getAsBoolean()) {
      lastReportAtMs.put(host, clock.now());
    }
  }

  /** Starts a turn, unless this controller has records or another turn is in progress. */
  void runTurn() {
    if (!hasNoRecords.getAsBoolean()) {
      lastReportAtMs.clear();
      return;
    }
    if (!turnInProgress && listeningMs() >= silenceThresholdMs()) {
      turnInProgress = true;
      askPeers(0, new Survey(pauses.pauseCount()));
    }
  }

  /** Returns for how long this process has heard reports without a pause. */
  private long listeningMs() {
    return clock.now() - Math.max(startedAtMs, pauses.pauseEndedAtMs());
  }

  private long silenceThresholdMs() {
    return settings.workers().leaseMs() / SILENCE_PERIODS_PER_LEASE;
  }

  /**
   * Asks the peers one by one whether they have records. The turn ends if a peer has, since that
   * peer handles the cancellations it knows of, or if a live peer does not answer. A peer that is
   * down or disconnected cannot be asked, and it may not remember any cancellations either.
   */
  private void askPeers(int peerIndex, Survey survey) {
    if (peerIndex == settings.peers().size()) {
      listMachines(null, survey);
      return;
    }
    Settings.Peer peer = settings.peers().get(peerIndex);
    peers
        .requests()
        .ask(
            peer.member(),
            NO_RECORDS_TOPIC,
            new byte[0],
            settings.workers().reportMs() / 4,
            reply -> handlePeerReply(peer, peerIndex, survey, reply));
  }

  private void handlePeerReply(Settings.Peer peer, int peerIndex, Survey survey, byte[] reply) {
    boolean hasAnswered = reply != null && reply.length == 1;
    if (hasAnswered ? reply[0] != YES : peers.isAlive(peer.member())) {
      endTurn();
      return;
    }
    if (!hasAnswered && !peers.seemsEnded(peer.member())) {
      survey.unansweredZones.add(peer.zone());
    }
    askPeers(peerIndex + 1, survey);
  }

  /** Ends this turn, with a delay before the next: a future leader needs nearly all cloud calls. */
  private void endTurn() {
    timers.after(Math.round(4000 / settings.cloud().rps()), () -> turnInProgress = false);
  }

  private void listMachines(String afterHost, Survey survey) {
    cloud.findMachines(
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
            returnMachines(survey.forgottenHosts(), survey.pauseCount);
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

  /**
   * Returns true if the machine ran before this controller started, so that tasks may run there.
   */
  private boolean ranBeforeStart(JsonNode node) {
    double ageMs = 1000 * node.path("ageS").asDouble();
    return "running".equals(Json.text(node, "status")) && ageMs > clock.now() - startedAtMs;
  }

  private void returnMachines(List<String> hosts, long pauseCount) {
    boolean hasPaused = pauses.pauseCount() != pauseCount;
    if (hosts.isEmpty() || hasPaused || !hasNoRecords.getAsBoolean()) {
      endTurn();
      return;
    }
    int count = Math.min(MAX_RETURNED_PER_CALL, hosts.size());
    List<String> batch = hosts.subList(0, count);
    LOG.warn(
        "no controller has read records since its start; returning silent machines {} to the cloud",
        batch);
    cloud.enforceRelease(
        batch, reply -> returnMachines(hosts.subList(count, hosts.size()), pauseCount));
  }
}
