package dapplestair.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.peers.Incarnation;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects one leader per term. A candidate wins with a transaction that raises the term and attaches
 * the leader key to the candidate's hold. Every write of a leader is conditional on the stamp of
 * that key, so deposing a leader whose process is still running is safe: its late writes fail.
 */
public final class Leadership implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /** Receives this controller's role changes, on the event loop. */
  public interface Listener {
    /** Called when this controller leads and the replica holds all writes of earlier terms. */
    void lead(long term);

    /** Called when this controller has stopped leading. */
    void follow();
  }

  private final Clock clock;
  private final Timers timers;
  private final UniformRandomProvider random;
  private final Settings settings;
  private final StateClient state;
  private final Peers peers;
  private final Listener listener;
  private final Incarnation incarnation;
  private final long holdTtlMs;
  private final TermWinners termWinners;
  private Replica replica;

  private long highestTermSeen;
  private long highestTermRecorded;
  private String recordedLeader;
  private String recordedLeaderIncarnation;
  private long leaderRecordSeenAtMs;
  private long leaderActiveAtMs;
  private long hold;
  private long preparedHold;
  private long preparedHoldRequestedAtMs = Long.MIN_VALUE / 2;
  private long leaderStamp;
  private long term;
  private boolean leading;
  private boolean requestPending;
  private long campaignAllowedAtMs = Long.MIN_VALUE;
  private Cancellable timer = () -> {};

  /**
   * Creates an instance that takes part in elections only after {@link #start}.
   *
   * @param incarnation identifies this process
   */
  public Leadership(
      Clock clock,
      Timers timers,
      UniformRandomProvider random,
      Settings settings,
      StateClient state,
      Peers peers,
      Incarnation incarnation,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.settings = settings;
    this.state = state;
    this.peers = peers;
    this.listener = listener;
    this.incarnation = incarnation;
    this.holdTtlMs = holdTtlMs(settings.workers());
    this.termWinners = new TermWinners(clock, settings.workers().leaseMs());
  }

  /**
   * Returns the time after which a leader that does not extend its hold is deposed. It is short
   * relative to workers' leases, which a new leader must find valid at any report interval.
   */
  public static long holdTtlMs(Settings.Workers workers) {
    return Math.min(workers.reportMs(), workers.leaseMs() / 10);
  }

  /** Returns a number that distinguishes this process from earlier ones of the same member. */
  public long processId() {
    return incarnation.processId();
  }

  /** Starts to take part in elections, based on the records of {@code followedReplica}. */
  public void start(Replica followedReplica) {
    replica = followedReplica;
    tick();
  }

  /** Returns whether this controller may act as leader, as far as it knows. */
  public boolean isLeading() {
    return leading;
  }

  /** Returns whether this controller may act as leader of the given term, as far as it knows. */
  public boolean isLeadingTerm(long queriedTerm) {
    return leading && term == queriedTerm;
  }

  /** Returns the term that this controller won last, 0 before it has won any. */
  public long term() {
    return term;
  }

  /** Returns the highest term known, whether won here, recorded, or shown by others. */
  public long highestTermSeen() {
    return highestTermSeen;
  }

  /**
   * Returns whether another controller has won a term that this controller's records do not show
   * yet; a worker or a peer has shown that term.
   */
  public boolean hasUnrecordedSuccessor() {
    return highestTermSeen > Math.max(term, highestTermRecorded);
  }

  /** Returns the member that leads as far as this controller knows, or null. */
  public String currentLeader() {
    return leading ? settings.member() : recordedLeader;
  }

  /** Adds the condition on the leader key, which makes the writes of a former leader fail. */
  public Txn guard(Txn txn) {
    return txn.when(StateKeys.LEADER, leaderStamp);
  }

  /** Handles a change of the leader key in the replica; {@code value} is null once removed. */
  public void leaderKeyChanged(JsonNode value, long stamp) {
    if (value == null) {
      recordedLeader = null;
      recordedLeaderIncarnation = null;
      if (leading) {
        stepDown("the hold has ended");
      }
      return;
    }
    String member = Json.text(value, "member");
    long recordedTerm = Json.number(value, "term", 0);
    highestTermSeen = Math.max(highestTermSeen, recordedTerm);
    highestTermRecorded = Math.max(highestTermRecorded, recordedTerm);
    recordedLeader = member;
    recordedLeaderIncarnation = Json.text(value, "incarnation");
    leaderRecordSeenAtMs = clock.now();
    leaderActiveAtMs = leaderRecordSeenAtMs;
    termWinners.record(recordedLeaderIncarnation, recordedTerm);
    if (leading && stamp > leaderStamp) {
      stepDown("term " + recordedTerm + " belongs to " + member);
    }
  }

  /** Notes that the replica received a write that only a leader makes. */
  public void leaderWriteSeen() {
    leaderActiveAtMs = clock.now();
  }

  /** Steps down at once if the term that a worker or peer has shown is higher than ours. */
  public void observeTerm(long observedTerm) {
    highestTermSeen = Math.max(highestTermSeen, observedTerm);
    if (leading && observedTerm > term) {
      stepDown("somebody knows of term " + observedTerm);
    }
  }

  /**
   * Returns whether a write failed because the leader key had another stamp than expected. Another
   * controller leads then, and this one steps down if it is still leading.
   */
  public boolean stepDownIfDeposed(TxnOutcome outcome) {
    if (outcome instanceof TxnOutcome.Conflict conflict
        && conflict.failedKeys().contains(StateKeys.LEADER)) {
      stepDownAfterRefusedWrite();
      return true;
    }
    return false;
  }

  private void stepDownAfterRefusedWrite() {
    if (leading) {
      stepDown("a guarded write was refused");
    }
  }

  /** Ends the lead and does not campaign for one lease, since another controller can do better. */
  public void resign(String reason) {
    if (leading) {
      state.endHold(hold);
      hold = 0;
      campaignAllowedAtMs = clock.now() + settings.workers().leaseMs();
      stepDown(reason);
    }
  }

  private void stepDown(String reason) {
    LOG.info("{} no longer leads term {}: {}", settings.member(), term, reason);
    leading = false;
    if (settings.member().equals(recordedLeader)) {
      recordedLeader = null;
    }
    listener.follow();
  }

  /** Campaigns at once if possible, now that the replica is complete. */
  public void replicaReady() {
    if (replica != null && !leading) {
      timer.cancel();
      tick();
    }
  }

  private void tick() {
    if (leading) {
      extendHold();
    } else if (!requestPending && !replica.isReady()) {
      prepareHold();
    } else if (state.isReachable() && !requestPending && isLeaderVacant() && mayCampaign()) {
      campaign();
    }
    long intervalMs = leading ? holdTtlMs / 4 : holdTtlMs / 40;
    timer = timers.after(intervalMs / 2 + random.nextLong(Math.max(1, intervalMs)), this::tick);
  }

  private boolean mayCampaign() {
    return clock.now() >= campaignAllowedAtMs || peers.hasNoLivePeer();
  }

  private boolean isLeaderVacant() {
    if (replica.stamp(StateKeys.LEADER) == 0) {
      return true;
    }
    if (settings.member().equals(recordedLeader)
        && !incarnation.toString().equals(recordedLeaderIncarnation)) {
      // An earlier process of this member holds the leader key, and it has ended.
      return true;
    }
    // A refused connection does not prove that the leader has ended: one that still writes has not.
    long nowMs = clock.now();
    return recordedLeader != null
        && nowMs - leaderRecordSeenAtMs > holdTtlMs
        && nowMs - leaderActiveAtMs > holdTtlMs / 4
        && termWinners.refusalsCount()
        && peers.seemsEnded(recordedLeader);
  }

  private void extendHold() {
    if (requestPending) {
      return;
    }
    requestPending = true;
    long extendedHold = hold;
    state.extendHold(
        extendedHold,
        status -> {
          requestPending = false;
          if (status == 404 && leading && hold == extendedHold) {
            hold = 0;
            stepDown("the hold was not extended in time");
          }
        });
  }

  /**
   * Opens the hold that a campaign needs while the records are still being read. After an outage of
   * all controllers, each round trip saved shortens the time without a leader.
   */
  private void prepareHold() {
    if (clock.now() - preparedHoldRequestedAtMs < holdTtlMs / 3) {
      return;
    }
    preparedHoldRequestedAtMs = clock.now();
    state.openHold(holdTtlMs, openedHold -> preparedHold = openedHold);
  }

  private void campaign() {
    requestPending = true;
    if (preparedHold != 0 && clock.now() - preparedHoldRequestedAtMs < holdTtlMs / 3) {
      hold = preparedHold;
      preparedHold = 0;
      commitCampaign(hold);
      return;
    }
    state.openHold(
        holdTtlMs,
        openedHold -> {
          if (openedHold == 0) {
            requestPending = false;
            return;
          }
          hold = openedHold;
          commitCampaign(openedHold);
        });
  }

  private void commitCampaign(long campaignHold) {
    if (!isLeaderVacant()) {
      // Another controller won while the hold was opened; the stamps read below would depose it.
      requestPending = false;
      return;
    }
    long nextTerm = highestTermSeen + 1;
    var leaderValue =
        Json.object()
            .put("member", settings.member())
            .put("incarnation", incarnation.toString())
            .put("term", nextTerm);
    Txn txn =
        new Txn()
            .when(StateKeys.LEADER, replica.stamp(StateKeys.LEADER))
            .when(StateKeys.TERM, replica.stamp(StateKeys.TERM))
            .put(StateKeys.LEADER, leaderValue, campaignHold)
            .put(StateKeys.TERM, Json.object().put("term", nextTerm));
    state.commit(
        txn,
        StateClient.Priority.ELECTION,
        holdTtlMs / 3,
        outcome -> {
          if (outcome instanceof TxnOutcome.Applied applied) {
            passBarrierAndLead(nextTerm, applied.stamp());
          } else if (outcome instanceof TxnOutcome.Unknown) {
            state.get(StateKeys.LEADER, read -> settleUnknownOutcome(nextTerm, read));
          } else {
            // Another candidate won, or the replica lags behind: the next tick checks again.
            requestPending = false;
          }
        });
  }

  private void settleUnknownOutcome(long campaignTerm, StateClient.ReadResult read) {
    boolean wonByThisProcess =
        read.exists()
            && incarnation.toString().equals(Json.text(read.value(), "incarnation"))
            && Json.number(read.value(), "term", 0) == campaignTerm;
    if (wonByThisProcess) {
      passBarrierAndLead(campaignTerm, read.stamp());
    } else {
      requestPending = false;
    }
  }

  private void passBarrierAndLead(long wonTerm, long stamp) {
    term = wonTerm;
    highestTermSeen = Math.max(highestTermSeen, wonTerm);
    leaderStamp = stamp;
    // All writes of earlier terms precede that of our leader key: a barrier waits for them.
    replica.barrier(
        passed -> {
          requestPending = false;
          if (!passed || replica.stamp(StateKeys.LEADER) != stamp || highestTermSeen > wonTerm) {
            LOG.info("{} won term {} but lost it before leading", settings.member(), wonTerm);
            return;
          }
          leading = true;
          LOG.info("{} leads term {}, won at revision {}", settings.member(), wonTerm, stamp);
          listener.lead(wonTerm);
        });
  }

  /** Handles a change of the term key in the replica. */
  public void termKeyChanged(JsonNode value) {
    if (value != null) {
      highestTermRecorded = Math.max(highestTermRecorded, Json.number(value, "term", 0));
      highestTermSeen = Math.max(highestTermSeen, highestTermRecorded);
    }
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
