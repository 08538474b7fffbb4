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
  private final double maxDirectMachines;
  private final long holdMs;
  private boolean isActive;
  private long term;
  private long announcedAtMs = Long.MIN_VALUE / 2;
  private long lastManyMachinesMs;
  private long lastActiveMs = Long.MIN_VALUE / 2;

  /**
   * Off at first.
   *
   * @param maxDirectMachines relaying begins with more machines than these
   * @param holdMs how long a leader's word holds, and how long few machines must last
   */
  RelayMode(Clock clock, double maxDirectMachines, long holdMs) {
    this.clock = clock;
    this.maxDirectMachines = maxDirectMachines;
    this.holdMs = holdMs;
  }

  /** True while reports are to be relayed. */
  boolean isActive() {
    return isActive && clock.now() - announcedAtMs <= holdMs;
  }

  /** True while it is on, and for a while after: a deployment that never needs it hears nothing. */
  boolean shouldAnnounce() {
    return isActive || clock.now() - lastActiveMs <= holdMs;
  }

  /** The leader of a term decides; true when that changes the mode. */
  boolean decide(long leaderTerm, int machines) {
    long now = clock.now();
    boolean wasActive = isActive();
    if (leaderTerm != term || machines >= OFF_RATIO * maxDirectMachines) {
      // A leader that has just begun may not know all machines yet.
      lastManyMachinesMs = now;
    }
    isActive = machines > maxDirectMachines || wasActive && now - lastManyMachinesMs <= holdMs;
    lastActiveMs = wasActive || isActive ? now : lastActiveMs;
    term = leaderTerm;
    announcedAtMs = now;
    return wasActive != isActive;
  }

  /** The word of the leader for the other controllers. */
  byte[] encode() {
    Output out = new Output(16);
    out.writeVarLong(term, true);
    out.writeBoolean(isActive);
    return out.toBytes();
  }

  /** Hears a leader's word; false when it is garbled. */
  boolean receive(byte[] announcement) {
    try {
      Input in = new Input(announcement);
      long announcedTerm = in.readVarLong(true);
      boolean announcedActive = in.readBoolean();
      if (announcedTerm >= term) {
        term = announcedTerm;
        isActive = announcedActive;
        announcedAtMs = clock.now();
      }
      return true;
    } catch (KryoException | IndexOutOfBoundsException e) {
      return false;
    }
  }
}
