package dapplestair.submissions;

import dapplestair.peers.Peers;
import dapplestair.ports.Exchange;
import java.util.List;
import java.util.function.Consumer;

/**
 * Relays users' requests to a peer that the state service serves while it does not serve this
 * controller: users' connections remain here for seconds after the load balancer was informed. The
 * peer answers as it would answer the user directly, after its own transaction or read barrier, and
 * does not relay the request again. Cancellations that it confirms are in its own log before the
 * user receives the confirmation.
 */
public final class RequestRelay {
  private static final String TOPIC = "user-request";

  // Requests of all topics share one limit: this lower one leaves capacity for other topics.
  private static final int MAX_OPEN_REQUESTS = 64;

  private final Peers peers;
  private final long timeoutMs;
  private int openRequests;
  private int nextPeerIndex;

  /** Creates a relay to {@code peers}; a relayed request times out after {@code timeoutMs}. */
  public RequestRelay(Peers peers, long timeoutMs) {
    this.peers = peers;
    this.timeoutMs = timeoutMs;
  }

  /** Starts to answer requests that peers relay, using {@code handler}. */
  public void start(Consumer<Exchange> handler) {
    peers.requests().handle(TOPIC, (body, reply) -> handleRelayed(body, reply, handler));
  }

  /**
   * Relays a request to a peer; {@code onResponse} receives the peer's response, or null if there
   * is none in time. Returns false, without calling {@code onResponse}, if the request cannot be
   * relayed.
   */
  boolean relay(Exchange exchange, Consumer<UserRequestCodec.Response> onResponse) {
    List<String> served = peers.readyPeers();
    if (served.isEmpty()
        || openRequests >= MAX_OPEN_REQUESTS
        || exchange instanceof RelayedExchange) {
      return false;
    }
    byte[] request =
        UserRequestCodec.encode(
            new UserRequestCodec.Request(exchange.method(), exchange.path(), exchange.body()));
    if (request == null) {
      return false;
    }
    String peer = served.get(Math.floorMod(nextPeerIndex++, served.size()));
    openRequests++;
    peers
        .requests()
        .ask(
            peer,
            TOPIC,
            request,
            timeoutMs,
            reply -> {
              openRequests--;
              onResponse.accept(reply == null ? null : decodeResponse(reply));
            });
    return true;
  }

  private UserRequestCodec.Response decodeResponse(byte[] reply) {
    UserRequestCodec.Response response = UserRequestCodec.decodeResponse(reply);
    if (response == null) {
      peers.requests().countRefusedMessage();
    }
    return response;
  }

  private void handleRelayed(byte[] body, Consumer<byte[]> reply, Consumer<Exchange> handler) {
    UserRequestCodec.Request request = UserRequestCodec.decodeRequest(body);
    if (request == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    handler.accept(new RelayedExchange(request, reply));
  }

  /** A request that a peer has relayed to this controller. */
  private record RelayedExchange(UserRequestCodec.Request request, Consumer<byte[]> replySink)
      implements Exchange {
    @Override
    public String method() {
      return request.method();
    }

    @Override
    public String path() {
      return request.path();
    }

    @Override
    public byte[] body() {
      return request.body();
    }

    @Override
    public void reply(int status, byte[] body, int retryAfterS) {
      byte[] answer =
          UserRequestCodec.encode(new UserRequestCodec.Response(status, retryAfterS, body));
      if (answer != null) {
        replySink.accept(answer);
      }
    }
  }
}
