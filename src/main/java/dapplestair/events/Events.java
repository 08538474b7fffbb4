package dapplestair.events;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** Where the duties note what happens. */
@FunctionalInterface
public interface Events {
  /** Nobody listens: nothing is even put together. */
  Events OFF = (kind, fields) -> {};

  /** Something happened; {@code fields} fills in what is known of it, if anybody wants it. */
  void publish(Kind kind, Consumer<ObjectNode> fields);

  /** What can happen. */
  enum Kind {
    /** A task runs. */
    STARTED,
    /** A task completed. */
    COMPLETED,
    /** A task ended by itself without completing. */
    FAILED,
    /** A job fails wherever it runs: it is tried by one task at a time. */
    SUSPECTED,
    /** A job that failed wherever it ran works after all. */
    WORKS,
    /** A machine fails what others complete, so it is emptied. */
    FAULTY,
    /** A task is told to stop; {@code reason} says why. */
    STOPPING,
    /** An attempt is proved to be absent though nobody stopped it. */
    LOST,
    /** A job was accepted. */
    ACCEPTED,
    /** A job is over. */
    OVER,
    /** The cloud gave machines. */
    RENTED,
    /** The cloud has none to give. */
    REFUSED,
    /** A machine was returned. */
    RETURNED,
    /** A machine is given up, has failed or was taken. */
    MACHINE_LOST,
    /** A machine or a zone is to be emptied, or no longer. */
    DRAIN,
    /** An order to replace machines has come further; {@code reason} says why it pauses. */
    REPLACEMENT,
    /** A zone is cut, lost, returning or steady again. */
    ZONE,
    /** A calendar's cycle is released. */
    CYCLE,
    /** This controller leads from now on. */
    LEADING;

    /** The form shown to people. */
    public String displayName() {
      return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
  }
}
