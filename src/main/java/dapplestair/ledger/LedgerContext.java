package dapplestair.ledger;

import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The dependencies that all parts of the ledger share, and the term for which it is kept. */
final class LedgerContext {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  final Clock clock;
  final TermTimers timers;
  final Settings settings;
  final StateClient state;
  final Leadership leadership;
  final LedgerCallbacks callbacks;
  final long retryMs;

  private long term;
  private boolean termActive;
  private boolean ready;

  LedgerContext(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      LedgerCallbacks callbacks) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.callbacks = callbacks;
    this.retryMs = settings.workers().reportMs() / 12;
  }

  /** Sends the launch of an attempt that is on record. */
  void launch(Attempt attempt, String key, long stamp) {
    attempt.phase = Attempt.Phase.COMMITTED;
    LOG.debug(
        "launching {} attempt {} on {} in session {}: recorded in {} with stamp {}",
        attempt.key(),
        attempt.number,
        attempt.host,
        attempt.session,
        key,
        stamp);
    callbacks.launch(attempt);
  }

  void beginTerm(long newTerm) {
    term = newTerm;
    termActive = true;
    ready = false;
  }

  /** Allows launches, once every recorded attempt is accounted for. */
  void markReady() {
    ready = true;
  }

  void endTerm() {
    term = 0;
    termActive = false;
    ready = false;
  }

  long term() {
    return term;
  }

  /**
   * Returns true while this controller keeps the ledger as the leader, though it may not launch
   * yet.
   */
  boolean isTermActive() {
    return termActive;
  }

  boolean isReady() {
    return ready;
  }

  /**
   * Returns true if the given term is still the active one: answers to requests of an earlier term
   * are ignored.
   */
  boolean isCurrentTerm(long otherTerm) {
    return termActive && term == otherTerm;
  }
}
