package dapplestair.client;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import javax.net.ssl.TrustManager;

/**
 * Asks the endpoints in turn until one answers for good, within one time for all of it. An answer
 * that comes later is dropped, and none is kept from before.
 */
final class ApiClient {
  private static final long ROUND_MS = 250;
  private static final long LONGEST_PAUSE_MS = 2000;

  private final Contexts.Context context;
  private final long timeoutMs;
  private final HttpClient http;

  ApiClient(Contexts.Context context, long timeoutMs) throws CommandException {
    this.context = context;
    this.timeoutMs = timeoutMs;
    HttpClient.Builder builder =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(timeoutMs));
    boolean secure = context.endpoints().stream().anyMatch(e -> e.startsWith("https:"));
    builder.sslContext(secure ? tls(context) : noTls());
    this.http = builder.build();
  }

  /** For plain HTTP alone: the JDK's client would else read all authorities of this machine. */
  private static SSLContext noTls() throws CommandException {
    try {
      SSLContext none = SSLContext.getInstance("TLS");
      none.init(null, new TrustManager[0], null);
      return none;
    } catch (GeneralSecurityException e) {
      throw new CommandException(1, e.getMessage());
    }
  }

  private static SSLContext tls(Contexts.Context context) throws CommandException {
    try {
      SslContextBuilder sslContextBuilder =
          SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
      if (context.authority() != null) {
        sslContextBuilder.trustManager(context.authority().toFile());
      }
      if (context.certificate() != null && context.key() != null) {
        sslContextBuilder.keyManager(context.certificate().toFile(), context.key().toFile());
      }
      return ((JdkSslContext) sslContextBuilder.build()).context();
    } catch (SSLException | IllegalArgumentException e) {
      throw new CommandException(
          CommandException.WRONG_USAGE, "the key files cannot be used: " + e.getMessage());
    }
  }

  /** An answer for good: 2xx. Anything else is a failure. */
  JsonNode get(String path) throws CommandException {
    return call("GET", path, null, 0);
  }

  /** A request that may be repeated without harm. */
  JsonNode post(String path, JsonNode body) throws CommandException {
    return call("POST", path, body, 0);
  }

  /** A question whose answer may keep silent for so long before it comes. */
  JsonNode poll(String path, long waitMs) throws CommandException {
    return call("GET", path, null, waitMs);
  }

  private JsonNode call(String method, String path, JsonNode body, long waitMs)
      throws CommandException {
    long began = System.nanoTime();
    Map<String, String> said = new LinkedHashMap<>();
    boolean refusedByTls = true;
    while (true) {
      long pause = ROUND_MS;
      for (String endpoint : context.endpoints()) {
        long left = timeoutMs + waitMs - elapsedMs(began);
        if (left <= 0) {
          throw unreachable(said, began, refusedByTls && !said.isEmpty());
        }
        try {
          HttpResponse<byte[]> r = send(endpoint, method, path, body, left);
          if (r.statusCode() / 100 == 2) {
            return parsed(endpoint, r);
          }
          if (r.statusCode() < 500 && r.statusCode() != 429) {
            throw refused(endpoint, r);
          }
          refusedByTls = false;
          said.put(endpoint, r.statusCode() + " " + error(r));
          pause = Math.max(pause, retryAfterMs(r));
        } catch (SSLException e) {
          said.put(endpoint, "TLS: " + reason(e));
        } catch (IOException e) {
          refusedByTls = false;
          said.put(endpoint, words(e));
        }
      }
      if (refusedByTls) {
        // A certificate does not become good by asking again.
        throw unreachable(said, began, true);
      }
      sleep(Math.min(pause, Math.max(0, timeoutMs + waitMs - elapsedMs(began))));
    }
  }

  private static long elapsedMs(long since) {
    return (System.nanoTime() - since) / 1_000_000;
  }

  private HttpResponse<byte[]> send(
      String endpoint, String method, String path, JsonNode body, long leftMs)
      throws IOException, CommandException {
    HttpRequest.Builder builder;
    try {
      builder =
          HttpRequest.newBuilder(URI.create(endpoint + path)).timeout(Duration.ofMillis(leftMs));
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          CommandException.WRONG_USAGE, endpoint + ": not a URL: " + e.getMessage());
    }
    if (context.token() != null) {
      builder.header("Authorization", "Bearer " + context.token());
    }
    HttpRequest.BodyPublisher out =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body));
    CompletableFuture<HttpResponse<byte[]>> answer =
        http.sendAsync(
            builder.method(method, out).build(), HttpResponse.BodyHandlers.ofByteArray());
    try {
      // Headers may come in time and the body not: the time is for all of it.
      return answer.get(leftMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      answer.cancel(true);
      throw new HttpTimeoutException("no answer");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    } catch (ExecutionException e) {
      if (e.getCause() instanceof IOException io) {
        throw io;
      }
      throw new IOException(e.getCause());
    }
  }

  private static JsonNode parsed(String endpoint, HttpResponse<byte[]> r) throws IOException {
    JsonNode body = Json.parse(r.body());
    if (!body.isObject()) {
      throw new IOException("an answer that is no JSON object");
    }
    return body;
  }

  private static CommandException refused(String endpoint, HttpResponse<byte[]> r) {
    int code =
        switch (r.statusCode()) {
          case 400 -> CommandException.WRONG_USAGE;
          case 404 -> CommandException.NO_SUCH_THING;
          default -> CommandException.REFUSED;
        };
    return new CommandException(code, error(r) + " (" + r.statusCode() + " from " + endpoint + ")");
  }

  private static String error(HttpResponse<byte[]> r) {
    String said = Json.text(Json.parse(r.body()), "error");
    return said == null ? "without a reason" : said;
  }

  private static long retryAfterMs(HttpResponse<byte[]> r) {
    try {
      long s = Long.parseLong(r.headers().firstValue("Retry-After").orElse("0"));
      return Math.min(LONGEST_PAUSE_MS, Math.max(0, s) * 1000);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static CommandException unreachable(Map<String, String> said, long began, boolean byTls) {
    StringBuilder out = new StringBuilder();
    double s = elapsedMs(began) / 1000.0;
    out.append(
        byTls
            ? "no endpoint was trusted"
            : String.format(
                Locale.ROOT,
                "the service cannot be reached or is restarting (tried for %.1f s)",
                s));
    said.forEach((endpoint, what) -> out.append("\n  ").append(endpoint).append(": ").append(what));
    return new CommandException(
        byTls ? CommandException.REFUSED : CommandException.UNREACHABLE, out.toString());
  }

  private static String words(IOException e) {
    if (e instanceof HttpTimeoutException) {
      return "no answer in time";
    }
    if (e instanceof ConnectException) {
      return "connection refused";
    }
    String m = e.getMessage();
    if (m != null && m.contains("header parser received no bytes")) {
      return "it closed the connection unanswered: does it want https?";
    }
    return m == null ? "the connection broke" : m.lines().findFirst().orElse("");
  }

  /** One line for what is wrong with a certificate. */
  private static String reason(SSLException e) {
    Throwable cause = e;
    while (cause.getCause() != null && cause.getCause() != cause) {
      cause = cause.getCause();
    }
    String m = String.valueOf(cause.getMessage());
    if (cause instanceof java.security.cert.CertificateExpiredException || m.contains("NotAfter")) {
      return "its certificate has expired";
    }
    if (m.contains("unable to find valid certification path")) {
      return "its certificate is from another authority";
    }
    if (m.contains("No subject alternative") || m.contains("No name matching")) {
      return "its certificate is for another name";
    }
    return m.lines().findFirst().orElse("");
  }

  private static void sleep(long ms) throws CommandException {
    try {
      Thread.sleep(Math.max(1, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(1, "interrupted");
    }
  }
}
