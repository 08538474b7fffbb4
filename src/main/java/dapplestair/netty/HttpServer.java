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

/** Serves HTTP to users, workers, operators and health checks; one handler per connection. */
public final class HttpServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Limits and TLS of the connections of a server.
   *
   * @param maxConnections maximum number of open connections
   * @param answersExcess true to answer further connections with 503, false to close them
   *     unanswered
   * @param idleTimeoutS seconds without received data after which a connection is closed
   * @param tls supplies the TLS context of each new connection; null for plain HTTP
   */
  public record Options(
      int maxConnections, boolean answersExcess, int idleTimeoutS, Supplier<SslContext> tls) {
    /**
     * Returns the options for users and workers: connections above the limit are closed, so that a
     * load balancer chooses another controller.
     */
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

  /** Creates a server that runs on this event loop. */
  public HttpServer(ControllerEventLoop loop, Options options, Consumer<Exchange> handler) {
    this.loop = loop;
    this.options = options;
    this.handler = handler;
  }

  /** Binds to the address and returns the port. Must not be called on the event loop. */
  public int start(Address address) throws InterruptedException {
    channel = bind(address).sync().channel();
    return port();
  }

  /** Binds on the event loop; {@code onBound} gets the port, or -1 if binding failed. */
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

  /**
   * Stops accepting requests, and runs {@code onDrained} once the pending ones are answered. Must
   * be called on the event loop.
   */
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
      // A 503 response needs a connection, too: half of the limit is allowed on top for these.
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

  /** Answers an oversized body with 400, as the protocol demands, and closes the connection. */
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
      // An oversized body that is only announced gets the same 400 as one that is sent.
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
    // A connection carries one request at a time, so at most one exchange is pending.
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
      LOG.debug(
          "closing the connection from {} after an error: {}",
          ctx.channel().remoteAddress(),
          cause.toString());
      ctx.close();
    }
  }
}
