package dapplestair.netty;

import dapplestair.ports.Exchange;
import dapplestair.settings.Settings.Address;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts users, workers, operators and health checks; one handler a connection. */
public final class HttpServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * How a server treats its connections.
   *
   * @param maxConnections connections at once
   * @param answersExcess true to answer those beyond with 503, false to close them unanswered
   * @param idleTimeoutS seconds after which a silent connection is closed
   * @param tls the context of each new connection, or null for plain HTTP
   */
  public record Options(
      int maxConnections, boolean answersExcess, int idleTimeoutS, Supplier<SslContext> tls) {
    /** For users and workers: those beyond are closed, so that a load balancer goes elsewhere. */
    public static Options users(int maxConnections) {
      return new Options(maxConnections, false, 75, null);
    }
  }

  private final ControllerEventLoop loop;
  private final Consumer<Exchange> handler;
  private final Options options;
  private int openConnections;
  private int pendingExchanges;
  private Runnable drainCallback;
  private Channel channel;

  /** Serves on this loop. */
  public HttpServer(ControllerEventLoop loop, Options options, Consumer<Exchange> handler) {
    this.loop = loop;
    this.options = options;
    this.handler = handler;
  }

  /** Binds; returns the port in use. Not to be called on the loop. */
  public int start(Address address) throws InterruptedException {
    channel = bind(address).sync().channel();
    return port();
  }

  /** Binds from the loop; {@code onBound} is told the port, or -1 when that failed. */
  public void startAsync(Address address, Consumer<Integer> onBound) {
    bind(address)
        .addListener(
            (ChannelFutureListener)
                f -> {
                  channel = f.channel();
                  onBound.accept(f.isSuccess() ? port() : -1);
                });
  }

  private int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private ChannelFuture bind(Address address) {
    return new ServerBootstrap()
        .group(loop.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ConnectionInitializer())
        .bind(address.host(), address.port());
  }

  /** Takes no more requests, and says when the open ones are answered. On the loop. */
  public void drain(Runnable onDrained) {
    drainCallback = onDrained;
    close();
    exchangesEnded(0);
  }

  private void exchangesEnded(int count) {
    pendingExchanges -= count;
    if (pendingExchanges == 0 && drainCallback != null) {
      Runnable callback = drainCallback;
      drainCallback = () -> {};
      callback.run();
    }
  }

  private boolean isDraining() {
    return drainCallback != null;
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.close();
    }
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel ch) {
      boolean isExcess = openConnections >= options.maxConnections();
      // To say no in HTTP takes a connection, too: for that there are half as many again.
      if (isExcess
          && (!options.answersExcess() || openConnections >= options.maxConnections() * 3 / 2)) {
        ch.close();
        return;
      }
      openConnections++;
      ch.closeFuture().addListener(f -> openConnections--);
      ch.pipeline().addLast(new ReadTimeoutHandler(options.idleTimeoutS(), TimeUnit.SECONDS));
      if (options.tls() != null) {
        ch.pipeline().addLast(new TlsHandshakeHandler(options.tls().get(), ch));
      }
      ch.pipeline()
          .addLast(new HttpServerCodec())
          .addLast(new Aggregator())
          .addLast(new RequestHandler(isExcess));
    }
  }

  /** Says 400 to an oversized body, as the protocol wants, and drops that connection. */
  private static final class Aggregator extends HttpObjectAggregator {
    Aggregator() {
      super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      refuse(ctx, 400, "the body is over 64 KiB", 0);
    }

    @Override
    protected Object newContinueResponse(
        HttpMessage start, int max, io.netty.channel.ChannelPipeline pipeline) {
      Object response = super.newContinueResponse(start, max, pipeline);
      // An announced oversized body gets the same 400 as a sent one.
      boolean tooLarge =
          response instanceof io.netty.handler.codec.http.HttpResponse httpResponse
              && httpResponse.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return tooLarge ? null : response;
    }
  }

  private static void refuse(
      ChannelHandlerContext ctx, int status, String reason, int retryAfterS) {
    ctx.writeAndFlush(HttpExchange.refusal(status, reason, retryAfterS))
        .addListener(ChannelFutureListener.CLOSE);
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final boolean isExcess;
    // One request at a time on a connection, so this is all that can be open on it.
    private HttpExchange pendingExchange;

    RequestHandler(boolean isExcess) {
      this.isExcess = isExcess;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        refuse(ctx, 400, "malformed HTTP", 0);
      } else if (isExcess) {
        refuse(ctx, 503, "too many connections", 1);
      } else if (isDraining()) {
        refuse(ctx, 503, "this process is ending", 1);
      } else {
        pendingExchanges++;
        pendingExchange =
            new HttpExchange(ctx, request, HttpUtil.isKeepAlive(request), this::exchangeEnded);
        handler.accept(pendingExchange);
      }
    }

    private boolean exchangeEnded(HttpExchange exchange) {
      HttpServer.this.exchangesEnded(1);
      if (pendingExchange == exchange) {
        pendingExchange = null;
      }
      return isDraining();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (pendingExchange != null) {
        pendingExchange.abandon();
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection from {} ended: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
