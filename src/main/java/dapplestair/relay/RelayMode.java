package dapplestair.relay;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.ports.Clock;

/**
 * Decides whether reports are relayed. The leader decides by the sockets that its machines would
 * take, and repeats its decision to the other controllers; these follow the announcement of the
 * highest term while it is recent.
 */
final class RelayMode {
  /** Relaying ends when the machines fall below this share of the number at which it begins. */
  private static final double OFF_RATIO = 0.8;

  private final Clock clock;
  private final double maxDirectMachines;
  private final long holdMs;
  private boolean active;
  private long term;
  private long announcedAtMs = Long.MIN_VALUE / 2;
  private long lastManyMachinesMs;
  private long lastActiveMs = Long.MIN_VALUE / 2;

  /**
   * Creates an inactive mode.
   *
   * @param maxDirectMachines relaying begins with more machines than these
   * @param holdMs how long a leader's announcement is valid, and how long there must be few
   *     machines before relaying ends
   */
  RelayMode(Clock clock, double maxDirectMachines, long holdMs) {
    this.clock = clock;
    this.maxDirectMachines = maxDirectMachines;
    this.holdMs = holdMs;
  }

  /** Returns whether reports are to be relayed. */
  boolean isActive() {
    return active && clock.now() - announcedAtMs <= holdMs;
  }

  /**
   * Returns whether the leader is to announce the mode: while relaying is active and for {@code
   * holdMs} after, so that deployments that never relay are not sent announcements.
   */
  boolean shouldAnnounce() {
    return active || clock.now() - lastActiveMs <= holdMs;
  }

  /** Decides the mode as the leader of a term; returns whether that changes it. */
  boolean decide(long leaderTerm, int machines) {
    long now = clock.now();
    boolean wasActive = isActive();
    if (leaderTerm != term || machines >= OFF_RATIO * maxDirectMachines) {
      // A new leader may not know all machines yet, so the mode stays active for a while.
      lastManyMachinesMs = now;
    }
    active = machines > maxDirectMachines || wasActive && now - lastManyMachinesMs <= holdMs;
    lastActiveMs = wasActive || active ? now : lastActiveMs;
    term = leaderTerm;
    announcedAtMs = now;
    return wasActive != active;
  }

  /** Encodes the leader's announcement to the other controllers. */
  byte[] encode() {
    Output out = new Output(16);
    out.writeVarLong(term, true);
    out.writeBoolean(active);
    return out.toBytes();
  }

  /** Receives a leader's announcement; returns false if it is malformed. */
  boolean receive(byte[] announcement) {
    try {
      Input in = new Input(announcement);
      long announcedTerm = in.readVarLong(true);
      boolean announcedActive = in.readBoolean();
      if (announcedTerm >= term) {
        term = announcedTerm;
        active = announcedActive;
        announcedAtMs = clock.now();
      }
      return true;
    } catch (KryoException | IndexOutOfBoundsException e) {
      return false;
    }
  }
}
