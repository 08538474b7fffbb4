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
    boolean up;
    boolean gone;
    long heardAt = Long.MIN_VALUE / 2;
    PeerStatus status;
  }

  private final Clock clock;
  private final Timers timers;
  private final PeerNetwork network;
  private final Supplier<PeerStatus> own;
  private final Consumer<PeerStatus> heard;
  private final long everyMs;
  private final Map<String, PeerState> peers = new HashMap<>();
  private final PeerRequests questions;
  private Cancellable timer = () -> {};

  /** {@code own} is what to say; {@code heard} is told of what others say. */
  public Peers(
      Clock clock,
      Timers timers,
      PeerNetwork network,
      Settings settings,
      Supplier<PeerStatus> own,
      Consumer<PeerStatus> heard) {
    this.clock = clock;
    this.timers = timers;
    this.network = network;
    this.own = own;
    this.heard = heard;
    this.everyMs = settings.workers().reportMs() / 8;
    this.questions = new PeerRequests(timers, network);
    settings.peers().forEach(p -> peers.put(p.member(), new PeerState()));
  }

  /** Questions to and from peers. */
  public PeerRequests questions() {
    return questions;
  }

  /** Begins to connect and to speak. */
  public void start() {
    network.listen(this);
    network.start();
    tick();
  }

  private void tick() {
    tell();
    timer = timers.after(everyMs, this::tick);
  }

  /** Says at once what is new. */
  public void tell() {
    PeerStatus status = own.get();
    peers.keySet().forEach(m -> network.send(m, status));
  }

  /**
   * Tells every peer something that needs no answer; those that do not know the topic ignore it.
   */
  public void state(String topic, byte[] body) {
    peers.keySet().forEach(m -> questions.tell(m, topic, body));
  }

  /** Tells one peer something that needs no answer. */
  public void tell(String member, String topic, byte[] body) {
    questions.tell(member, topic, body);
  }

  /** Hears what peers tell on a topic. */
  public void onTell(String topic, BiConsumer<String, byte[]> listener) {
    questions.listen(topic, listener);
  }

  @Override
  public void messageReceived(String member, Object message) {
    PeerState peer = peers.get(member);
    if (peer != null && message instanceof PeerStatus status) {
      peer.heardAt = clock.now();
      // Whoever speaks has not ended, though its port may refuse us.
      peer.gone = false;
      peer.status = status;
      heard.accept(status);
    } else if (peer != null && message instanceof PeerAsk ask) {
      questions.asked(member, ask);
    } else if (peer != null && message instanceof PeerAnswer answer) {
      questions.answered(member, answer);
    }
  }

  @Override
  public void linkUp(String member) {
    PeerState peer = peers.get(member);
    if (peer != null) {
      peer.up = true;
      peer.gone = false;
    }
  }

  @Override
  public void linkDown(String member) {
    PeerState peer = peers.get(member);
    if (peer != null) {
      peer.up = false;
    }
  }

  @Override
  public void malformedMessageReceived() {
    questions.refused();
  }

  @Override
  public void connectionRefused(String member) {
    PeerState peer = peers.get(member);
    // A link that broke and a port that refuses: the process has ended. Were it only filtered away,
    // taking over from it would still be harmless, so there is no need to wait for its silence.
    if (peer != null && !peer.up) {
      peer.gone = true;
    }
  }

  /** True when this peer spoke within the last few turns. */
  public boolean alive(String member) {
    PeerState peer = peers.get(member);
    return peer != null && !peer.gone && clock.now() - peer.heardAt < 4 * everyMs;
  }

  /** True when this peer's process has very probably ended: its link broke, its port refuses. */
  public boolean seemsEnded(String member) {
    PeerState peer = peers.get(member);
    return peer != null && peer.gone && !peer.up;
  }

  /** True when a living peer is served by the state service. */
  public boolean anyServed() {
    return !served().isEmpty();
  }

  /** Living peers that are served by the state service and take requests, by name. */
  public List<String> served() {
    return peers.entrySet().stream()
        .filter(
            e ->
                alive(e.getKey())
                    && e.getValue().status != null
                    && e.getValue().status.stateReachable()
                    && e.getValue().status.ready())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** True when a living peer that could lead hears workers. */
  public boolean othersHear() {
    return peers.entrySet().stream()
        .anyMatch(
            e ->
                alive(e.getKey())
                    && e.getValue().status != null
                    && e.getValue().status.stateReachable()
                    && e.getValue().status.beats() > 0);
  }

  /** Puts a second that living peers make or want to. */
  public double puts() {
    return peers.entrySet().stream()
        .filter(e -> alive(e.getKey()) && e.getValue().status != null)
        .mapToDouble(e -> e.getValue().status.puts())
        .sum();
  }

  /** A peer as this controller sees it; {@code status} is what it last said, or null. */
  public record PeerView(String member, boolean alive, boolean linked, PeerStatus status) {}

  /** All peers, by name. */
  public List<PeerView> views() {
    return peers.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(e -> new PeerView(e.getKey(), alive(e.getKey()), e.getValue().up, e.getValue().status))
        .toList();
  }

  /** True when there are peers, and none is known to live. */
  public boolean cutOff() {
    return !peers.isEmpty() && alone();
  }

  /** True when no peer is known to live. */
  public boolean alone() {
    return peers.keySet().stream().noneMatch(this::alive);
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
