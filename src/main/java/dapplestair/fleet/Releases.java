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

/** Machines on their way back to the cloud, in lots as large as one call takes. */
final class Releases {
  private static final Logger LOG = LoggerFactory.getLogger(Releases.class);
  private static final int MOST_PER_RELEASE = 100;

  private final WorkerManager workers;
  private final CloudClient cloud;
  private final Events events;
  // Replicas wait for the release of their former machine, so those go first.
  private final Set<String> urgent = new LinkedHashSet<>();
  private final Set<String> waiting = new LinkedHashSet<>();
  private boolean leading;
  private boolean asking;

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
    urgent.clear();
    waiting.clear();
    asking = false;
  }

  /** Returns a machine, whatever is on it. */
  void add(Host host) {
    host.setReleasing(true);
    (host.serviceCpus() > 0 ? urgent : waiting).add(host.id());
  }

  /** Takes a machine that is gone already off the cloud's list. */
  void addGone(String id) {
    waiting.add(id);
  }

  void send() {
    List<String> batch =
        Stream.concat(urgent.stream(), waiting.stream()).limit(MOST_PER_RELEASE).toList();
    if (asking || batch.isEmpty()) {
      return;
    }
    asking = true;
    cloud.release(
        batch,
        reply -> {
          asking = false;
          if (leading && reply.status() == 200) {
            batch.forEach(this::returned);
            send();
          }
        });
  }

  /** The cloud has confirmed it: nothing is left on the machine. */
  private void returned(String id) {
    urgent.remove(id);
    waiting.remove(id);
    Host host = workers.findHost(id);
    if (host != null) {
      LOG.debug("{} is returned", id);
      events.note(Events.Kind.RETURNED, o -> o.put("machine", id).put("zone", host.zone()));
      workers.markGone(host);
    }
  }
}
