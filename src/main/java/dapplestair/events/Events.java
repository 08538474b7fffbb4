package dapplestair.events;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Receives the events that the components publish. */
@FunctionalInterface
public interface Events {
  /** Discards all events without building them. */
  Events OFF = (kind, fields) -> {};

  /** Publishes an event; {@code fields} adds its fields, and is called only if it is kept. */
  void publish(Kind kind, Consumer<ObjectNode> fields);

  /** Kinds of events. */
  enum Kind {
    /** A task has started to run. */
    STARTED,
    /** A task completed. */
    COMPLETED,
    /** A task ended on its own without completing. */
    FAILED,
    /** A job fails on every machine, so only one of its tasks is tried at a time. */
    SUSPECTED,
    /** A job that was suspected has turned out to work. */
    WORKS,
    /** Tasks fail on a machine that complete on others, so the machine is emptied. */
    FAULTY,
    /** A task is told to stop; the field {@code reason} says why. */
    STOPPING,
    /** An attempt that nobody stopped is proved to be absent. */
    LOST,
    /** A job was accepted. */
    ACCEPTED,
    /** A job is done or aborted. */
    OVER,
    /** The cloud granted machines. */
    RENTED,
    /** The cloud refused machines for lack of capacity. */
    REFUSED,
    /** A machine was returned to the cloud. */
    RETURNED,
    /** A machine was given up, has failed or was reclaimed by the cloud. */
    MACHINE_LOST,
    /** A drain of a machine or a zone was ordered or ended. */
    DRAIN,
    /**
     * An order to replace machines has made progress; the field {@code reason} says why it pauses.
     */
    REPLACEMENT,
    /** A zone's state has changed: it is cut off, lost, returning or steady again. */
    ZONE,
    /** A cycle of a calendar was released. */
    CYCLE,
    /** This controller has become the leader. */
    LEADING;

    /** Returns the name of this kind as operators see it. */
    public String displayName() {
      return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
  }
}
