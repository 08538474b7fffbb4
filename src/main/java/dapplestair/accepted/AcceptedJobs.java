package dapplestair.accepted;

import dapplestair.peers.Peers;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.work.BoundedMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Tracks jobs that were accepted after this controller last read the records, as announced by the
 * leader. Without this, a follower that is disconnected right after an acceptance would mistake the
 * job's tasks for those of a job that is over, and let the leases of their machines expire
 * (docs/cancellations.md).
 */
public final class AcceptedJobs {
  private static final String TOPIC = "accepted";
  private static final byte[] ACKNOWLEDGEMENT = {1};
  private static final int MAX_UNREAD_JOBS = 10_000;
  private static final int RETRIES_PER_REPORT_INTERVAL = 8;

  private final Timers timers;
  private final Peers peers;
  private final BooleanSupplier isLeading;
  private final LongSupplier readRevision;
  private final long retryMs;

  /** Jobs of the newest records read and their revisions, for followers that have not read them. */
  private final Map<String, Long> newestRevisions = new BoundedMap<>(AcceptedJobsCodec.MAX_JOBS);

  /** Jobs that the leader has announced, with the revision of each record. */
  private final Map<String, Long> unreadRevisions = new BoundedMap<>(MAX_UNREAD_JOBS);

  /** Jobs that each follower has not acknowledged, with the revision of each record. */
  private final Map<String, Map<String, Long>> unacknowledgedByFollower = new LinkedHashMap<>();

  private final Set<String> followersWithOpenRequest = new HashSet<>();
  private boolean sendScheduled;

  /** {@code readRevision} is the revision up to which the records have been read here. */
  public AcceptedJobs(
      Timers timers,
      Settings settings,
      Peers peers,
      BooleanSupplier isLeading,
      LongSupplier readRevision) {
    this.timers = timers;
    this.peers = peers;
    this.isLeading = isLeading;
    this.readRevision = readRevision;
    this.retryMs = settings.workers().reportMs() / RETRIES_PER_REPORT_INTERVAL;
    settings
        .peers()
        .forEach(
            peer ->
                unacknowledgedByFollower.put(
                    peer.member(), new BoundedMap<>(AcceptedJobsCodec.MAX_JOBS)));
  }

  /** Starts to receive the leader's announcements. */
  public void start() {
    peers
        .requests()
        .handle(
            TOPIC,
            (body, reply) -> {
              Map<String, Long> revisions = AcceptedJobsCodec.decode(body);
              if (revisions == null) {
                peers.requests().countRefusedMessage();
              } else {
                handleLeaderMessage(revisions);
                reply.accept(ACKNOWLEDGEMENT);
              }
            });
  }

  /** Records the jobs that a leader has announced. */
  void handleLeaderMessage(Map<String, Long> revisions) {
    long readUpTo = readRevision.getAsLong();
    unreadRevisions.values().removeIf(revision -> revision <= readUpTo);
    revisions.forEach(
        (ref, revision) -> {
          if (revision > readUpTo) {
            unreadRevisions.put(ref, revision);
          }
        });
  }

  /**
   * Returns true if this job was accepted after the newest read of the records, and so was not over
   * at that time.
   */
  public boolean isUnread(String ref) {
    Long revision = unreadRevisions.get(ref);
    return revision != null && revision > readRevision.getAsLong();
  }

  /**
   * Records that the record of a job that is not over was read. A leader announces the job to its
   * followers.
   */
  public void recordLiveJob(String ref, long revision) {
    newestRevisions.put(ref, revision);
    if (isLeading.getAsBoolean()) {
      unacknowledgedByFollower
          .values()
          .forEach(unacknowledged -> unacknowledged.put(ref, revision));
      scheduleSend(0);
    }
  }

  /** Called when this controller becomes the leader. Announces the newest jobs to all followers. */
  public void onLeadershipGained() {
    unacknowledgedByFollower
        .values()
        .forEach(unacknowledged -> unacknowledged.putAll(newestRevisions));
    scheduleSend(0);
  }

  private void scheduleSend(long delayMs) {
    if (!sendScheduled) {
      sendScheduled = true;
      timers.after(delayMs, this::sendToAllFollowers);
    }
  }

  private void sendToAllFollowers() {
    sendScheduled = false;
    if (!isLeading.getAsBoolean()) {
      unacknowledgedByFollower.values().forEach(Map::clear);
      return;
    }
    unacknowledgedByFollower.forEach(this::sendToFollower);
  }

  private void sendToFollower(String member, Map<String, Long> unacknowledged) {
    if (unacknowledged.isEmpty()
        || followersWithOpenRequest.contains(member)
        || !peers.isAlive(member)) {
      return;
    }
    Map<String, Long> sentRevisions = new LinkedHashMap<>(unacknowledged);
    byte[] body = AcceptedJobsCodec.encode(sentRevisions);
    if (body == null) {
      unacknowledged.clear();
      return;
    }
    followersWithOpenRequest.add(member);
    peers
        .requests()
        .ask(
            member,
            TOPIC,
            body,
            retryMs,
            reply -> handleReply(member, sentRevisions, reply != null));
  }

  private void handleReply(String member, Map<String, Long> sentRevisions, boolean isAcknowledged) {
    followersWithOpenRequest.remove(member);
    Map<String, Long> unacknowledged = unacknowledgedByFollower.get(member);
    if (isAcknowledged) {
      sentRevisions.forEach(unacknowledged::remove);
    }
    if (!unacknowledged.isEmpty()) {
      scheduleSend(isAcknowledged ? 0 : retryMs);
    }
  }
}
