package dapplestair.relay;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.ports.Clock;

/**
 * Whether reports are relayed. The leader decides, by the sockets that its machines would take, and
 * says so again and again; the others go by the word of the highest term, while it is recent.
 */
final class RelayMode {
  /** Relaying ends below this ratio to the number of machines at which it begins. */
  private static final double OFF_RATIO = 0.8;

  private final Clock clock;
  private final double onAboveMachines;
  private final long keptMs;
  private boolean on;
  private long term;
  private long saidAt = Long.MIN_VALUE / 2;
  private long enoughAt;
  private long lastOnAt = Long.MIN_VALUE / 2;

  /**
   * Off at first.
   *
   * @param onAboveMachines relaying begins with more machines than these
   * @param keptMs how long a leader's word holds, and how long few machines must last
   */
  RelayMode(Clock clock, double onAboveMachines, long keptMs) {
    this.clock = clock;
    this.onAboveMachines = onAboveMachines;
    this.keptMs = keptMs;
  }

  /** True while reports are to be relayed. */
  boolean on() {
    return on && clock.now() - saidAt <= keptMs;
  }

  /** True while it is on, and for a while after: a deployment that never needs it hears nothing. */
  boolean worthTelling() {
    return on || clock.now() - lastOnAt <= keptMs;
  }

  /** The leader of a term decides; true when that changes the mode. */
  boolean decide(long leaderTerm, int machines) {
    long now = clock.now();
    boolean before = on();
    if (leaderTerm != term || machines >= OFF_RATIO * onAboveMachines) {
      // A leader that has just begun may not know all machines yet.
      enoughAt = now;
    }
    on = machines > onAboveMachines || before && now - enoughAt <= keptMs;
    lastOnAt = before || on ? now : lastOnAt;
    term = leaderTerm;
    saidAt = now;
    return before != on;
  }

  /** The word of the leader for the other controllers. */
  byte[] encode() {
    Output out = new Output(16);
    out.writeVarLong(term, true);
    out.writeBoolean(on);
    return out.toBytes();
  }

  /** Hears a leader's word; false when it is garbled. */
  boolean heard(byte[] word) {
    try {
      Input in = new Input(word);
      long saidTerm = in.readVarLong(true);
      boolean saidOn = in.readBoolean();
      if (saidTerm >= term) {
        term = saidTerm;
        on = saidOn;
        saidAt = clock.now();
      }
      return true;
    } catch (KryoException | IndexOutOfBoundsException e) {
      return false;
    }
  }
}
