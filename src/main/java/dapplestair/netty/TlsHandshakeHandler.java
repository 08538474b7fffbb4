package dapplestair.netty;

import com.google.common.util.concurrent.RateLimiter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.NotSslRecordException;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import java.nio.channels.ClosedChannelException;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts TLS on a connection and logs failed handshakes in one line each, at a limited rate. */
final class TlsHandshakeHandler extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(TlsHandshakeHandler.class);
  private static final RateLimiter WARNING_LIMITER = RateLimiter.create(1);
  private static final long HANDSHAKE_TIMEOUT_MS = 5000;

  private final SslContext context;

  TlsHandshakeHandler(SslContext context, Channel ch) {
    this.context = context;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    SslHandler tls = context.newHandler(ctx.alloc());
    tls.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MS);
    ctx.pipeline().addBefore(ctx.name(), "tls", tls);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof SslHandshakeCompletionEvent completion && !completion.isSuccess()) {
      if (WARNING_LIMITER.tryAcquire()) {
        LOG.warn(
            "TLS handshake with {} failed, closing the connection: {}",
            ctx.channel().remoteAddress(),
            reason(completion.cause()));
      }
      ctx.close();
      return;
    }
    super.userEventTriggered(ctx, event);
  }

  private static String reason(Throwable cause) {
    Throwable rootCause = cause;
    while (rootCause.getCause() != null && rootCause.getCause() != rootCause) {
      rootCause = rootCause.getCause();
    }
    if (rootCause instanceof NotSslRecordException) {
      // The message of this exception contains all data that was sent.
      return "what it sent is not TLS";
    }
    if (rootCause instanceof ClosedChannelException) {
      return "it closed the connection: it may not trust this certificate";
    }
    String message = rootCause.getMessage();
    return message == null
        ? rootCause.getClass().getSimpleName()
        : message.lines().findFirst().orElse("");
  }

  /** Returns the subject of the client's verified certificate, or null if there is none. */
  static String subject(Channel channel) {
    if (!(channel.pipeline().get("tls") instanceof SslHandler tls)) {
      return null;
    }
    try {
      return tls.engine().getSession().getPeerCertificates()[0]
              instanceof X509Certificate certificate
          ? certificate.getSubjectX500Principal().getName()
          : null;
    } catch (SSLPeerUnverifiedException e) {
      return null;
    }
  }
}
