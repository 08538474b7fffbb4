package dapplestair.netty;

import dapplestair.peers.PeerCodec;
import dapplestair.peers.PeerHello;
import dapplestair.ports.PeerNetwork;
import dapplestair.settings.Settings;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The TCP links between controllers. Each controller opens one connection to every other, on which
 * it only sends; it receives on the connections that the others opened.
 */
public final class PeerLinks implements PeerNetwork {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);
  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final long RECONNECT_DELAY_MS = 150;
  private static final int MAX_UNSENT_BYTES = 1 << 20;

  private final ControllerEventLoop loop;
  private final Settings settings;
  private final PeerCodec codec = new PeerCodec();
  private final Map<String, Channel> outgoingChannels = new HashMap<>();
  private final Map<String, Settings.Peer> peers = new HashMap<>();
  private Listener listener;

  /** Creates the links to the peers that the settings name. */
  public PeerLinks(ControllerEventLoop loop, Settings settings) {
    this.loop = loop;
    this.settings = settings;
    settings.peers().forEach(peer -> peers.put(peer.member(), peer));
  }

  @Override
  public void listen(Listener messageListener) {
    listener = messageListener;
  }

  @Override
  public void start() {
    bind(false);
    peers.values().forEach(this::connect);
  }

  /**
   * Listens for peers. The port may still be taken for a moment, such as by an earlier process that
   * is ending, and without it this controller would receive nothing until its next restart.
   */
  private void bind(boolean isRetry) {
    new ServerBootstrap()
        .group(loop.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(framedInitializer(Incoming::new))
        .bind(settings.peerBind().host(), settings.peerBind().port())
        .addListener((ChannelFutureListener) f -> bound(f, isRetry));
  }

  private void bound(ChannelFuture future, boolean isRetry) {
    if (!future.isSuccess()) {
      if (!isRetry) {
        LOG.error(
            "cannot listen for peers on {}; this controller receives no messages of peers until it"
                + " can",
            settings.peerBind(),
            future.cause());
      }
      loop.after(RECONNECT_DELAY_MS, () -> bind(true));
    } else if (isRetry) {
      LOG.info("listening for peers on {}", settings.peerBind());
    }
  }

  private ChannelInitializer<SocketChannel> framedInitializer(
      java.util.function.Supplier<SimpleChannelInboundHandler<ByteBuf>> handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        ch.pipeline()
            .addLast(new LengthFieldBasedFrameDecoder(PeerCodec.MAX_FRAME_BYTES, 0, 4, 0, 4))
            .addLast(new LengthFieldPrepender(4))
            .addLast(handler.get());
      }
    };
  }

  private void connect(Settings.Peer peer) {
    new Bootstrap()
        .group(loop.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(framedInitializer(Outgoing::new))
        .connect(peer.endpoint().host(), peer.endpoint().port())
        .addListener(
            (ChannelFutureListener)
                f -> {
                  if (f.isSuccess()) {
                    linkEstablished(peer, f.channel());
                  } else {
                    if (f.cause() instanceof ConnectException && isRefusal(f.cause())) {
                      listener.connectionRefused(peer.member());
                    }
                    reconnectLater(peer);
                  }
                });
  }

  private static boolean isRefusal(Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    return message.contains("refused");
  }

  private void linkEstablished(Settings.Peer peer, Channel channel) {
    outgoingChannels.put(peer.member(), channel);
    channel.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(new PeerHello(settings.member()))));
    listener.linkUp(peer.member());
    channel
        .closeFuture()
        .addListener(
            c -> {
              outgoingChannels.remove(peer.member(), channel);
              listener.linkDown(peer.member());
              connect(peer);
            });
  }

  private void reconnectLater(Settings.Peer peer) {
    long jitter = ThreadLocalRandom.current().nextLong(RECONNECT_DELAY_MS);
    loop.after(RECONNECT_DELAY_MS + jitter, () -> connect(peer));
  }

  @Override
  public void send(String member, Object message) {
    Channel channel = outgoingChannels.get(member);
    if (channel == null) {
      return;
    }
    if (channel.unsafe().outboundBuffer() != null
        && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
      // Unsent data for an unresponsive peer must not fill the memory: reconnect instead.
      channel.close();
      return;
    }
    channel.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
  }

  /**
   * Closes the connection if the peer sends on it, since peers never send on links that we opened.
   */
  private static final class Outgoing extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {
    private String member;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      Object message = codec.decode(ByteBufUtil.getBytes(frame));
      if (member == null
          && message instanceof PeerHello peerHello
          && peers.containsKey(peerHello.member())) {
        member = peerHello.member();
      } else if (member != null && message != null) {
        listener.messageReceived(member, message);
      } else {
        LOG.debug(
            "malformed or unexpected frame from {}; closing the connection",
            ctx.channel().remoteAddress());
        listener.malformedMessageReceived();
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
