package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.Stream;

/**
 * Runs the project's own programs on loopback: the emulated state service, cloud and workers
 * ({@code emulate}) as one process, and three controllers, each started with the run line of the
 * deploy file. Every controller reaches the cloud through a recording proxy of its own, so that the
 * sender of each request is known.
 */
public final class Lab implements AutoCloseable {
  public static final ObjectMapper JSON = new ObjectMapper();
  public static final int CONTROLLERS = 3;

  /** Seconds between two reports of a worker, as the deployment's page gives them. */
  public String reportS = "3.0";

  private static final Random RANDOM = new Random();

  private final Path root;
  private final Path caseDir;
  private final Path temp;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();
  private final Process[] controllers = new Process[CONTROLLERS];
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final List<CloudProxy> proxies = new ArrayList<>();
  public final int[] userPorts = new int[CONTROLLERS];
  public int outsidePort;
  private final Path[] settingsFiles = new Path[CONTROLLERS];
  /** The way of the first controller to the state service. */
  public RefusingState stateOfFirst;
  /** The network between controllers and workers, or null if they are connected directly. */
  public WorkerLinks workerLinks;

  /** Whether the disruption takes place. */
  public final boolean trouble;

  /** An answer; status 0 stands for none. */
  public record Answer(int status, JsonNode body) {}

  public Lab(Path caseDir, boolean trouble) throws IOException {
    this.trouble = trouble;
    this.caseDir = caseDir.toAbsolutePath().normalize();
    this.root = this.caseDir.getParent().getParent();
    this.temp = Files.createTempDirectory("review");
    this.record =
        new PrintWriter(Files.newBufferedWriter(this.caseDir.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    note("trouble: %s", trouble ? "yes" : "no (TROUBLE=0)");
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
  public interface Case {
    int run(Lab lab) throws Exception;
  }

  private static boolean isWithDisruption(String word) {
    return switch (word) {
      case "with" -> true;
      case "without" -> false;
      default -> throw new IllegalArgumentException("with or without the disruption: " + word);
    };
  }

  /**
   * Runs a case. Arguments: the folder of its record, and "with" or "without" the disruption.
   * Whatever goes wrong on the way counts as 2.
   */
  public static int exitCode(String[] args, Case body) {
    int code = 2;
    try (Lab lab = new Lab(Path.of(args[0]), isWithDisruption(args[1]))) {
      try {
        code = body.run(lab);
      } catch (Exception e) {
        lab.note("could not run: %s", e);
      }
      lab.note("exit code %d", code);
    } catch (Exception e) {
      System.err.println("could not run: " + e);
    }
    return code;
  }

  /** Writes one line to record.txt, with the seconds since the start. */
  public synchronized void note(String format, Object... args) {
    String text = String.format(Locale.ROOT, format, args);
    String line =
        String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - startNanos) / 1e9, text);
    record.println(line);
    System.out.println(line);
  }

  public double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = 15_000 + RANDOM.nextInt(15_000);
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Taken: another one is tried.
      }
    }
    throw new IOException("no free port");
  }

  // ---- settings of a small deployment: kit/sites/csah-alerta.toml ----

  private static final String EMULATOR_SETTINGS =
      """
      [cluster]
      zones = ["florianopolis", "porto-alegre", "santa-maria"]
      per_zone = 7
      [limits]
      report_s = 3.0
      lease_s = 36.0
      cancel_s = 66.0
      state_rps = 150
      state_write_rps = 30
      value_kb = 8
      txn_ops = 24
      cloud_rps = 4
      list_lag_s = 5.0
      [[machines]]
      name = "nodo-chuva32"
      cpus = 32
      gpus = 0
      memory_gb = 128
      cache_gb = 60
      fetch_gb_per_s = 0.5
      price = 1.52
      spot_price = 0.61
      boot_s = 15.0
      [[teams]]
      name = "hidrologia"
      [[teams]]
      name = "plantao"
      """;

  private static final String CONTROLLER_SETTINGS =
      """
      [settings]
      nodes = 3
      zones = ["florianopolis", "porto-alegre", "santa-maria"]
      time_bound_ms = 5.0
      [[settings.teams]]
      name = "hidrologia"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [[settings.teams]]
      name = "plantao"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [settings.workers]
      report_s = 3.0
      lease_s = 36.0
      gang_wait_s = 30.0
      gang_peer_s = 8.0
      cancel_s = 66.0
      [settings.state]
      rps = 150.0
      write_rps = 30.0
      value_kb = 8.0
      txn_ops = 24
      [settings.cloud]
      rps = 4.0
      list_lag_s = 5.0
      [settings.resources]
      cpu = 0.425
      ram_mb = 263.0
      max_connections = 3500
      """;

  private static final String[] ZONES = {"porto-alegre", "santa-maria", "porto-alegre"};

  /** Starts everything and waits until all controllers answer users. */
  public void start() throws IOException, InterruptedException {
    prepare();
    for (int i = 0; i < CONTROLLERS; i++) {
      startController(i);
    }
    for (int i = 0; i < CONTROLLERS; i++) {
      awaitAnswers(i);
    }
    note("all controllers answer");
  }

  /** Puts proxies between controllers and workers; must be called before the start. */
  public void useWorkerLinks() {
    workerLinks = new WorkerLinks(this);
  }

  /** Starts the stand-ins and writes the settings of all controllers. */
  public void prepare() throws IOException, InterruptedException {
    stateOfFirst = new RefusingState(this);
    outsidePort = freePort();
    Path emulatorSettings = temp.resolve("emulate.toml");
    Files.writeString(
        emulatorSettings, EMULATOR_SETTINGS.replace("report_s = 3.0", "report_s = " + reportS));
    launch(
        "emulate",
        List.of(
            "java",
            "-XX:+UseSerialGC",
            "-jar",
            root.resolve("target/dapplestair.jar").toString(),
            "emulate",
            "--config",
            emulatorSettings.toString(),
            "--listen",
            "127.0.0.1:" + outsidePort));
    await(20, () -> get(outsidePort, "/emulator/machines", 1).status() == 200, "emulate");
    int[] peerPorts = new int[CONTROLLERS];
    for (int i = 0; i < CONTROLLERS; i++) {
      userPorts[i] = freePort();
      peerPorts[i] = freePort();
      proxies.add(new CloudProxy(this, i));
    }
    for (int i = 0; i < CONTROLLERS; i++) {
      StringBuilder toml = new StringBuilder();
      toml.append("member = \"stairhost-" + i + "\"\nzone = \"" + ZONES[i] + "\"\n");
      toml.append("client_listen = \"127.0.0.1:" + userPorts[i] + "\"\n");
      toml.append("peer_bind = \"127.0.0.1:" + peerPorts[i] + "\"\n");
      for (int j = 0; j < CONTROLLERS; j++) {
        if (j != i) {
          toml.append("[[peers]]\nmember = \"stairhost-" + j + "\"\nzone = \"" + ZONES[j] + "\"\n");
          toml.append("endpoint = \"127.0.0.1:" + peerPorts[j] + "\"\n");
        }
      }
      toml.append("[outside]\ncloud = \"127.0.0.1:" + proxies.get(i).port() + "\"\n");
      int statePort = i == 0 ? stateOfFirst.port() : outsidePort;
      toml.append("state = \"127.0.0.1:" + statePort + "\"\n");
      toml.append(CONTROLLER_SETTINGS.replace("report_s = 3.0", "report_s = " + reportS));
      settingsFiles[i] = temp.resolve("stairhost-" + i + ".toml");
      Files.writeString(settingsFiles[i], toml.toString());
    }
  }

  /** Starts a controller with the run line of the deploy file. */
  public void startController(int i) throws IOException {
    List<String> command = new ArrayList<>(runLine());
    command.add(settingsFiles[i].toString());
    controllers[i] = launch("stairhost-" + i, command);
    note("stairhost-%d starts", i);
    int reportPort =
        workerLinks == null ? userPorts[i] : workerLinks.reportsTo(userPorts[i]);
    call(
        outsidePort,
        "PUT",
        "/emulator/controllers/stairhost-" + i,
        JSON.createObjectNode().put("endpoint", "127.0.0.1:" + reportPort),
        2);
  }

  /** Starts a controller; returns the seconds until it accepts connections of users. */
  public double startAndMeasure(int i) throws IOException, InterruptedException {
    double start = seconds();
    startController(i);
    while (seconds() - start < 25) {
      try (java.net.Socket socket = new java.net.Socket("127.0.0.1", userPorts[i])) {
        note("stairhost-%d accepts connections", i);
        return seconds() - start;
      } catch (IOException e) {
        Thread.sleep(5);
      }
    }
    throw new IllegalStateException("not in time: controller " + i);
  }

  /** Kills a controller with no signal that it could handle. */
  public void kill(int i) throws InterruptedException {
    controllers[i].destroyForcibly();
    controllers[i].waitFor();
    note("stairhost-%d is killed", i);
  }

  /** Waits until a controller answers a question about a job that nobody submitted. */
  public void awaitAnswers(int i) throws InterruptedException {
    int port = userPorts[i];
    long end = System.nanoTime() + 25_000_000_000L;
    while (get(port, "/submissions/zz-000001", 2).status() != 404) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not in time: controller " + i);
      }
      Thread.sleep(20);
    }
  }

  private List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
      }
    }
    throw new IOException("no run line in deploy/service.toml");
  }

  private Process launch(String name, List<String> command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectOutput(temp.resolve(name + ".out").toFile());
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".err").toFile()));
    Process process = builder.start();
    processes.add(process);
    String pids = System.getenv("REVIEW_PIDS");
    if (pids != null) {
      Files.writeString(
          Path.of(pids),
          process.pid() + "\n",
          java.nio.file.StandardOpenOption.CREATE,
          java.nio.file.StandardOpenOption.APPEND);
    }
    return process;
  }

  // ---- requests ----

  public Answer get(int port, String path, int timeoutS) {
    return call(port, "GET", path, null, timeoutS);
  }

  public Answer call(int port, String method, String path, JsonNode body, int timeoutS) {
    try {
      HttpRequest.BodyPublisher publisher =
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body));
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .timeout(Duration.ofSeconds(timeoutS))
              .header("Content-Type", "application/json")
              .method(method, publisher)
              .build();
      HttpResponse<byte[]> response =
          http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new Answer(response.statusCode(), JSON.readTree(response.body()));
    } catch (IOException e) {
      return new Answer(0, JSON.createObjectNode());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, JSON.createObjectNode());
    }
  }

  /** Submits a job as a user does: repeated every second until it is accepted, up to 60 s. */
  public void submit(int first, ObjectNode job) throws InterruptedException {
    String ref = job.get("ref").asText();
    for (int attempt = 0; attempt < 60; attempt++) {
      int port = userPorts[(first + attempt) % CONTROLLERS];
      Answer answer = call(port, "POST", "/submissions", job, 5);
      if (answer.status() == 200 || answer.status() == 201) {
        note("job %s accepted: %d %s", ref, answer.status(), answer.body());
        return;
      }
      Thread.sleep(1000);
    }
    throw new IllegalStateException("job " + ref + " was not accepted");
  }

  /** An always-on service as in the site file: replicas of 1 CPU, spread over zones. */
  public static ObjectNode service(String ref, int replicas) {
    return base(ref, "servico-alerta", "plantao", "daemon", "critical", replicas, 1.0, 2.2)
        .put("apart", true)
        .put("loaners", false)
        .put("imageGb", 1.2)
        .put("guessS", 0.0);
  }

  /** An array as in the site file: tasks of 4 CPUs. */
  public static ObjectNode array(String ref, int tasks, double guessS) {
    return base(ref, "previsao-rapida", "hidrologia", "sweep", "high", tasks, 4.0, 8.9)
        .put("apart", false)
        .put("loaners", true)
        .put("imageGb", 0.6)
        .put("guessS", guessS);
  }

  private static ObjectNode base(
      String ref,
      String jobClass,
      String team,
      String shape,
      String rank,
      int tasks,
      double cpus,
      double memoryGb) {
    ObjectNode job =
        JSON.createObjectNode()
            .put("ref", ref)
            .put("jobclass", jobClass)
            .put("owner", team)
            .put("shape", shape)
            .put("rank", rank)
            .put("steps", tasks)
            .put("vcpus", cpus)
            .put("accelerators", 0.0)
            .put("memoryGb", memoryGb)
            .put("bundle", "img-" + jobClass)
            .put("together", false)
            .put("snapshotEveryS", 0.0)
            .put("snapshotS", 0.0);
    job.putNull("hulls");
    job.putNull("basin");
    job.putNull("dueS");
    return job;
  }

  // ---- what the platform sees ----

  /** Returns the machines with the tasks on them, as the stand-in of the workers knows them. */
  public JsonNode machines() {
    return get(outsidePort, "/emulator/machines", 2).body().path("machines");
  }

  /** Returns the tasks that are on this machine and have not exited. */
  public static List<String> tasksOn(JsonNode machine) {
    List<String> tasks = new ArrayList<>();
    for (JsonNode task : machine.path("tasks")) {
      if (!task.path("status").asText().equals("exited")) {
        tasks.add(task.path("task").asText() + " " + task.path("status").asText());
      }
    }
    return tasks;
  }

  /** Returns the number of the controller that holds the leader's key, or -1 if none does. */
  public int leader() {
    String member =
        get(outsidePort, "/kv/live/leader", 2).body().path("value").path("member").asText("");
    return member.startsWith("stairhost-") ? Integer.parseInt(member.substring(10)) : -1;
  }

  /** Returns the releases that were seen so far. */
  public List<CloudProxy.Release> releases() {
    List<CloudProxy.Release> all = new ArrayList<>();
    proxies.forEach(proxy -> all.addAll(proxy.releases()));
    return all;
  }

  /** Returns whether a machine list that this controller got has named the machine. */
  public boolean wasListed(int controller, String machine) {
    return proxies.get(controller).listed().contains(machine);
  }

  // ---- disruption ----

  public void signal(int controller, String signal) throws IOException, InterruptedException {
    long pid = controllers[controller].pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    note("signal %s to stairhost-%d", signal, controller);
  }

  public boolean controllersAlive() {
    return Stream.of(controllers).allMatch(Process::isAlive);
  }

  // ---- end ----

  public interface Check {
    boolean holds() throws InterruptedException;
  }

  public void await(double timeoutS, Check check, String what) throws InterruptedException {
    double end = seconds() + timeoutS;
    while (!check.holds()) {
      if (seconds() > end) {
        throw new IllegalStateException("not in time: " + what);
      }
      Thread.sleep(100);
    }
  }

  public void noteLogs(String... words) throws IOException {
    for (int i = 0; i < CONTROLLERS; i++) {
      for (String line : Files.readAllLines(temp.resolve("stairhost-" + i + ".err"))) {
        if (Stream.of(words).anyMatch(line::contains)) {
          note("log of stairhost-%d: %s", i, line);
        }
      }
    }
  }

  private void killAll() {
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Process process : processes) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    proxies.forEach(CloudProxy::close);
    if (workerLinks != null) {
      workerLinks.close();
    }
    if (stateOfFirst != null) {
      stateOfFirst.close();
    }
    record.close();
    try (Stream<Path> files = Files.walk(temp)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
