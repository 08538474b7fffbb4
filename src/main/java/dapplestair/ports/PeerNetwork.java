package dapplestair.ports;

/** Messages between controllers: ordered while a link lasts, lost when it breaks. */
public interface PeerNetwork {
  /** Sends if a link is up; otherwise the message is dropped. */
  void send(String member, Object message);

  /** Sets who is told; called once, before {@link #start}. */
  void listen(Listener listener);

  /** Begins to connect and accept. */
  void start();

  /** What happens on the links. */
  interface Listener {
    /** A message arrived. */
    void messageReceived(String member, Object message);

    /** The link to this peer came up. */
    void linkUp(String member);

    /** The link to this peer broke. */
    void linkDown(String member);

    /** Something came that is no message of ours: it was dropped, and its link closed. */
    void malformedMessageReceived();

    /** The peer's machine answered that nobody listens there. */
    void connectionRefused(String member);
  }
}
