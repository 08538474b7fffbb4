package dapplestair.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
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
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leader a term. Winning is a transaction that raises the term and attaches the leader key to
 * the winner's hold; every write of a leader is conditional on that key's stamp, so taking over
 * from a leader that still lives is harmless to the rules: its late writes fail.
 */
public final class Leadership implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

  /** Told on the loop when this controller's role changes. */
  public interface Listener {
    /** This controller leads; the replica holds all that earlier terms wrote. */
    void lead(long term);

    /** This controller leads no more. */
    void follow();
  }

  private static final int MAX_TERMS_KEPT = 16;

  private final Clock clock;
  private final Timers timers;
  private final UniformRandomProvider random;
  private final Settings settings;
  private final StateClient state;
  private final Peers peers;
  private final Listener listener;
  private final String incarnation;
  private final long holdTtlMs;
  private Replica replica;

  private long highestTermSeen;
  private long highestTermRecorded;
  private String recordedLeader;
  private String recordedLeaderIncarnation;
  private long leaderRecordSeenAtMs;
  private long leaderActiveAtMs;
  private long ignoreRefusalsUntilMs = Long.MIN_VALUE;
  private final Map<String, Long> lastTermByIncarnation = new HashMap<>();
  private long hold;
  private long preparedHold;
  private long preparedHoldRequestedAtMs = Long.MIN_VALUE / 2;
  private long leaderStamp;
  private long term;
  private boolean leading;
  private boolean requestPending;
  private long campaignAllowedAtMs = Long.MIN_VALUE;
  private Cancellable timer = () -> {};

  /** Not yet taking part; see {@link #start}. */
  public Leadership(
      Clock clock,
      Timers timers,
      UniformRandomProvider random,
      Settings settings,
      StateClient state,
      Peers peers,
      Listener listener) {
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.settings = settings;
    this.state = state;
    this.peers = peers;
    this.listener = listener;
    this.incarnation = new UUID(random.nextLong(), random.nextLong()).toString();
    // Short against the leases that a new leader must find alive, whatever the report interval.
    this.holdTtlMs = Math.min(settings.workers().reportMs(), settings.workers().leaseMs() / 10);
  }

  /** A number that tells this process from its earlier lives. */
  public long processId() {
    return UUID.fromString(incarnation).getMostSignificantBits();
  }

  /** Takes part from now on. */
  public void start(Replica followedReplica) {
    replica = followedReplica;
    tick();
  }

  /** True while this controller may act as leader, as far as it knows. */
  public boolean isLeading() {
    return leading;
  }

  /** True while this controller may act as the leader of that term, as far as it knows. */
  public boolean isLeadingTerm(long queriedTerm) {
    return leading && term == queriedTerm;
  }

  /** Term of this leader. */
  public long term() {
    return term;
  }

  /** Highest term known. */
  public long highestTermSeen() {
    return highestTermSeen;
  }

  /**
   * True when somebody has won a term of which this controller's records do not know yet: it was
   * shown by a worker or told by a peer.
   */
  public boolean hasUnrecordedSuccessor() {
    return highestTermSeen > Math.max(term, highestTermRecorded);
  }

  /** Who leads as far as known, or null. */
  public String currentLeader() {
    return leading ? settings.member() : recordedLeader;
  }

  /** Adds the condition that makes a write of a former leader fail. */
  public Txn guard(Txn txn) {
    return txn.when(StateKeys.LEADER, leaderStamp);
  }

  /** Told by the replica. */
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
    recordWinner(recordedTerm);
    if (leading && stamp > leaderStamp) {
      stepDown("term " + recordedTerm + " belongs to " + member);
    }
  }

  /**
   * A process that wins again after somebody else has led had not ended when it was deposed: its
   * port refuses though it lives, and so may others'. Without this, controllers whose links are
   * filtered depose each other every few seconds.
   */
  private void recordWinner(long wonTerm) {
    Long previousTerm =
        recordedLeaderIncarnation == null
            ? null
            : lastTermByIncarnation.put(recordedLeaderIncarnation, wonTerm);
    if (previousTerm != null && previousTerm < wonTerm - 1) {
      ignoreRefusalsUntilMs = clock.now() + settings.workers().leaseMs();
    }
    lastTermByIncarnation.values().removeIf(oldTerm -> oldTerm < wonTerm - MAX_TERMS_KEPT);
  }

  /** Told by the replica of a write that only a leader makes. */
  public void leaderWriteSeen() {
    leaderActiveAtMs = clock.now();
  }

  /** A higher term shown by anyone ends ours at once. */
  public void observeTerm(long observedTerm) {
    highestTermSeen = Math.max(highestTermSeen, observedTerm);
    if (leading && observedTerm > term) {
      stepDown("somebody knows of term " + observedTerm);
    }
  }

  /**
   * True when a write was refused since the leader's key was not as expected: somebody else leads,
   * and this controller steps down if it still believed to lead itself.
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

  /** Gives the lead away for a while, since another controller can do better. */
  public void resign(String reason) {
    if (leading) {
      state.endHold(hold);
      hold = 0;
      campaignAllowedAtMs = clock.now() + settings.workers().leaseMs();
      stepDown(reason);
    }
  }

  private void stepDown(String reason) {
    LOG.info("leading no more: {} (term {})", reason, term);
    leading = false;
    if (settings.member().equals(recordedLeader)) {
      recordedLeader = null;
    }
    listener.follow();
  }

  /** The replica is complete: whoever can lead begins at once. */
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
    return clock.now() >= campaignAllowedAtMs || peers.alone();
  }

  private boolean isLeaderVacant() {
    if (replica.stamp(StateKeys.LEADER) == 0) {
      return true;
    }
    if (settings.member().equals(recordedLeader)
        && !incarnation.equals(recordedLeaderIncarnation)) {
      // Our own earlier life.
      return true;
    }
    // A port that refuses is no proof: whoever still writes has not ended.
    long nowMs = clock.now();
    return recordedLeader != null
        && nowMs - leaderRecordSeenAtMs > holdTtlMs
        && nowMs - leaderActiveAtMs > holdTtlMs / 4
        && nowMs > ignoreRefusalsUntilMs
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
   * While the records are still being read, the hold that a campaign needs is opened already: after
   * the end of all controllers each exchange less is time in which nobody leads.
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
      // Somebody won while the hold was being opened: the stamps below would let us depose it.
      requestPending = false;
      return;
    }
    long nextTerm = highestTermSeen + 1;
    var leaderValue =
        Json.object()
            .put("member", settings.member())
            .put("incarnation", incarnation)
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
            // Somebody else was quicker, or the replica is behind: the next tick sees.
            requestPending = false;
          }
        });
  }

  private void settleUnknownOutcome(long campaignTerm, StateClient.ReadResult read) {
    boolean wonByThisProcess =
        read.exists()
            && incarnation.equals(Json.text(read.value(), "incarnation"))
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
    // Everything that earlier terms wrote was written before our key: pass a barrier, then act.
    replica.barrier(
        passed -> {
          requestPending = false;
          if (!passed || replica.stamp(StateKeys.LEADER) != stamp || highestTermSeen > wonTerm) {
            LOG.info("term {} won but lost again before it began", wonTerm);
            return;
          }
          leading = true;
          LOG.info("leading term {}, won at revision {}", wonTerm, stamp);
          listener.lead(wonTerm);
        });
  }

  /** Told by the replica. */
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
