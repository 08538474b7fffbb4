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

/** Which peers live and what they last said. */
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

  /** {@code ownStatus} is what to say; {@code statusListener} is told of what others say. */
  public Peers(
      Clock clock,
      Timers timers,
      PeerNetwork network,
      Settings settings,
      Supplier<PeerStatus> ownStatus,
      Consumer<PeerStatus> statusListener) {
    this.clock = clock;
    this.timers = timers;
    this.network = network;
    this.ownStatus = ownStatus;
    this.statusListener = statusListener;
    this.statusIntervalMs = settings.workers().reportMs() / 8;
    this.requests = new PeerRequests(timers, network);
    settings.peers().forEach(peer -> peers.put(peer.member(), new PeerState()));
  }

  /** Questions to and from peers. */
  public PeerRequests requests() {
    return requests;
  }

  /** Begins to connect and to speak. */
  public void start() {
    network.listen(this);
    network.start();
    tick();
  }

  private void tick() {
    broadcastStatus();
    timer = timers.after(statusIntervalMs, this::tick);
  }

  /** Says at once what is new. */
  public void broadcastStatus() {
    PeerStatus status = ownStatus.get();
    peers.keySet().forEach(m -> network.send(m, status));
  }

  /**
   * Tells every peer something that needs no answer; those that do not know the topic ignore it.
   */
  public void broadcast(String topic, byte[] body) {
    peers.keySet().forEach(m -> requests.sendWithoutAnswer(m, topic, body));
  }

  /** Tells one peer something that needs no answer. */
  public void send(String member, String topic, byte[] body) {
    requests.sendWithoutAnswer(member, topic, body);
  }

  /** Hears what peers tell on a topic. */
  public void listen(String topic, BiConsumer<String, byte[]> listener) {
    requests.listen(topic, listener);
  }

  @Override
  public void messageReceived(String member, Object message) {
    PeerState peer = peers.get(member);
    if (peer != null && message instanceof PeerStatus status) {
      peer.lastHeardMs = clock.now();
      // Whoever speaks has not ended, though its port may refuse us.
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
    // A link that broke and a port that refuses: the process has ended. Were it only filtered away,
    // taking over from it would still be harmless, so there is no need to wait for its silence.
    if (peer != null && !peer.linked) {
      peer.refusesConnections = true;
    }
  }

  /** True when this peer spoke within the last few turns. */
  public boolean isAlive(String member) {
    PeerState peer = peers.get(member);
    return peer != null
        && !peer.refusesConnections
        && clock.now() - peer.lastHeardMs < 4 * statusIntervalMs;
  }

  /** True when this peer's process has very probably ended: its link broke, its port refuses. */
  public boolean seemsEnded(String member) {
    PeerState peer = peers.get(member);
    return peer != null && peer.refusesConnections && !peer.linked;
  }

  /** True when a living peer is served by the state service. */
  public boolean hasReadyPeer() {
    return !readyPeers().isEmpty();
  }

  /** Living peers that are served by the state service and take requests, by name. */
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

  /** True when a living peer that could lead hears workers. */
  public boolean hasPeerHearingWorkers() {
    return peers.entrySet().stream()
        .anyMatch(
            e ->
                isAlive(e.getKey())
                    && e.getValue().lastStatus != null
                    && e.getValue().lastStatus.stateReachable()
                    && e.getValue().lastStatus.beats() > 0);
  }

  /** Puts a second that living peers make or want to. */
  public double putsPerSecond() {
    return peers.entrySet().stream()
        .filter(e -> isAlive(e.getKey()) && e.getValue().lastStatus != null)
        .mapToDouble(e -> e.getValue().lastStatus.puts())
        .sum();
  }

  /** A peer as this controller sees it; {@code lastStatus} is what it last said, or null. */
  public record PeerView(String member, boolean alive, boolean linked, PeerStatus status) {}

  /** All peers, by name. */
  public List<PeerView> views() {
    return peers.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(
            e ->
                new PeerView(
                    e.getKey(), isAlive(e.getKey()), e.getValue().linked, e.getValue().lastStatus))
        .toList();
  }

  /** True when there are peers, and none is known to live. */
  public boolean isCutOff() {
    return !peers.isEmpty() && hasNoLivePeer();
  }

  /** True when no peer is known to live. */
  public boolean hasNoLivePeer() {
    return peers.keySet().stream().noneMatch(this::isAlive);
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
