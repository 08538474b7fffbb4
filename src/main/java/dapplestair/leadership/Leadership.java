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

  private static final int MOST_TERMS_KEPT = 16;

  private final Clock clock;
  private final Timers timers;
  private final UniformRandomProvider random;
  private final Settings settings;
  private final StateClient state;
  private final Peers peers;
  private final Listener listener;
  private final String incarnation;
  private final long ttlMs;
  private Replica replica;

  private long termSeen;
  private long termRecorded;
  private String leaderSeen;
  private String leaderIncarnation;
  private long leaderSeenAt;
  private long leaderActiveAt;
  private long refusalsDoubtedUntil = Long.MIN_VALUE;
  private final Map<String, Long> termsWon = new HashMap<>();
  private long hold;
  private long ahead;
  private long heldAheadAt = Long.MIN_VALUE / 2;
  private long leaderStamp;
  private long term;
  private boolean leading;
  private boolean busy;
  private long campaignAgainAt = Long.MIN_VALUE;
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
    this.ttlMs = Math.min(settings.workers().reportMs(), settings.workers().leaseMs() / 10);
  }

  /** A number that tells this process from its earlier lives. */
  public long process() {
    return UUID.fromString(incarnation).getMostSignificantBits();
  }

  /** Takes part from now on. */
  public void start(Replica r) {
    replica = r;
    tick();
  }

  /** True while this controller may act as leader, as far as it knows. */
  public boolean leading() {
    return leading;
  }

  /** True while this controller may act as the leader of that term, as far as it knows. */
  public boolean leads(long thatTerm) {
    return leading && term == thatTerm;
  }

  /** Term of this leader. */
  public long term() {
    return term;
  }

  /** Highest term known. */
  public long termSeen() {
    return termSeen;
  }

  /**
   * True when somebody has won a term of which this controller's records do not know yet: it was
   * shown by a worker or told by a peer.
   */
  public boolean succeeded() {
    return termSeen > Math.max(term, termRecorded);
  }

  /** Who leads as far as known, or null. */
  public String leader() {
    return leading ? settings.member() : leaderSeen;
  }

  /** Adds the condition that makes a write of a former leader fail. */
  public Txn guard(Txn txn) {
    return txn.when(StateKeys.LEADER, leaderStamp);
  }

  /** Told by the replica. */
  public void leaderKey(JsonNode value, long stamp) {
    if (value == null) {
      leaderSeen = null;
      leaderIncarnation = null;
      if (leading) {
        stepDown("the hold has ended");
      }
      return;
    }
    String member = Json.text(value, "member");
    long seenTerm = Json.number(value, "term", 0);
    termSeen = Math.max(termSeen, seenTerm);
    termRecorded = Math.max(termRecorded, seenTerm);
    leaderSeen = member;
    leaderIncarnation = Json.text(value, "incarnation");
    leaderSeenAt = clock.now();
    leaderActiveAt = leaderSeenAt;
    noteWinner(seenTerm);
    if (leading && stamp > leaderStamp) {
      stepDown("term " + seenTerm + " belongs to " + member);
    }
  }

  /**
   * A process that wins again after somebody else has led had not ended when it was deposed: its
   * port refuses though it lives, and so may others'. Without this, controllers whose links are
   * filtered depose each other every few seconds.
   */
  private void noteWinner(long wonTerm) {
    Long before = leaderIncarnation == null ? null : termsWon.put(leaderIncarnation, wonTerm);
    if (before != null && before < wonTerm - 1) {
      refusalsDoubtedUntil = clock.now() + settings.workers().leaseMs();
    }
    termsWon.values().removeIf(t -> t < wonTerm - MOST_TERMS_KEPT);
  }

  /** Told by the replica of a write that only a leader makes. */
  public void leaderWrote() {
    leaderActiveAt = clock.now();
  }

  /** A higher term shown by anyone ends ours at once. */
  public void termShown(long shown) {
    termSeen = Math.max(termSeen, shown);
    if (leading && shown > term) {
      stepDown("somebody knows of term " + shown);
    }
  }

  /**
   * True when a write was refused since the leader's key was not as expected: somebody else leads,
   * and this controller steps down if it still believed to lead itself.
   */
  public boolean deposedBy(TxnOutcome outcome) {
    if (outcome instanceof TxnOutcome.Conflict conflict
        && conflict.failed().contains(StateKeys.LEADER)) {
      guardFailed();
      return true;
    }
    return false;
  }

  private void guardFailed() {
    if (leading) {
      stepDown("a guarded write was refused");
    }
  }

  /** Gives the lead away for a while, since another controller can do better. */
  public void resign(String why) {
    if (leading) {
      state.endHold(hold);
      hold = 0;
      campaignAgainAt = clock.now() + settings.workers().leaseMs();
      stepDown(why);
    }
  }

  private void stepDown(String why) {
    LOG.info("leading no more: {} (term {})", why, term);
    leading = false;
    if (settings.member().equals(leaderSeen)) {
      leaderSeen = null;
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
      extend();
    } else if (!busy && !replica.ready()) {
      holdAhead();
    } else if (state.reachable() && !busy && vacant() && mayCampaign()) {
      campaign();
    }
    long every = leading ? ttlMs / 4 : ttlMs / 40;
    timer = timers.after(every / 2 + random.nextLong(Math.max(1, every)), this::tick);
  }

  private boolean mayCampaign() {
    return clock.now() >= campaignAgainAt || peers.alone();
  }

  private boolean vacant() {
    if (replica.stamp(StateKeys.LEADER) == 0) {
      return true;
    }
    if (settings.member().equals(leaderSeen) && !incarnation.equals(leaderIncarnation)) {
      // Our own earlier life.
      return true;
    }
    // A port that refuses is no proof: whoever still writes has not ended.
    long now = clock.now();
    return leaderSeen != null
        && now - leaderSeenAt > ttlMs
        && now - leaderActiveAt > ttlMs / 4
        && now > refusalsDoubtedUntil
        && peers.seemsEnded(leaderSeen);
  }

  private void extend() {
    if (busy) {
      return;
    }
    busy = true;
    long extending = hold;
    state.extend(
        extending,
        status -> {
          busy = false;
          if (status == 404 && leading && hold == extending) {
            hold = 0;
            stepDown("the hold was not extended in time");
          }
        });
  }

  /**
   * While the records are still being read, the hold that a campaign needs is opened already: after
   * the end of all controllers each exchange less is time in which nobody leads.
   */
  private void holdAhead() {
    if (clock.now() - heldAheadAt < ttlMs / 3) {
      return;
    }
    heldAheadAt = clock.now();
    state.hold(ttlMs, opened -> ahead = opened);
  }

  private void campaign() {
    busy = true;
    if (ahead != 0 && clock.now() - heldAheadAt < ttlMs / 3) {
      hold = ahead;
      ahead = 0;
      run(hold);
      return;
    }
    state.hold(
        ttlMs,
        opened -> {
          if (opened == 0) {
            busy = false;
            return;
          }
          hold = opened;
          run(opened);
        });
  }

  private void run(long withHold) {
    if (!vacant()) {
      // Somebody won while the hold was being opened: the stamps below would let us depose it.
      busy = false;
      return;
    }
    long next = termSeen + 1;
    var leaderValue =
        Json.object()
            .put("member", settings.member())
            .put("incarnation", incarnation)
            .put("term", next);
    Txn txn =
        new Txn()
            .when(StateKeys.LEADER, replica.stamp(StateKeys.LEADER))
            .when(StateKeys.TERM, replica.stamp(StateKeys.TERM))
            .put(StateKeys.LEADER, leaderValue, withHold)
            .put(StateKeys.TERM, Json.object().put("term", next));
    state.commit(
        txn,
        StateClient.Priority.ELECTION,
        ttlMs / 3,
        outcome -> {
          if (outcome instanceof TxnOutcome.Applied applied) {
            won(next, applied.stamp());
          } else if (outcome instanceof TxnOutcome.Unknown) {
            state.get(StateKeys.LEADER, read -> settle(next, read));
          } else {
            // Somebody else was quicker, or the replica is behind: the next tick sees.
            busy = false;
          }
        });
  }

  private void settle(long next, StateClient.ReadResult read) {
    boolean ours =
        read.exists()
            && incarnation.equals(Json.text(read.value(), "incarnation"))
            && Json.number(read.value(), "term", 0) == next;
    if (ours) {
      won(next, read.stamp());
    } else {
      busy = false;
    }
  }

  private void won(long wonTerm, long stamp) {
    term = wonTerm;
    termSeen = Math.max(termSeen, wonTerm);
    leaderStamp = stamp;
    // Everything that earlier terms wrote was written before our key: pass a barrier, then act.
    replica.barrier(
        passed -> {
          busy = false;
          if (!passed || replica.stamp(StateKeys.LEADER) != stamp || termSeen > wonTerm) {
            LOG.info("term {} won but lost again before it began", wonTerm);
            return;
          }
          leading = true;
          LOG.info("leading term {}, won at revision {}", wonTerm, stamp);
          listener.lead(wonTerm);
        });
  }

  /** Told by the replica. */
  public void termKey(JsonNode value) {
    if (value != null) {
      termRecorded = Math.max(termRecorded, Json.number(value, "term", 0));
      termSeen = Math.max(termSeen, termRecorded);
    }
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
