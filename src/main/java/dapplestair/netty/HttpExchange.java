package dapplestair.netty;

import dapplestair.json.Json;
import dapplestair.ports.Exchange;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A received HTTP request that awaits its response. */
final class HttpExchange implements Exchange {
  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);
  private static final String JSON = "application/json";

  private final ChannelHandlerContext ctx;
  private final String method;
  private final String path;
  private final String query;
  private final HttpHeaders headers;
  private final byte[] body;
  private final boolean keepAlive;
  private final Predicate<HttpExchange> onEnd;
  private boolean answered;
  private boolean abandoned;

  /**
   * Creates an exchange.
   *
   * @param onEnd called once when the exchange is answered or abandoned; returns whether the
   *     connection is to be closed
   */
  HttpExchange(
      ChannelHandlerContext ctx,
      FullHttpRequest request,
      boolean keepAlive,
      Predicate<HttpExchange> onEnd) {
    this.ctx = ctx;
    this.method = request.method().name();
    String uri = request.uri();
    int queryStart = uri.indexOf('?');
    this.path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    this.query = queryStart < 0 ? "" : uri.substring(queryStart + 1);
    this.headers = request.headers();
    this.body = ByteBufUtil.getBytes(request.content());
    this.keepAlive = keepAlive;
    this.onEnd = onEnd;
  }

  @Override
  public String method() {
    return method;
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public String query() {
    return query;
  }

  @Override
  public String header(String name) {
    return headers.get(name);
  }

  @Override
  public String subject() {
    return TlsHandshakeHandler.subject(ctx.channel());
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public void reply(int status, byte[] answer, int retryAfterS) {
    reply(status, JSON, answer, retryAfterS);
  }

  @Override
  public void reply(String contentType, byte[] answer) {
    reply(200, contentType, answer, 0);
  }

  /** Ends the exchange because its connection has closed, so that no response can be delivered. */
  void abandon() {
    if (!answered && !abandoned) {
      abandoned = true;
      onEnd.test(this);
    }
  }

  private void reply(int status, String type, byte[] answer, int retryAfterS) {
    if (answered) {
      LOG.error("{} {} was answered twice; dropping the second response", method, path);
      return;
    }
    answered = true;
    boolean close = !keepAlive | (!abandoned && onEnd.test(this));
    var write = ctx.writeAndFlush(response(status, type, answer, retryAfterS, !close));
    if (close) {
      write.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Returns an error response after which the connection is closed. */
  static DefaultFullHttpResponse refusal(int status, String reason, int retryAfterS) {
    return response(
        status, JSON, Json.bytes(Json.object().put("error", reason)), retryAfterS, false);
  }

  private static DefaultFullHttpResponse response(
      int status, String type, byte[] body, int retryAfterS, boolean keepAlive) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    return response;
  }
}
