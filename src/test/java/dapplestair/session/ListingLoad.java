package dapplestair.session;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;

/**
 * Measures the CPU time of a leader with 1,500 machines and 20,000 jobs, with and without a client
 * that lists everything every second, in turns within one run. This is a benchmark and not a test;
 * it is started by hand, see docs/results.md.
 */
final class ListingLoad {
  private static final int JOBS = 20_000;
  private static final int TURNS = 3;
  private static final long TURN_MS = 20_000;
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  private static final String SETTINGS =
      """
      [cluster]
      zones = ["a", "b", "c"]
      per_zone = 250
      [limits]
      report_s = 6.0
      lease_s = 60.0
      cancel_s = 120.0
      state_rps = 5000
      state_write_rps = 5000
      cloud_rps = 50
      [[machines]]
      name = "m8"
      cpus = 8
      memory_gb = 64
      boot_s = 2.0
      """;

  private ListingLoad() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("listing");
    Path settings = folder.resolve("daemon.toml");
    Files.writeString(settings, SETTINGS);
    try (Processes processes = new Processes(folder)) {
      Processes.Service emulator =
          processes.startService(
              "emulate", "--config", settings.toString(), "--listen", "127.0.0.1:0");
      Processes.Service daemon =
          processes.startService(
              "daemon",
              "--config",
              settings.toString(),
              "--outside",
              emulator.address("outside"),
              "--listen",
              "127.0.0.1:0",
              "--admin",
              "127.0.0.1:0");
      String admin = "http://" + daemon.address("admin");
      submitAll("http://" + daemon.address("users"));
      awaitMachines(admin);
      double[] cpuSWithoutListing = new double[TURNS];
      double[] cpuSWithListing = new double[TURNS];
      long rows = 0;
      int listingCount = 0;
      for (int i = 0; i < TURNS; i++) {
        cpuSWithoutListing[i] = measureCpuS(daemon, () -> Thread.sleep(TURN_MS));
        List<Long> rowsPerListing = new ArrayList<>();
        cpuSWithListing[i] = measureCpuS(daemon, () -> listRepeatedly(admin, rowsPerListing));
        rows += rowsPerListing.stream().mapToLong(Long::longValue).sum();
        listingCount += rowsPerListing.size();
      }
      System.out.printf("machines %s%n", getJson(admin + "/v1/status").path("machines"));
      System.out.printf(
          "lists %d, rows a list %d%n", listingCount, rows / Math.max(1, listingCount));
      for (int i = 0; i < TURNS; i++) {
        System.out.printf(
            "turn %d: %.3f of a core without, %.3f with%n",
            i + 1, cpuSWithoutListing[i] * 1000 / TURN_MS, cpuSWithListing[i] * 1000 / TURN_MS);
      }
    }
    System.exit(0);
  }

  @FunctionalInterface
  private interface Workload {
    void run() throws Exception;
  }

  private static double measureCpuS(Processes.Service service, Workload work) throws Exception {
    Duration cpuTimeBefore = service.process().info().totalCpuDuration().orElseThrow();
    work.run();
    return service.process().info().totalCpuDuration().orElseThrow().minus(cpuTimeBefore).toMillis()
        / 1000.0;
  }

  private static void listRepeatedly(String admin, List<Long> rowsPerListing) throws Exception {
    long endMs = System.currentTimeMillis() + TURN_MS;
    while (System.currentTimeMillis() < endMs) {
      long nextListingMs = System.currentTimeMillis() + 1000;
      rowsPerListing.add(countRows(admin + "/v1/jobs") + countRows(admin + "/v1/machines"));
      Thread.sleep(Math.max(0, Math.min(nextListingMs, endMs) - System.currentTimeMillis()));
    }
  }

  private static long countRows(String path) throws Exception {
    long rowCount = 0;
    String pageParameter = "";
    while (pageParameter != null) {
      JsonNode page = getJson(path + "?limit=500" + pageParameter);
      rowCount += page.path("rows").size();
      pageParameter = page.path("next").isTextual() ? "&after=" + page.path("next").asText() : null;
    }
    return rowCount;
  }

  private static JsonNode getJson(String uri) throws Exception {
    HttpResponse<byte[]> response =
        HTTP.send(
            HttpRequest.newBuilder(URI.create(uri)).build(),
            HttpResponse.BodyHandlers.ofByteArray());
    if (response.statusCode() != 200) {
      throw new IllegalStateException(uri + ": " + response.statusCode());
    }
    return Json.parse(response.body());
  }

  private static void awaitMachines(String admin) throws Exception {
    for (int i = 0; i < 240; i++) {
      JsonNode status = getJson(admin + "/v1/status");
      if (status.path("machines").path("up").asInt() >= 1480) {
        Thread.sleep(5000);
        return;
      }
      Thread.sleep(500);
    }
  }

  private static void submitAll(String users) throws Exception {
    Semaphore freeSlots = new Semaphore(64);
    for (int i = 0; i < JOBS; i++) {
      String body =
          """
          {"ref":"ld-%06d","jobclass":"c","owner":"default","shape":"sweep","rank":"standard",
           "steps":1,"vcpus":2.0,"accelerators":0,"memoryGb":1.0,"bundle":"i","imageGb":0.1,
           "together":false,"apart":false,"loaners":true,"guessS":3600,"snapshotEveryS":0,
           "snapshotS":0}
          """
              .formatted(i);
      submit(users, body, freeSlots);
    }
    freeSlots.acquire(64);
  }

  private static void submit(String users, String body, Semaphore freeSlots) throws Exception {
    freeSlots.acquire();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(users + "/submissions"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    CompletableFuture<HttpResponse<Void>> responseFuture =
        HTTP.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    responseFuture.whenComplete(
        (response, failure) -> {
          freeSlots.release();
          if (failure != null || response.statusCode() >= 500) {
            try {
              Thread.sleep(50);
              submit(users, body, freeSlots);
            } catch (Exception retryFailure) {
              throw new IllegalStateException(retryFailure);
            }
          }
        });
  }
}
