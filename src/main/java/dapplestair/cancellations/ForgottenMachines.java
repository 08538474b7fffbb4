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
  private static final String RECORDLESS = "recordless";

  private static final byte YES = 1;
  private static final byte NO = 0;

  // Every worker that can has tried every controller within less than half of a lease.
  private static final int SILENT_PER_LEASE = 2;
  private static final int MOST_HEARD = 8000;
  private static final int MOST_LISTED = 500;
  private static final int MOST_RETURNED_AT_ONCE = 100;

  /** A machine that may run something and is silent. */
  private record SilentMachine(String host, String zone) {}

  /** What one turn finds out. */
  private static final class Survey {
    /** Zones of controllers that are neither heard nor refuse connections. */
    final Set<String> unansweredZones = new HashSet<>();

    /** Zones of which a machine is heard. */
    final Set<String> heardZones = new HashSet<>();

    final List<SilentMachine> silent = new ArrayList<>();

    /**
     * Machines that are silent while others are heard. A zone of which nothing is heard, neither
     * machines nor its controller, is cut off: that controller may know what was cancelled.
     */
    List<String> forgotten() {
      if (heardZones.isEmpty()) {
        // It is rather we who are cut off.
        return List.of();
      }
      return silent.stream()
          .filter(m -> heardZones.contains(m.zone()) || !unansweredZones.contains(m.zone()))
          .map(SilentMachine::host)
          .toList();
    }
  }

  private final Clock clock;
  private final Timers timers;
  private final CloudClient cloud;
  private final Settings settings;
  private final Peers peers;
  private final BooleanSupplier recordless;
  private final Map<String, Long> heardAt = new BoundedMap<>(MOST_HEARD);
  private long startedAt;
  private boolean busy;

  /** {@code recordless} is true while this controller has read no record since it began. */
  ForgottenMachines(
      Clock clock,
      Timers timers,
      CloudClient cloud,
      Settings settings,
      Peers peers,
      BooleanSupplier recordless) {
    this.clock = clock;
    this.timers = timers;
    this.cloud = cloud;
    this.settings = settings;
    this.peers = peers;
    this.recordless = recordless;
  }

  void start() {
    startedAt = clock.now();
    peers
        .requests()
        .handle(
            RECORDLESS,
            (body, reply) -> reply.accept(new byte[] {recordless.getAsBoolean() ? YES : NO}));
  }

  /** A machine reported here. */
  void heard(String host) {
    if (recordless.getAsBoolean()) {
      heardAt.put(host, clock.now());
    }
  }

  /** One turn. */
  void look() {
    if (!recordless.getAsBoolean()) {
      heardAt.clear();
      return;
    }
    if (!busy && clock.now() - startedAt >= silentMs()) {
      busy = true;
      askPeers(0, new Survey());
    }
  }

  private long silentMs() {
    return settings.workers().leaseMs() / SILENT_PER_LEASE;
  }

  /**
   * None of them may say that it has records: it looks after what it knows. One that is away, or
   * cut off, cannot be asked, and need not remember either.
   */
  private void askPeers(int next, Survey survey) {
    if (next == settings.peers().size()) {
      list(null, survey);
      return;
    }
    Settings.Peer peer = settings.peers().get(next);
    peers
        .requests()
        .ask(
            peer.member(),
            RECORDLESS,
            new byte[0],
            settings.workers().reportMs() / 4,
            reply -> answered(peer, next, survey, reply));
  }

  private void answered(Settings.Peer peer, int index, Survey survey, byte[] reply) {
    boolean answers = reply != null && reply.length == 1;
    if (answers ? reply[0] != YES : peers.isAlive(peer.member())) {
      rest();
      return;
    }
    if (!answers && !peers.seemsEnded(peer.member())) {
      survey.unansweredZones.add(peer.zone());
    }
    askPeers(index + 1, survey);
  }

  /** The next turn comes after a while: the leader to be needs nearly all of the cloud's calls. */
  private void rest() {
    timers.after(Math.round(4000 / settings.cloud().rps()), () -> busy = false);
  }

  private void list(String from, Survey survey) {
    cloud.findMachines(
        from,
        MOST_LISTED,
        reply -> {
          JsonNode page = reply.ok() ? Json.parse(reply.body()) : null;
          if (page == null || !recordless.getAsBoolean()) {
            rest();
            return;
          }
          String last = from;
          for (JsonNode node : page.path("hosts")) {
            last = Json.text(node, "ref");
            enter(survey, last, node);
          }
          if (page.path("more").asBoolean()) {
            list(last, survey);
          } else {
            release(survey.forgotten());
          }
        });
  }

  private void enter(Survey survey, String host, JsonNode node) {
    String zone = Json.text(node, "basin");
    if (isHeard(host)) {
      survey.heardZones.add(zone);
    } else if (ranBefore(node)) {
      survey.silent.add(new SilentMachine(host, zone));
    }
  }

  private boolean isHeard(String host) {
    Long at = heardAt.get(host);
    return at != null && clock.now() - at < silentMs();
  }

  /** True when it was up before this controller began, so that something may run there. */
  private boolean ranBefore(JsonNode node) {
    double ageMs = 1000 * node.path("ageS").asDouble();
    return "running".equals(Json.text(node, "status")) && ageMs > clock.now() - startedAt;
  }

  private void release(List<String> hosts) {
    if (hosts.isEmpty() || !recordless.getAsBoolean()) {
      rest();
      return;
    }
    int count = Math.min(MOST_RETURNED_AT_ONCE, hosts.size());
    List<String> some = hosts.subList(0, count);
    LOG.warn("no controller has records, and {} are silent: returning them", some);
    cloud.enforceRelease(some, reply -> release(hosts.subList(count, hosts.size())));
  }
}
