package dapplestair.netty;

import dapplestair.ports.Cancellable;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

/** Sends requests over pooled keep-alive connections, one request at a time on each. */
public final class HttpPool implements HttpCaller {
  private static final int MAX_REPLY_BYTES = 8 << 20;
  private static final int MAX_WAITING_CALLS = 512;
  private static final long IDLE_TIMEOUT_MS = 20_000;

  /** Idle timeout while more than {@code maxUncrowdedConnections} connections are open. */
  private static final long CROWDED_IDLE_TIMEOUT_MS = 2_500;

  private static final long SWEEP_INTERVAL_MS = 5_000;

  private final ControllerEventLoop loop;
  private final int maxConnectionsPerEndpoint;
  private final long connectTimeoutMs;
  private final int maxUncrowdedConnections;
  private int totalConnections;
  private final Map<String, Endpoint> endpoints = new HashMap<>();

  /** Creates a pool with at most {@code maxConnectionsPerEndpoint} connections to one endpoint. */
  public HttpPool(ControllerEventLoop loop, int maxConnectionsPerEndpoint, long connectTimeoutMs) {
    this(loop, maxConnectionsPerEndpoint, connectTimeoutMs, Integer.MAX_VALUE);
  }

  /**
   * Creates a pool for a process whose sockets are limited.
   *
   * @param maxUncrowdedConnections idle connections are closed sooner while more than these are
   *     open
   */
  public HttpPool(
      ControllerEventLoop loop,
      int maxConnectionsPerEndpoint,
      long connectTimeoutMs,
      int maxUncrowdedConnections) {
    this.loop = loop;
    this.maxUncrowdedConnections = maxUncrowdedConnections;
    this.maxConnectionsPerEndpoint = maxConnectionsPerEndpoint;
    this.connectTimeoutMs = connectTimeoutMs;
    closeIdleConnections();
  }

  @Override
  public void call(
      String endpoint,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done) {
    Endpoint target = endpoints.computeIfAbsent(endpoint, Endpoint::new);
    target.submit(new Call(target, method, path, body, timeoutMs, done));
  }

  /** Closes connections that were idle for too long and drops endpoints without connections. */
  private void closeIdleConnections() {
    boolean isCrowded = totalConnections > maxUncrowdedConnections;
    long minLastUsedMs = loop.now() - (isCrowded ? CROWDED_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS);
    Iterator<Endpoint> iterator = endpoints.values().iterator();
    while (iterator.hasNext()) {
      Endpoint endpoint = iterator.next();
      while (!endpoint.idleConnections.isEmpty()
          && endpoint.idleConnections.peekFirst().lastUsedMs < minLastUsedMs) {
        endpoint.idleConnections.pollFirst().channel.close();
      }
      if (endpoint.openConnections == 0 && endpoint.waitingCalls.isEmpty()) {
        iterator.remove();
      }
    }
    loop.after(
        isCrowded ? CROWDED_IDLE_TIMEOUT_MS / 2 : SWEEP_INTERVAL_MS, this::closeIdleConnections);
  }

  private final class Endpoint {
    final String name;
    final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();
    int openConnections;

    Endpoint(String name) {
      this.name = name;
    }

    void submit(Call call) {
      if (waitingCalls.size() >= MAX_WAITING_CALLS) {
        loop.after(0, () -> call.complete(HttpReply.of(HttpReply.NOT_SENT)));
        return;
      }
      call.timer = loop.after(call.timeoutMs, call::expire);
      waitingCalls.add(call);
      sendWaiting();
    }

    void sendWaiting() {
      while (!waitingCalls.isEmpty()) {
        Connection connection = idleConnections.pollLast();
        if (connection != null) {
          if (connection.channel.isActive()) {
            connection.send(waitingCalls.poll());
          }
        } else if (openConnections < maxConnectionsPerEndpoint) {
          connect();
          return;
        } else {
          return;
        }
      }
    }

    void connect() {
      openConnections++;
      totalConnections++;
      Connection connection = new Connection(this);
      int colon = name.lastIndexOf(':');
      ChannelFuture channelFuture =
          new Bootstrap()
              .group(loop.group())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMs)
              .handler(connection.initializer())
              .connect(name.substring(0, colon), Integer.parseInt(name.substring(colon + 1)));
      connection.channel = channelFuture.channel();
      channelFuture.addListener(x -> connection.connected(x.isSuccess()));
    }
  }

  private final class Call {
    final Endpoint endpoint;
    final String method;
    final String path;
    final byte[] body;
    final long timeoutMs;
    Consumer<HttpReply> done;
    Cancellable timer;
    Connection connection;

    Call(
        Endpoint endpoint,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        Consumer<HttpReply> done) {
      this.endpoint = endpoint;
      this.method = method;
      this.path = path;
      this.body = body;
      this.timeoutMs = timeoutMs;
      this.done = done;
    }

    /** Ends a call at its timeout; a call on a socket that hangs silently ends in no other way. */
    void expire() {
      if (connection != null) {
        connection.channel.close();
        complete(HttpReply.of(HttpReply.UNKNOWN));
      } else {
        endpoint.waitingCalls.remove(this);
        complete(HttpReply.of(HttpReply.NOT_SENT));
      }
    }

    void complete(HttpReply reply) {
      Consumer<HttpReply> callback = done;
      if (callback == null) {
        return;
      }
      done = null;
      if (timer != null) {
        timer.cancel();
      }
      ControllerEventLoop.guarded(() -> callback.accept(reply)).run();
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    final Endpoint endpoint;
    Channel channel;
    Call currentCall;
    long lastUsedMs;

    Connection(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    ChannelInitializer<SocketChannel> initializer() {
      Connection self = this;
      return new ChannelInitializer<>() {
        @Override
        protected void initChannel(SocketChannel ch) {
          ch.pipeline()
              .addLast(new HttpClientCodec())
              .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
              .addLast(self);
        }
      };
    }

    void connected(boolean success) {
      if (success) {
        channel.closeFuture().addListener(f -> closed());
        becomeIdle();
        return;
      }
      endpoint.openConnections--;
      totalConnections--;
      Call next = endpoint.waitingCalls.poll();
      if (next != null) {
        next.complete(HttpReply.of(HttpReply.NOT_SENT));
      }
      endpoint.sendWaiting();
    }

    void becomeIdle() {
      lastUsedMs = loop.now();
      endpoint.idleConnections.addLast(this);
      endpoint.sendWaiting();
    }

    void send(Call call) {
      currentCall = call;
      call.connection = this;
      byte[] body = call.body == null ? new byte[0] : call.body;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method),
              call.path,
              Unpooled.wrappedBuffer(body));
      request.headers().set(HttpHeaderNames.HOST, endpoint.name);
      if (body.length > 0 || !call.method.equals("GET")) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call call = currentCall;
      currentCall = null;
      if (call == null) {
        ctx.close();
        return;
      }
      boolean isMalformed = response.decoderResult().isFailure();
      HttpReply reply =
          isMalformed
              ? HttpReply.of(HttpReply.UNKNOWN)
              : new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
      if (isMalformed || !HttpUtil.isKeepAlive(response)) {
        ctx.close();
      } else {
        becomeIdle();
      }
      call.complete(reply);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    void closed() {
      endpoint.openConnections--;
      totalConnections--;
      endpoint.idleConnections.remove(this);
      Call call = currentCall;
      currentCall = null;
      if (call != null) {
        call.complete(HttpReply.of(HttpReply.UNKNOWN));
      }
      endpoint.sendWaiting();
    }
  }
}
