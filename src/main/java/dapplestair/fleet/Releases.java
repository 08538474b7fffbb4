package dapplestair.fleet;

import dapplestair.cloud.CloudClient;
import dapplestair.events.Events;
import dapplestair.pause.PauseDetector;
import dapplestair.ports.HttpReply;
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
  private final PauseDetector pauses;
  // Replicas cannot be replaced until the release of their machine is confirmed, so machines with
  // replicas go first.
  private final Set<String> urgentIds = new LinkedHashSet<>();
  private final Set<String> waitingIds = new LinkedHashSet<>();
  // Machines for whose return the cloud was asked without a confirmation so far.
  private final Set<String> unconfirmedIds = new LinkedHashSet<>();
  private boolean leading;
  private boolean requestInFlight;
  private long judgedAtPauseCount;

  Releases(WorkerManager workers, CloudClient cloud, PauseDetector pauses, Events events) {
    this.workers = workers;
    this.cloud = cloud;
    this.pauses = pauses;
    this.events = events;
  }

  void lead() {
    leading = true;
  }

  void clear() {
    leading = false;
    urgentIds.clear();
    waitingIds.clear();
    unconfirmedIds.clear();
    requestInFlight = false;
  }

  /**
   * Forgets the machines that were to be returned before the last pause of this process, unless the
   * cloud may have been asked already. Whether they are to be returned must be judged anew; the
   * others get no work in this term, and the request is repeated if the term still lasts.
   */
  void judgeAgainAfterPause() {
    if (pauses.pauseCount() == judgedAtPauseCount) {
      return;
    }
    judgedAtPauseCount = pauses.pauseCount();
    for (Set<String> ids : List.of(urgentIds, waitingIds)) {
      ids.removeIf(id -> !unconfirmedIds.contains(id) && cancelReturn(id));
    }
  }

  /** Returns false for a machine that is gone already and only has to leave the cloud's list. */
  private boolean cancelReturn(String id) {
    Host host = workers.findHost(id);
    if (host == null) {
      return false;
    }
    host.setReleasing(false);
    pauses.countHeldBack();
    return true;
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
    // A request without an answer may not have arrived, and another leader may use the machines.
    boolean mayRepeat = pauses.isKnowledgeCurrent();
    List<String> batch =
        Stream.concat(urgentIds.stream(), waitingIds.stream())
            .filter(id -> mayRepeat || !unconfirmedIds.contains(id))
            .limit(MAX_MACHINES_PER_RELEASE)
            .toList();
    long pauseCount = pauses.pauseCount();
    if (requestInFlight || batch.isEmpty() || pauseCount != judgedAtPauseCount) {
      return;
    }
    requestInFlight = true;
    unconfirmedIds.addAll(batch);
    cloud.release(
        batch,
        reply -> {
          requestInFlight = false;
          if (reply.status() == HttpReply.NOT_SENT) {
            batch.forEach(unconfirmedIds::remove);
            judgedAtPauseCount = pauseCount;
          }
          if (leading && reply.status() == 200) {
            batch.forEach(this::onReturned);
            sendNextBatch();
          }
        });
  }

  /** Records a confirmed return, which proves that nothing runs on the machine any more. */
  private void onReturned(String id) {
    unconfirmedIds.remove(id);
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
