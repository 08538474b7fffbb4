package dapplestair.peers;

import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Tracks which peers are alive and the last status of each. */
public final class Peers implements PeerNetwork.Listener, AutoCloseable {
  private static final class PeerState {
    boolean linked;
    boolean refusesConnections;
    long lastHeardMs = Long.MIN_VALUE / 2;
    PeerStatus lastStatus;
  }

  private final Clock clock;
  private final Timers timers;
  private final PeerNetwork network;
  private final Supplier<PeerStatus> ownStatus;
  private final Consumer<PeerStatus> statusListener;
  private final long statusIntervalMs;
  private final Map<String, PeerState> peers = new HashMap<>();
  private final PeerRequests requests;
  private Cancellable timer = () -> {};

  /**
   * Creates the tracker of the peers that the settings name.
   *
   * @param incarnation identifies this process
   * @param ownStatus supplies the status to send to the peers
   * @param statusListener receives each status that a peer sends
   */
  public Peers(
      Clock clock,
      Timers timers,
      PeerNetwork network,
      Settings settings,
      Incarnation incarnation,
      Supplier<PeerStatus> ownStatus,
      Consumer<PeerStatus> statusListener) {
    this.clock = clock;
    this.timers = timers;
    this.network = network;
    this.ownStatus = ownStatus;
    this.statusListener = statusListener;
    this.statusIntervalMs = settings.workers().reportMs() / 8;
    this.requests = new PeerRequests(timers, network, incarnation);
    settings.peers().forEach(peer -> peers.put(peer.member(), new PeerState()));
  }

  /** Returns the requests to and from peers. */
  public PeerRequests requests() {
    return requests;
  }

  /** Connects to the peers and begins to send them the status. */
  public void start() {
    network.listen(this);
    network.start();
    tick();
  }

  private void tick() {
    broadcastStatus();
    timer = timers.after(statusIntervalMs, this::tick);
  }

  /** Sends the current status to all peers at once. */
  public void broadcastStatus() {
    PeerStatus status = ownStatus.get();
    peers.keySet().forEach(m -> network.send(m, status));
  }

  /**
   * Sends a message that needs no answer to every peer; peers that do not know the topic ignore it.
   */
  public void broadcast(String topic, byte[] body) {
    peers.keySet().forEach(m -> requests.sendWithoutAnswer(m, topic, body));
  }

  /** Sends a message that needs no answer to one peer. */
  public void send(String member, String topic, byte[] body) {
    requests.sendWithoutAnswer(member, topic, body);
  }

  /** Sets the listener for messages on a topic that need no answer. */
  public void listen(String topic, BiConsumer<String, byte[]> listener) {
    requests.listen(topic, listener);
  }

  @Override
  public void messageReceived(String member, Object message) {
    PeerState peer = peers.get(member);
    if (peer != null && message instanceof PeerStatus status) {
      peer.lastHeardMs = clock.now();
      // A peer that sends messages is still running, even if its port refuses our connections.
      peer.refusesConnections = false;
      peer.lastStatus = status;
      statusListener.accept(status);
    } else if (peer != null && message instanceof PeerAsk ask) {
      requests.requestReceived(member, ask);
    } else if (peer != null && message instanceof PeerAnswer answer) {
      requests.answerReceived(member, answer);
    }
  }

  @Override
  public void linkUp(String member) {
    PeerState peer = peers.get(member);
    if (peer != null) {
      peer.linked = true;
      peer.refusesConnections = false;
    }
  }

  @Override
  public void linkDown(String member) {
    PeerState peer = peers.get(member);
    if (peer != null) {
      peer.linked = false;
    }
  }

  @Override
  public void malformedMessageReceived() {
    requests.countRefusedMessage();
  }

  @Override
  public void connectionRefused(String member) {
    PeerState peer = peers.get(member);
    // A broken link and a port that refuses connections mean that the process has ended. If a
    // filter merely blocks it, taking over from it is still harmless, so there is no need to wait
    // until the peer has been silent for long.
    if (peer != null && !peer.linked) {
      peer.refusesConnections = true;
    }
  }

  /**
   * Returns whether this peer sent a status within the last four status intervals and has not
   * refused connections since.
   */
  public boolean isAlive(String member) {
    PeerState peer = peers.get(member);
    return peer != null
        && !peer.refusesConnections
        && clock.now() - peer.lastHeardMs < 4 * statusIntervalMs;
  }

  /**
   * Returns whether this peer's process has very probably ended: its link is broken and its port
   * refuses connections.
   */
  public boolean seemsEnded(String member) {
    PeerState peer = peers.get(member);
    return peer != null && peer.refusesConnections && !peer.linked;
  }

  /** Returns whether any live peer reaches the state service and accepts requests. */
  public boolean hasReadyPeer() {
    return !readyPeers().isEmpty();
  }

  /** Returns the live peers that reach the state service and accept requests, by name. */
  public List<String> readyPeers() {
    return peers.entrySet().stream()
        .filter(
            e ->
                isAlive(e.getKey())
                    && e.getValue().lastStatus != null
                    && e.getValue().lastStatus.stateReachable()
                    && e.getValue().lastStatus.ready())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Returns whether a live peer that reaches the state service, and so could lead, receives reports
   * of workers.
   */
  public boolean hasPeerHearingWorkers() {
    return peers.entrySet().stream()
        .anyMatch(
            e ->
                isAlive(e.getKey())
                    && e.getValue().lastStatus != null
                    && e.getValue().lastStatus.stateReachable()
                    && e.getValue().lastStatus.beats() > 0);
  }

  /** Returns the writes per second that all live peers together make or would make. */
  public double putsPerSecond() {
    return peers.entrySet().stream()
        .filter(e -> isAlive(e.getKey()) && e.getValue().lastStatus != null)
        .mapToDouble(e -> e.getValue().lastStatus.puts())
        .sum();
  }

  /** A peer as this controller sees it; {@code status} is the last one received, or null. */
  public record PeerView(String member, boolean alive, boolean linked, PeerStatus status) {}

  /** Returns all peers, by name. */
  public List<PeerView> views() {
    return peers.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(
            e ->
                new PeerView(
                    e.getKey(), isAlive(e.getKey()), e.getValue().linked, e.getValue().lastStatus))
        .toList();
  }

  /** Returns whether there are peers, none of which is known to be alive. */
  public boolean isCutOff() {
    return !peers.isEmpty() && hasNoLivePeer();
  }

  /** Returns whether no peer is known to be alive, also when there are no peers at all. */
  public boolean hasNoLivePeer() {
    return peers.keySet().stream().noneMatch(this::isAlive);
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
