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
 * Sends a request to the endpoints in turn until one of them gives a final answer, within one
 * timeout for all attempts. An answer that arrives after the timeout is dropped, and answers are
 * not cached.
 */
final class ApiClient {
  private static final long MIN_ROUND_PAUSE_MS = 250;
  private static final long MAX_ROUND_PAUSE_MS = 2000;

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
    boolean usesHttps = context.endpoints().stream().anyMatch(e -> e.startsWith("https:"));
    builder.sslContext(usesHttps ? clientSslContext(context) : emptySslContext());
    this.http = builder.build();
  }

  /**
   * Returns a TLS context without trusted authorities, for plain HTTP only. Without it, the JDK's
   * client would load all certificate authorities of this machine.
   */
  private static SSLContext emptySslContext() throws CommandException {
    try {
      SSLContext emptyContext = SSLContext.getInstance("TLS");
      emptyContext.init(null, new TrustManager[0], null);
      return emptyContext;
    } catch (GeneralSecurityException e) {
      throw new CommandException(1, e.getMessage());
    }
  }

  private static SSLContext clientSslContext(Contexts.Context context) throws CommandException {
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

  /** Returns the body of a 2xx response. Any other final response is thrown as a failure. */
  JsonNode get(String path) throws CommandException {
    return call("GET", path, null, 0);
  }

  /** Sends a request that must be idempotent, since it may be repeated. */
  JsonNode post(String path, JsonNode body) throws CommandException {
    return call("POST", path, body, 0);
  }

  /** Sends a long poll, to which the server may delay its response by {@code serverWaitMs}. */
  JsonNode poll(String path, long serverWaitMs) throws CommandException {
    return call("GET", path, null, serverWaitMs);
  }

  private JsonNode call(String method, String path, JsonNode body, long serverWaitMs)
      throws CommandException {
    long startNanos = System.nanoTime();
    Map<String, String> failuresByEndpoint = new LinkedHashMap<>();
    boolean onlyTlsFailures = true;
    while (true) {
      long pauseMs = MIN_ROUND_PAUSE_MS;
      for (String endpoint : context.endpoints()) {
        long remainingMs = timeoutMs + serverWaitMs - elapsedMs(startNanos);
        if (remainingMs <= 0) {
          throw unreachableException(
              failuresByEndpoint, startNanos, onlyTlsFailures && !failuresByEndpoint.isEmpty());
        }
        try {
          HttpResponse<byte[]> response = send(endpoint, method, path, body, remainingMs);
          if (response.statusCode() / 100 == 2) {
            return parseObject(endpoint, response);
          }
          if (response.statusCode() < 500 && response.statusCode() != 429) {
            throw refusedException(endpoint, response);
          }
          onlyTlsFailures = false;
          failuresByEndpoint.put(endpoint, response.statusCode() + " " + errorText(response));
          pauseMs = Math.max(pauseMs, retryAfterMs(response));
        } catch (SSLException e) {
          failuresByEndpoint.put(endpoint, "TLS: " + describeTlsFailure(e));
        } catch (IOException e) {
          onlyTlsFailures = false;
          failuresByEndpoint.put(endpoint, describeFailure(e));
        }
      }
      if (onlyTlsFailures) {
        // Another attempt would not make an untrusted certificate valid.
        throw unreachableException(failuresByEndpoint, startNanos, true);
      }
      sleep(Math.min(pauseMs, Math.max(0, timeoutMs + serverWaitMs - elapsedMs(startNanos))));
    }
  }

  private static long elapsedMs(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private HttpResponse<byte[]> send(
      String endpoint, String method, String path, JsonNode body, long remainingMs)
      throws IOException, CommandException {
    HttpRequest.Builder builder;
    try {
      builder =
          HttpRequest.newBuilder(URI.create(endpoint + path))
              .timeout(Duration.ofMillis(remainingMs));
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          CommandException.WRONG_USAGE, endpoint + ": not a URL: " + e.getMessage());
    }
    if (context.token() != null) {
      builder.header("Authorization", "Bearer " + context.token());
    }
    HttpRequest.BodyPublisher bodyPublisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body));
    CompletableFuture<HttpResponse<byte[]>> responseFuture =
        http.sendAsync(
            builder.method(method, bodyPublisher).build(), HttpResponse.BodyHandlers.ofByteArray());
    try {
      // The headers may arrive in time and the body late: the timeout covers the whole response.
      return responseFuture.get(remainingMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      responseFuture.cancel(true);
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

  private static JsonNode parseObject(String endpoint, HttpResponse<byte[]> response)
      throws IOException {
    JsonNode body = Json.parse(response.body());
    if (!body.isObject()) {
      throw new IOException("an answer that is no JSON object");
    }
    return body;
  }

  private static CommandException refusedException(String endpoint, HttpResponse<byte[]> response) {
    int code =
        switch (response.statusCode()) {
          case 400 -> CommandException.WRONG_USAGE;
          case 404 -> CommandException.NO_SUCH_THING;
          default -> CommandException.REFUSED;
        };
    return new CommandException(
        code, errorText(response) + " (" + response.statusCode() + " from " + endpoint + ")");
  }

  private static String errorText(HttpResponse<byte[]> response) {
    String error = Json.text(Json.parse(response.body()), "error");
    return error == null ? "without a reason" : error;
  }

  private static long retryAfterMs(HttpResponse<byte[]> response) {
    try {
      long seconds = Long.parseLong(response.headers().firstValue("Retry-After").orElse("0"));
      return Math.min(MAX_ROUND_PAUSE_MS, Math.max(0, seconds) * 1000);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static CommandException unreachableException(
      Map<String, String> failuresByEndpoint, long startNanos, boolean onlyTlsFailures) {
    StringBuilder message = new StringBuilder();
    double elapsedS = elapsedMs(startNanos) / 1000.0;
    message.append(
        onlyTlsFailures
            ? "no endpoint was trusted"
            : String.format(
                Locale.ROOT,
                "the service cannot be reached or is restarting (tried for %.1f s)",
                elapsedS));
    failuresByEndpoint.forEach(
        (endpoint, failure) ->
            message.append("\n  ").append(endpoint).append(": ").append(failure));
    return new CommandException(
        onlyTlsFailures ? CommandException.REFUSED : CommandException.UNREACHABLE,
        message.toString());
  }

  private static String describeFailure(IOException e) {
    if (e instanceof HttpTimeoutException) {
      return "no answer in time";
    }
    if (e instanceof ConnectException) {
      return "connection refused";
    }
    String message = e.getMessage();
    if (message != null && message.contains("header parser received no bytes")) {
      return "it closed the connection unanswered: does it want https?";
    }
    return message == null ? "the connection broke" : message.lines().findFirst().orElse("");
  }

  /** Returns one line that says why the TLS handshake failed, such as an expired certificate. */
  private static String describeTlsFailure(SSLException e) {
    Throwable cause = e;
    while (cause.getCause() != null && cause.getCause() != cause) {
      cause = cause.getCause();
    }
    String message = String.valueOf(cause.getMessage());
    if (cause instanceof java.security.cert.CertificateExpiredException
        || message.contains("NotAfter")) {
      return "its certificate has expired";
    }
    if (message.contains("unable to find valid certification path")) {
      return "its certificate is from another authority";
    }
    if (message.contains("No subject alternative") || message.contains("No name matching")) {
      return "its certificate is for another name";
    }
    return message.lines().findFirst().orElse("");
  }

  private static void sleep(long durationMs) throws CommandException {
    try {
      Thread.sleep(Math.max(1, durationMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(1, "interrupted");
    }
  }
}
