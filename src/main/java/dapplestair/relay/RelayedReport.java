package dapplestair.relay;

import dapplestair.ports.Exchange;
import dapplestair.ports.HttpReply;
import java.util.function.Consumer;

/** A worker's report that another controller accepted and relayed to the leader. */
public final class RelayedReport implements Exchange {
  private final String relay;
  private final byte[] body;
  private final Consumer<HttpReply> done;

  RelayedReport(String relay, byte[] body, Consumer<HttpReply> done) {
    this.relay = relay;
    this.body = body;
    this.done = done;
  }

  /** Returns the controller that relayed this report, or null if it came directly. */
  public static String relayOf(Exchange exchange) {
    return exchange instanceof RelayedReport report ? report.relay : null;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/agent/beat";
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public void reply(int status, byte[] answer, int retryAfterS) {
    done.accept(new HttpReply(status, answer));
  }
}
