package dapplestair.cancellations;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.peers.Peers;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.work.Latest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * When all controllers have ended in an outage of the state service, nobody remembers what was
 * cancelled, nor can it be read. No lease is kept then, so that what runs on machines that are
 * heard ends; a machine that hangs past its lease has to be returned. Machines that are silent
 * while most others are heard are returned by the controllers together, without knowing what runs
 * there: its lease is over anyway.
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
  private static final int MOST_RETURNED_AT_ONCE = 50;

  private final Clock clock;
  private final Timers timers;
  private final CloudClient cloud;
  private final Settings settings;
  private final Peers peers;
  private final BooleanSupplier recordless;
  private final Map<String, Long> heardAt = new Latest<>(MOST_HEARD);
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
        .questions()
        .answer(
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
      askPeers(0);
    }
  }

  private long silentMs() {
    return settings.workers().leaseMs() / SILENT_PER_LEASE;
  }

  /** All of them must say so: one that has records, or does not answer, may keep leases. */
  private void askPeers(int next) {
    if (next == settings.peers().size()) {
      list(null, new ArrayList<>(), 0);
      return;
    }
    peers
        .questions()
        .ask(
            settings.peers().get(next).member(),
            RECORDLESS,
            new byte[0],
            settings.workers().reportMs() / 4,
            reply -> {
              if (reply != null && reply.length == 1 && reply[0] == YES) {
                askPeers(next + 1);
              } else {
                rest();
              }
            });
  }

  /** The next turn comes after a while: the leader to be needs nearly all of the cloud's calls. */
  private void rest() {
    timers.after(Math.round(4000 / settings.cloud().rps()), () -> busy = false);
  }

  private void list(String from, List<String> silent, int heard) {
    cloud.lookUp(
        from,
        MOST_LISTED,
        reply -> {
          JsonNode page = reply.ok() ? Json.parse(reply.body()) : null;
          if (page == null || !recordless.getAsBoolean()) {
            rest();
            return;
          }
          int heardSoFar = heard;
          String last = from;
          for (JsonNode node : page.path("hosts")) {
            last = Json.text(node, "ref");
            if (isHeard(last)) {
              heardSoFar++;
            } else if (ranBefore(node)) {
              silent.add(last);
            }
          }
          if (page.path("more").asBoolean()) {
            list(last, silent, heardSoFar);
          } else {
            conclude(silent, heardSoFar);
          }
        });
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

  private void conclude(List<String> silent, int heard) {
    if (silent.isEmpty() || silent.size() > heard) {
      // When most are silent it is rather we who are cut off.
      rest();
      return;
    }
    List<String> some = silent.subList(0, Math.min(MOST_RETURNED_AT_ONCE, silent.size()));
    LOG.warn("no controller has records, and {} are silent: returning them", some);
    cloud.enforceRelease(some, reply -> rest());
  }
}
