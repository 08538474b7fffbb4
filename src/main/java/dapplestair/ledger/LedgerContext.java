package dapplestair.ledger;

import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What every part of the ledger stands on, and the term it is kept for. */
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
  void launch(Attempt attempt, String key, long revision) {
    attempt.phase = Attempt.Phase.COMMITTED;
    LOG.debug(
        "{} try {} may start on {} in session {}: on record in {} at {}",
        attempt.key(),
        attempt.number,
        attempt.host,
        attempt.session,
        key,
        revision);
    callbacks.launch(attempt);
  }

  void beginTerm(long newTerm) {
    term = newTerm;
    termActive = true;
    ready = false;
  }

  /** Every recorded attempt is accounted for: launches may begin. */
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

  /** True while this controller keeps the ledger, though it may not yet launch. */
  boolean isTermActive() {
    return termActive;
  }

  boolean isReady() {
    return ready;
  }

  /** True when it still is the office of that term: answers to an earlier one mean nothing. */
  boolean isCurrentTerm(long otherTerm) {
    return termActive && term == otherTerm;
  }
}
