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

/** Outgoing requests over kept connections, one request at a time on each. */
public final class HttpPool implements HttpCaller {
  private static final int LARGEST_REPLY = 8 << 20;
  private static final int MOST_WAITING = 512;
  private static final long KEEP_IDLE_MS = 20_000;

  /** While more connections are open than is comfortable. */
  private static final long KEEP_IDLE_CROWDED_MS = 2_500;

  private static final long SWEEP_MS = 5_000;

  private final ControllerEventLoop loop;
  private final int mostPerEndpoint;
  private final long connectMs;
  private final int comfortable;
  private int connections;
  private final Map<String, Endpoint> endpoints = new HashMap<>();

  /** At most {@code mostPerEndpoint} connections to one place. */
  public HttpPool(ControllerEventLoop loop, int mostPerEndpoint, long connectMs) {
    this(loop, mostPerEndpoint, connectMs, Integer.MAX_VALUE);
  }

  /**
   * The same for a process whose sockets are limited.
   *
   * @param comfortable with more connections than these, idle ones are closed sooner
   */
  public HttpPool(ControllerEventLoop loop, int mostPerEndpoint, long connectMs, int comfortable) {
    this.loop = loop;
    this.comfortable = comfortable;
    this.mostPerEndpoint = mostPerEndpoint;
    this.connectMs = connectMs;
    sweep();
  }

  @Override
  public void call(
      String endpoint,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> done) {
    Endpoint e = endpoints.computeIfAbsent(endpoint, Endpoint::new);
    e.submit(new Call(e, method, path, body, timeoutMs, done));
  }

  /** Closes connections that nobody used for a while and forgets endpoints without any. */
  private void sweep() {
    boolean crowded = connections > comfortable;
    long before = loop.now() - (crowded ? KEEP_IDLE_CROWDED_MS : KEEP_IDLE_MS);
    Iterator<Endpoint> it = endpoints.values().iterator();
    while (it.hasNext()) {
      Endpoint endpoint = it.next();
      while (!endpoint.idle.isEmpty() && endpoint.idle.peekFirst().usedAt < before) {
        endpoint.idle.pollFirst().channel.close();
      }
      if (endpoint.open == 0 && endpoint.waiting.isEmpty()) {
        it.remove();
      }
    }
    loop.after(crowded ? KEEP_IDLE_CROWDED_MS / 2 : SWEEP_MS, this::sweep);
  }

  private final class Endpoint {
    final String name;
    final ArrayDeque<Connection> idle = new ArrayDeque<>();
    final ArrayDeque<Call> waiting = new ArrayDeque<>();
    int open;

    Endpoint(String name) {
      this.name = name;
    }

    void submit(Call call) {
      if (waiting.size() >= MOST_WAITING) {
        loop.after(0, () -> call.end(HttpReply.of(HttpReply.NOT_SENT)));
        return;
      }
      call.timer = loop.after(call.timeoutMs, call::expire);
      waiting.add(call);
      pump();
    }

    void pump() {
      while (!waiting.isEmpty()) {
        Connection connection = idle.pollLast();
        if (connection != null) {
          if (connection.channel.isActive()) {
            connection.send(waiting.poll());
          }
        } else if (open < mostPerEndpoint) {
          connect();
          return;
        } else {
          return;
        }
      }
    }

    void connect() {
      open++;
      connections++;
      Connection connection = new Connection(this);
      int colon = name.lastIndexOf(':');
      ChannelFuture channelFuture =
          new Bootstrap()
              .group(loop.group())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMs)
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
    Connection carrier;

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

    /** Sockets hang silently: this is the only end such a call has. */
    void expire() {
      if (carrier != null) {
        carrier.channel.close();
        end(HttpReply.of(HttpReply.UNKNOWN));
      } else {
        endpoint.waiting.remove(this);
        end(HttpReply.of(HttpReply.NOT_SENT));
      }
    }

    void end(HttpReply reply) {
      Consumer<HttpReply> d = done;
      if (d == null) {
        return;
      }
      done = null;
      if (timer != null) {
        timer.cancel();
      }
      ControllerEventLoop.guarded(() -> d.accept(reply)).run();
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    final Endpoint endpoint;
    Channel channel;
    Call current;
    long usedAt;

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
              .addLast(new HttpObjectAggregator(LARGEST_REPLY))
              .addLast(self);
        }
      };
    }

    void connected(boolean success) {
      if (success) {
        channel.closeFuture().addListener(f -> closed());
        ready();
        return;
      }
      endpoint.open--;
      connections--;
      Call next = endpoint.waiting.poll();
      if (next != null) {
        next.end(HttpReply.of(HttpReply.NOT_SENT));
      }
      endpoint.pump();
    }

    void ready() {
      usedAt = loop.now();
      endpoint.idle.addLast(this);
      endpoint.pump();
    }

    void send(Call call) {
      current = call;
      call.carrier = this;
      byte[] body = call.body == null ? new byte[0] : call.body;
      DefaultFullHttpRequest defaultFullHttpRequest =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method),
              call.path,
              Unpooled.wrappedBuffer(body));
      defaultFullHttpRequest.headers().set(HttpHeaderNames.HOST, endpoint.name);
      if (body.length > 0 || !call.method.equals("GET")) {
        defaultFullHttpRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        defaultFullHttpRequest.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
      }
      channel.writeAndFlush(defaultFullHttpRequest);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call call = current;
      current = null;
      if (call == null) {
        ctx.close();
        return;
      }
      boolean broken = response.decoderResult().isFailure();
      HttpReply reply =
          broken
              ? HttpReply.of(HttpReply.UNKNOWN)
              : new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
      if (broken || !HttpUtil.isKeepAlive(response)) {
        ctx.close();
      } else {
        ready();
      }
      call.end(reply);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    void closed() {
      endpoint.open--;
      connections--;
      endpoint.idle.remove(this);
      Call call = current;
      current = null;
      if (call != null) {
        call.end(HttpReply.of(HttpReply.UNKNOWN));
      }
      endpoint.pump();
    }
  }
}
