package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The cloud's list of machines: which exist, which have failed, which were taken. */
final class MachineList {
  /** Told of machines that the list proves to be gone; everything on them is gone, too. */
  interface Listener {
    /** It has stopped on its own; it stays listed until it is returned. */
    void failed(Host host);

    /** The cloud has taken it. */
    void taken(Host host);
  }

  private final Clock clock;
  private final Settings settings;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final CloudClient cloud;
  private final Listener listener;
  private long listedAt = Long.MIN_VALUE / 2;
  private boolean listing;
  private int generation;

  MachineList(
      Clock clock,
      Settings settings,
      MachineTypes types,
      WorkerManager workers,
      CloudClient cloud,
      Listener listener) {
    this.clock = clock;
    this.settings = settings;
    this.types = types;
    this.workers = workers;
    this.cloud = cloud;
    this.listener = listener;
  }

  void clear() {
    generation++;
    listing = false;
    listedAt = Long.MIN_VALUE / 2;
  }

  /** When the last list was complete. */
  long listedAt() {
    return listedAt;
  }

  /** Lists lag by up to twice the stated time; a margin is added. */
  long longestLag() {
    return Math.round(2.2 * settings.cloud().listLagMs()) + 1000;
  }

  /** Asks for a list when one is due. */
  void refresh() {
    long now = clock.now();
    if (!listing && now - listedAt > Math.max(settings.cloud().listLagMs() / 2, 1000)) {
      listing = true;
      ask(null, now, new HashSet<>(), generation);
    }
  }

  private void ask(String from, long askedAt, Set<String> seen, int gen) {
    cloud.list(
        from,
        reply -> {
          if (gen != generation) {
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (!reply.ok() || !body.path("hosts").isArray()) {
            ended();
            return;
          }
          String last = from;
          for (JsonNode node : body.get("hosts")) {
            last = node.path("ref").asText();
            seen.add(last);
            listed(last, node);
          }
          if (Json.flag(body, "more") && last != null) {
            ask(last, askedAt, seen, gen);
          } else {
            ended();
            missing(askedAt, seen);
          }
        });
  }

  private void ended() {
    listing = false;
    listedAt = clock.now();
  }

  private void listed(String id, JsonNode node) {
    if (workers.isGone(id)) {
      return;
    }
    long now = clock.now();
    Host host = workers.getOrCreateHost(id);
    boolean addressed = host.hasEndpoint();
    host.describe(
        Json.text(node, "endpoint"),
        types.get(node.path("hull").asText()),
        node.path("basin").asText(),
        Json.flag(node, "loaners"));
    host.setRentedAt(now - Math.round(1000 * Json.decimal(node, "ageS", 0)));
    host.markListed(now);
    String status = node.path("status").asText();
    if (status.equals("failed")) {
      listener.failed(host);
    } else if (status.equals("running")) {
      host.markExpectedUp();
      if (!addressed) {
        workers.probe(host);
      }
    }
  }

  /**
   * Machines that the list lacks. A list may be older than the one before it, so a machine counts
   * as gone only once it has been listed for longer than any list can lag.
   */
  private void missing(long askedAt, Set<String> seen) {
    long longestLag = longestLag();
    for (Host host : List.copyOf(workers.hosts())) {
      if (!seen.contains(host.id())
          && host.firstListedAt() != Long.MAX_VALUE
          && askedAt - host.firstListedAt() > longestLag) {
        listener.taken(host);
      }
    }
  }
}
