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
 * Jobs that were accepted after the records of this controller were last read, as the leader says.
 * A follower that is cut off right after an acceptance would take the job's tasks for those of a
 * job that is over, and let the leases of their machines end (docs/cancellations.md).
 */
public final class AcceptedJobs {
  private static final String TOPIC = "accepted";
  private static final byte[] KNOWN = {1};
  private static final int MOST_UNREAD = 10_000;
  private static final int ATTEMPTS_PER_REPORT = 8;

  private final Timers timers;
  private final Peers peers;
  private final BooleanSupplier leading;
  private final LongSupplier position;
  private final long retryMs;

  /** The records read last and their revisions, for followers that have not read them. */
  private final Map<String, Long> newest = new BoundedMap<>(AcceptedJobsCodec.MOST_JOBS);

  /** Jobs of which the leader spoke, with the revision of each record. */
  private final Map<String, Long> unread = new BoundedMap<>(MOST_UNREAD);

  /** What each follower has not acknowledged. */
  private final Map<String, Map<String, Long>> untold = new LinkedHashMap<>();

  private final Set<String> asked = new HashSet<>();
  private boolean scheduled;

  /** {@code position} is the revision up to which the records have been read here. */
  public AcceptedJobs(
      Timers timers,
      Settings settings,
      Peers peers,
      BooleanSupplier leading,
      LongSupplier position) {
    this.timers = timers;
    this.peers = peers;
    this.leading = leading;
    this.position = position;
    this.retryMs = settings.workers().reportMs() / ATTEMPTS_PER_REPORT;
    settings
        .peers()
        .forEach(p -> untold.put(p.member(), new BoundedMap<>(AcceptedJobsCodec.MOST_JOBS)));
  }

  /** Begins to hear the leader. */
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
                hear(revisions);
                reply.accept(KNOWN);
              }
            });
  }

  /** What a leader tells. */
  void hear(Map<String, Long> revisions) {
    long read = position.getAsLong();
    unread.values().removeIf(revision -> revision <= read);
    revisions.forEach(
        (ref, revision) -> {
          if (revision > read) {
            unread.put(ref, revision);
          }
        });
  }

  /**
   * True when this job was accepted after the newest read of the records. So it was not over at
   * that moment.
   */
  public boolean unread(String ref) {
    Long revision = unread.get(ref);
    return revision != null && revision > position.getAsLong();
  }

  /** The record of a job that is not over was read; a leader tells its followers. */
  public void read(String ref, long revision) {
    newest.put(ref, revision);
    if (leading.getAsBoolean()) {
      untold.values().forEach(jobs -> jobs.put(ref, revision));
      schedule(0);
    }
  }

  /** This controller leads from now on. */
  public void lead() {
    untold.values().forEach(jobs -> jobs.putAll(newest));
    schedule(0);
  }

  private void schedule(long delayMs) {
    if (!scheduled) {
      scheduled = true;
      timers.after(delayMs, this::tell);
    }
  }

  private void tell() {
    scheduled = false;
    if (!leading.getAsBoolean()) {
      untold.values().forEach(Map::clear);
      return;
    }
    untold.forEach(this::tell);
  }

  private void tell(String member, Map<String, Long> jobs) {
    if (jobs.isEmpty() || asked.contains(member) || !peers.isAlive(member)) {
      return;
    }
    Map<String, Long> told = new LinkedHashMap<>(jobs);
    byte[] body = AcceptedJobsCodec.encode(told);
    if (body == null) {
      jobs.clear();
      return;
    }
    asked.add(member);
    peers
        .requests()
        .ask(member, TOPIC, body, retryMs, reply -> answered(member, told, reply != null));
  }

  private void answered(String member, Map<String, Long> told, boolean known) {
    asked.remove(member);
    Map<String, Long> jobs = untold.get(member);
    if (known) {
      told.forEach(jobs::remove);
    }
    if (!jobs.isEmpty()) {
      schedule(known ? 0 : retryMs);
    }
  }
}
