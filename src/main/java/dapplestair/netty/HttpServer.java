package dapplestair.netty;

import dapplestair.ports.Exchange;
import dapplestair.settings.Settings.Address;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts users, workers and health checks; one handler a connection. */
public final class HttpServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int LARGEST_BODY = 64 * 1024;
  private static final int IDLE_S = 75;

  private final Loop loop;
  private final Consumer<Exchange> handler;
  private final int mostConnections;
  private int connections;
  private Channel channel;

  /** Serves at most {@code mostConnections} at once; more are closed at once. */
  public HttpServer(Loop loop, int mostConnections, Consumer<Exchange> handler) {
    this.loop = loop;
    this.mostConnections = mostConnections;
    this.handler = handler;
  }

  /** Binds; returns the port in use. */
  public int start(Address address) throws InterruptedException {
    channel =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Connections())
            .bind(address.host(), address.port())
            .sync()
            .channel();
    return ((java.net.InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.close();
    }
  }

  private final class Connections extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel ch) {
      if (connections >= mostConnections) {
        ch.close();
        return;
      }
      connections++;
      ch.closeFuture().addListener(f -> connections--);
      ch.pipeline()
          .addLast(new ReadTimeoutHandler(IDLE_S, TimeUnit.SECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new Aggregator())
          .addLast(new Requests());
    }
  }

  /** Says 400 to an oversized body, as the protocol wants, and drops that connection. */
  private static final class Aggregator extends HttpObjectAggregator {
    Aggregator() {
      super(LARGEST_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      byte[] body = "{\"error\":\"the body is over 64 KiB\"}".getBytes(StandardCharsets.UTF_8);
      ctx.writeAndFlush(response(400, body, 0, false)).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    protected Object newContinueResponse(
        HttpMessage start, int max, io.netty.channel.ChannelPipeline p) {
      Object r = super.newContinueResponse(start, max, p);
      // An announced oversized body gets the same 400 as a sent one.
      boolean tooLarge =
          r instanceof io.netty.handler.codec.http.HttpResponse h
              && h.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return tooLarge ? null : r;
    }
  }

  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean keep = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        byte[] body = "{\"error\":\"malformed HTTP\"}".getBytes(StandardCharsets.UTF_8);
        ctx.writeAndFlush(response(400, body, 0, false)).addListener(ChannelFutureListener.CLOSE);
        return;
      }
      handler.accept(new Pending(ctx, request, keep));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection from {} ended: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }

  private static final class Pending implements Exchange {
    private final ChannelHandlerContext ctx;
    private final String method;
    private final String path;
    private final byte[] body;
    private final boolean keep;
    private boolean answered;

    Pending(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) {
      this.ctx = ctx;
      this.method = ((HttpRequest) request).method().name();
      String uri = request.uri();
      int query = uri.indexOf('?');
      this.path = query < 0 ? uri : uri.substring(0, query);
      this.body = ByteBufUtil.getBytes(request.content());
      this.keep = keep;
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
    public byte[] body() {
      return body;
    }

    @Override
    public void reply(int status, byte[] body, int retryAfterS) {
      if (answered) {
        LOG.error("second answer to {} {}", method, path);
        return;
      }
      answered = true;
      var f = ctx.writeAndFlush(response(status, body, retryAfterS, keep));
      if (!keep) {
        f.addListener(ChannelFutureListener.CLOSE);
      }
    }
  }

  private static DefaultFullHttpResponse response(
      int status, byte[] body, int retryAfterS, boolean keep) {
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (retryAfterS > 0) {
      r.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keep) {
      r.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    return r;
  }
}
