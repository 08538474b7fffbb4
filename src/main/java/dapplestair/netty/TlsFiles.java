package dapplestair.netty;

import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Timers;
import dapplestair.settings.OperatorSettings;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TLS by PEM files, which are read again when they change; connections keep what they began with.
 */
public final class TlsFiles implements Supplier<SslContext> {
  private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);
  private static final long LOOK_EVERY_MS = 1000;

  private record Loaded(List<FileTime> at, SslContext context) {}

  private final OperatorSettings.Tls files;
  private volatile Loaded loaded;

  private TlsFiles(OperatorSettings.Tls files) {
    this.files = files;
  }

  /** Reads the files now, and again whenever one has changed. */
  public static TlsFiles watch(
      OperatorSettings.Tls files, Timers timers, BackgroundExecutor background) throws IOException {
    TlsFiles tlsFiles = new TlsFiles(files);
    tlsFiles.loaded = tlsFiles.load();
    tlsFiles.look(timers, background);
    return tlsFiles;
  }

  @Override
  public SslContext get() {
    return loaded.context();
  }

  private void look(Timers timers, BackgroundExecutor background) {
    timers.after(
        LOOK_EVERY_MS,
        () ->
            background.compute(
                this::changed,
                fresh -> {
                  if (fresh != null) {
                    loaded = fresh;
                    LOG.info("{}: read again", files.certificate());
                  }
                  look(timers, background);
                }));
  }

  /** What the files hold now, or null when they have not changed or cannot be used. */
  private Loaded changed() {
    try {
      return times().equals(loaded.at()) ? null : load();
    } catch (IOException e) {
      LOG.debug("{}", e.getMessage());
      return null;
    }
  }

  private List<FileTime> times() throws IOException {
    List<FileTime> out = new ArrayList<>();
    for (Path path : List.of(files.certificate(), files.key(), files.authority())) {
      out.add(Files.getLastModifiedTime(path));
    }
    return out;
  }

  private Loaded load() throws IOException {
    List<FileTime> at = times();
    try {
      warnIfExpired();
      SslContext context =
          SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.authority().toFile())
              .clientAuth(ClientAuth.OPTIONAL)
              .sslProvider(SslProvider.JDK)
              .protocols("TLSv1.3", "TLSv1.2")
              .build();
      return new Loaded(at, context);
    } catch (IllegalArgumentException | CertificateException e) {
      throw new IOException(files.certificate() + " or " + files.key() + " cannot be used", e);
    }
  }

  private void warnIfExpired() throws IOException, CertificateException {
    try (InputStream in = Files.newInputStream(files.certificate())) {
      X509Certificate x509Certificate =
          (X509Certificate) CertificateFactory.getInstance("X.509").generateCertificate(in);
      if (x509Certificate.getNotAfter().getTime() < System.currentTimeMillis()) {
        LOG.warn(
            "{} expired on {}: clients refuse it",
            files.certificate(),
            x509Certificate.getNotAfter());
      }
    }
  }
}
