package dapplestair.ports;

/**
 * Sends messages between controllers, in order while a link is up; a broken link loses messages.
 */
public interface PeerNetwork {
  /** Sends a message if the link to the member is up; otherwise drops it. */
  void send(String member, Object message);

  /** Sets the listener; called once, before {@link #start}. */
  void listen(Listener listener);

  /** Starts to open and accept links. */
  void start();

  /** Receives the events of the links. */
  interface Listener {
    /** Called when a message arrived from a member. */
    void messageReceived(String member, Object message);

    /** Called when the link to a member came up. */
    void linkUp(String member);

    /** Called when the link to a member broke. */
    void linkDown(String member);

    /** Called when malformed data arrived: it was dropped, and its link closed. */
    void malformedMessageReceived();

    /** Called when a member's machine refused a connection, since nothing listens on its port. */
    void connectionRefused(String member);
  }
}
