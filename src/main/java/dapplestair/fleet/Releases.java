package dapplestair.fleet;

import dapplestair.cloud.CloudClient;
import dapplestair.events.Events;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines to the cloud, in batches of at most what one call accepts. */
final class Releases {
  private static final Logger LOG = LoggerFactory.getLogger(Releases.class);
  private static final int MAX_MACHINES_PER_RELEASE = 100;

  private final WorkerManager workers;
  private final CloudClient cloud;
  private final Events events;
  // Replicas cannot be replaced until the release of their machine is confirmed, so machines with
  // replicas go first.
  private final Set<String> urgentIds = new LinkedHashSet<>();
  private final Set<String> waitingIds = new LinkedHashSet<>();
  private boolean leading;
  private boolean requestInFlight;

  Releases(WorkerManager workers, CloudClient cloud, Events events) {
    this.workers = workers;
    this.cloud = cloud;
    this.events = events;
  }

  void lead() {
    leading = true;
  }

  void clear() {
    leading = false;
    urgentIds.clear();
    waitingIds.clear();
    requestInFlight = false;
  }

  /** Queues a machine to be returned, whatever runs on it. */
  void add(Host host) {
    host.setReleasing(true);
    (host.serviceCpus() > 0 ? urgentIds : waitingIds).add(host.id());
  }

  /** Queues a machine that is already gone, to remove it from the cloud's list. */
  void addGone(String id) {
    waitingIds.add(id);
  }

  void sendNextBatch() {
    List<String> batch =
        Stream.concat(urgentIds.stream(), waitingIds.stream())
            .limit(MAX_MACHINES_PER_RELEASE)
            .toList();
    if (requestInFlight || batch.isEmpty()) {
      return;
    }
    requestInFlight = true;
    cloud.release(
        batch,
        reply -> {
          requestInFlight = false;
          if (leading && reply.status() == 200) {
            batch.forEach(this::onReturned);
            sendNextBatch();
          }
        });
  }

  /** Records a confirmed return, which proves that nothing runs on the machine any more. */
  private void onReturned(String id) {
    urgentIds.remove(id);
    waitingIds.remove(id);
    Host host = workers.findHost(id);
    if (host != null) {
      LOG.debug("the cloud confirmed the return of machine {}", id);
      events.publish(Events.Kind.RETURNED, o -> o.put("machine", id).put("zone", host.zone()));
      workers.markGone(host);
    }
  }
}
