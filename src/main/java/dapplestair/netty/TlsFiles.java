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
 * Supplies the TLS context from PEM files, which are reloaded when they change; existing
 * connections keep the context that they began with.
 */
public final class TlsFiles implements Supplier<SslContext> {
  private static final Logger LOG = LoggerFactory.getLogger(TlsFiles.class);
  private static final long CHECK_INTERVAL_MS = 1000;

  private record Loaded(List<FileTime> modificationTimes, SslContext context) {}

  private final OperatorSettings.Tls files;
  private volatile Loaded loaded;

  private TlsFiles(OperatorSettings.Tls files) {
    this.files = files;
  }

  /** Loads the files now, and again whenever one of them has changed. */
  public static TlsFiles watch(
      OperatorSettings.Tls files, Timers timers, BackgroundExecutor background) throws IOException {
    TlsFiles tlsFiles = new TlsFiles(files);
    tlsFiles.loaded = tlsFiles.load();
    tlsFiles.scheduleCheck(timers, background);
    return tlsFiles;
  }

  @Override
  public SslContext get() {
    return loaded.context();
  }

  private void scheduleCheck(Timers timers, BackgroundExecutor background) {
    timers.after(
        CHECK_INTERVAL_MS,
        () ->
            background.compute(
                this::loadIfChanged,
                reloaded -> {
                  if (reloaded != null) {
                    loaded = reloaded;
                    LOG.info(
                        "reloaded TLS certificate {} and its key for new connections",
                        files.certificate());
                  }
                  scheduleCheck(timers, background);
                }));
  }

  /** Loads the files; returns null if they have not changed or cannot be used. */
  private Loaded loadIfChanged() {
    try {
      return modificationTimes().equals(loaded.modificationTimes()) ? null : load();
    } catch (IOException e) {
      LOG.debug(
          "TLS files not reloaded; new connections keep the loaded certificate: {}",
          e.getMessage());
      return null;
    }
  }

  private List<FileTime> modificationTimes() throws IOException {
    List<FileTime> times = new ArrayList<>();
    for (Path path : List.of(files.certificate(), files.key(), files.authority())) {
      times.add(Files.getLastModifiedTime(path));
    }
    return times;
  }

  private Loaded load() throws IOException {
    List<FileTime> times = modificationTimes();
    try {
      warnIfExpired();
      SslContext context =
          SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.authority().toFile())
              .clientAuth(ClientAuth.OPTIONAL)
              .sslProvider(SslProvider.JDK)
              .protocols("TLSv1.3", "TLSv1.2")
              .build();
      return new Loaded(times, context);
    } catch (IllegalArgumentException | CertificateException e) {
      throw new IOException(
          files.certificate()
              + ", "
              + files.key()
              + " or the authority file cannot be used for TLS",
          e);
    }
  }

  private void warnIfExpired() throws IOException, CertificateException {
    try (InputStream in = Files.newInputStream(files.certificate())) {
      X509Certificate certificate =
          (X509Certificate) CertificateFactory.getInstance("X.509").generateCertificate(in);
      if (certificate.getNotAfter().getTime() < System.currentTimeMillis()) {
        LOG.warn(
            "TLS certificate {} expired on {}: clients will refuse it",
            files.certificate(),
            certificate.getNotAfter());
      }
    }
  }
}
