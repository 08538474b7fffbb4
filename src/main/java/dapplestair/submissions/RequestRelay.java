package dapplestair.submissions;

import dapplestair.peers.Peers;
import dapplestair.ports.Exchange;
import java.util.List;
import java.util.function.Consumer;

/**
 * Passes users' requests on to a peer that is served by the state service, while this controller is
 * not: users' connections stay here for seconds after the load balancer was told. The peer answers
 * as it would answer the user itself, after its own transaction or read barrier, and does not pass
 * the request on again. What it confirms is in its own log of cancellations before the user hears.
 */
public final class RequestRelay {
  private static final String TOPIC = "user-request";

  // Questions of all kinds share one bound: these leave room for the others.
  private static final int MOST_OPEN = 64;

  private final Peers peers;
  private final long timeoutMs;
  private int open;
  private int turn;

  /** Asks {@code peers}, each for {@code timeoutMs} at the most. */
  public RequestRelay(Peers peers, long timeoutMs) {
    this.peers = peers;
    this.timeoutMs = timeoutMs;
  }

  /** Answers requests that peers pass on by {@code handler}, from now on. */
  public void start(Consumer<Exchange> handler) {
    peers.requests().handle(TOPIC, (body, reply) -> asked(body, reply, handler));
  }

  /**
   * Passes a request on; {@code done} gets the peer's answer, or null when none came. False, with
   * nothing done, when there is nobody to ask.
   */
  boolean pass(Exchange exchange, Consumer<UserRequestCodec.Response> done) {
    List<String> served = peers.readyPeers();
    if (served.isEmpty() || open >= MOST_OPEN || exchange instanceof RelayedExchange) {
      return false;
    }
    byte[] request =
        UserRequestCodec.encode(
            new UserRequestCodec.Request(exchange.method(), exchange.path(), exchange.body()));
    if (request == null) {
      return false;
    }
    String peer = served.get(Math.floorMod(turn++, served.size()));
    open++;
    peers
        .requests()
        .ask(
            peer,
            TOPIC,
            request,
            timeoutMs,
            reply -> {
              open--;
              done.accept(reply == null ? null : read(reply));
            });
    return true;
  }

  private UserRequestCodec.Response read(byte[] reply) {
    UserRequestCodec.Response response = UserRequestCodec.answer(reply);
    if (response == null) {
      peers.requests().countRefusedMessage();
    }
    return response;
  }

  private void asked(byte[] body, Consumer<byte[]> reply, Consumer<Exchange> handler) {
    UserRequestCodec.Request request = UserRequestCodec.request(body);
    if (request == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    handler.accept(new RelayedExchange(request, reply));
  }

  /** A request that a peer passed on. */
  private record RelayedExchange(UserRequestCodec.Request request, Consumer<byte[]> to)
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
        to.accept(answer);
      }
    }
  }
}
