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

/** Fetches the cloud's list of machines and finds those that have failed or were reclaimed. */
final class MachineList {
  /** Receives the machines that the list proves to be gone, with everything that ran on them. */
  interface Listener {
    /** Called when a machine has stopped on its own; it stays listed until it is returned. */
    void onFailed(Host host);

    /** Called when the cloud has reclaimed a machine. */
    void onReclaimed(Host host);
  }

  private final Clock clock;
  private final Settings settings;
  private final MachineTypes types;
  private final WorkerManager workers;
  private final CloudClient cloud;
  private final Listener listener;
  private long lastListedAtMs = Long.MIN_VALUE / 2;
  private boolean fetching;
  private int fetchGeneration;

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
    fetchGeneration++;
    fetching = false;
    lastListedAtMs = Long.MIN_VALUE / 2;
  }

  /** Returns when the last fetch of the list ended, complete or not. */
  long lastListedAtMs() {
    return lastListedAtMs;
  }

  /** Returns the maximum lag of a list: lists lag by up to twice the stated time, plus a margin. */
  long maxLagMs() {
    return Math.round(2.2 * settings.cloud().listLagMs()) + 1000;
  }

  /** Requests a new list when one is due. */
  void refresh() {
    long now = clock.now();
    if (!fetching && now - lastListedAtMs > Math.max(settings.cloud().listLagMs() / 2, 1000)) {
      fetching = true;
      fetchPage(null, now, new HashSet<>(), fetchGeneration);
    }
  }

  private void fetchPage(String afterId, long requestedAtMs, Set<String> seenIds, int generation) {
    cloud.listMachines(
        afterId,
        reply -> {
          if (generation != fetchGeneration) {
            return;
          }
          JsonNode body = Json.parse(reply.body());
          if (!reply.ok() || !body.path("hosts").isArray()) {
            finishFetch();
            return;
          }
          String lastId = afterId;
          for (JsonNode node : body.get("hosts")) {
            lastId = node.path("ref").asText();
            seenIds.add(lastId);
            applyEntry(lastId, node);
          }
          if (Json.flag(body, "more") && lastId != null) {
            fetchPage(lastId, requestedAtMs, seenIds, generation);
          } else {
            finishFetch();
            reportMissing(requestedAtMs, seenIds);
          }
        });
  }

  private void finishFetch() {
    fetching = false;
    lastListedAtMs = clock.now();
  }

  private void applyEntry(String id, JsonNode node) {
    if (workers.isGone(id)) {
      return;
    }
    long now = clock.now();
    Host host = workers.getOrCreateHost(id);
    boolean hadAddress = host.hasEndpoint();
    host.describe(
        Json.text(node, "endpoint"),
        types.get(node.path("hull").asText()),
        node.path("basin").asText(),
        Json.flag(node, "loaners"));
    host.setRentedAt(now - Math.round(1000 * Json.decimal(node, "ageS", 0)));
    host.markListed(now);
    String status = node.path("status").asText();
    if (status.equals("failed")) {
      listener.onFailed(host);
    } else if (status.equals("running")) {
      host.markExpectedUp();
      if (!hadAddress) {
        workers.probe(host);
      }
    }
  }

  /**
   * Reports machines that are missing from the list. A list may be older than the one before it, so
   * a machine counts as gone only when it was first listed longer ago than the maximum lag.
   */
  private void reportMissing(long requestedAtMs, Set<String> seenIds) {
    long maxLagMs = maxLagMs();
    for (Host host : List.copyOf(workers.hosts())) {
      if (!seenIds.contains(host.id())
          && host.firstListedAt() != Long.MAX_VALUE
          && requestedAtMs - host.firstListedAt() > maxLagMs) {
        listener.onReclaimed(host);
      }
    }
  }
}
