package dapplestair.ledger;

import dapplestair.leadership.Leadership;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;

/** What every part of the ledger stands on, and the term it is kept for. */
final class LedgerContext {
  final Clock clock;
  final Timers timers;
  final Settings settings;
  final StateClient state;
  final Leadership leadership;
  final Hooks hooks;
  final long retryMs;

  private long term;
  private boolean held;
  private boolean armed;

  LedgerContext(
      Clock clock,
      Timers timers,
      Settings settings,
      StateClient state,
      Leadership leadership,
      Hooks hooks) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.hooks = hooks;
    this.retryMs = settings.workers().reportMs() / 12;
  }

  void take(long newTerm) {
    term = newTerm;
    held = true;
    armed = false;
  }

  /** Every recorded attempt is accounted for: launches may begin. */
  void arm() {
    armed = true;
  }

  void leave() {
    term = 0;
    held = false;
    armed = false;
  }

  long term() {
    return term;
  }

  /** True while this controller keeps the ledger, though it may not yet launch. */
  boolean held() {
    return held;
  }

  boolean armed() {
    return armed;
  }

  /** True when it still is the office of that term: answers to an earlier one mean nothing. */
  boolean still(long thatTerm) {
    return held && term == thatTerm;
  }
}
