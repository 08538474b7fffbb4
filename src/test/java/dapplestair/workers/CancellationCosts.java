package dapplestair.workers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import dapplestair.cancellations.Cancellation;
import dapplestair.cancellations.Cancellations;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ledger.AttemptRules;
import dapplestair.ledger.Ledger;
import dapplestair.ledger.LedgerCallbacks;
import dapplestair.pause.PauseDetector;
import dapplestair.peers.Incarnation;
import dapplestair.peers.PeerCodec;
import dapplestair.peers.PeerStatus;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.HttpReply;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.work.Report;
import dapplestair.work.Submission;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures what cancellations cost the controller that answers the workers, without network, disk
 * and bench. {@code CancellationCosts ROUNDS MACHINES OPEN} prints the processor time and the
 * allocation for each answered report, and the messages among three controllers in virtual time,
 * with OPEN cancellations that are confirmed but not carried out.
 */
final class CancellationCosts {
  private static final int TASKS_PER_MACHINE = 8;
  private static final int TASKS_PER_CANCELLED = 12;
  private static final int WARM_UP_ROUNDS = 200;
  private static final long EXCHANGE_MS = 30_000;
  private static final Settings.Workers WORKERS = new Settings.Workers(3000, 17_000, 47_000);
  private static final int MEMBER_COUNT = 3;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final VirtualTime time = new VirtualTime();
  private final Map<String, Member> members = new HashMap<>();
  private final PeerCodec codec = new PeerCodec();
  private final int machines;
  private final int cancellations;

  private CancellationCosts(int machines, int cancellations) {
    this.machines = machines;
    this.cancellations = cancellations;
    for (int i = 0; i < MEMBER_COUNT; i++) {
      members.put("node-" + i, new Member("node-" + i));
    }
    members.values().forEach(Member::begin);
    time.run(1000);
  }

  public static void main(String[] args) throws Submission.InvalidSubmissionException {
    int[] arguments = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    System.out.println(
        "| machines | open | report read, answered, written: us | of it the answer: us "
            + "| allocated, bytes | messages/s at the leader | bytes/s | leader's ms/s for them "
            + "| KiB retained by all three |");
    new CancellationCosts(arguments[1], arguments[2]).measure(arguments[0]);
  }

  /** Virtual time: runs tasks in the order of their times. */
  private static final class VirtualTime implements Clock, Timers {
    private record Task(long at, long order, Runnable run) implements Comparable<Task> {
      @Override
      public int compareTo(Task other) {
        return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
      }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now = 1_000_000;
    private long scheduledCount;

    @Override
    public long now() {
      return now;
    }

    @Override
    public long wall() {
      return now;
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      boolean[] isCancelled = {false};
      Runnable unlessCancelled =
          () -> {
            if (!isCancelled[0]) {
              task.run();
            }
          };
      tasks.add(new Task(now + Math.max(0, delayMs), scheduledCount++, unlessCancelled));
      return () -> isCancelled[0] = true;
    }

    void run(long ms) {
      long end = now + ms;
      while (!tasks.isEmpty() && tasks.peek().at() <= end) {
        Task next = tasks.poll();
        now = next.at();
        next.run().run();
      }
      now = end;
    }
  }

  /** The parts of a controller that handle cancellations and leases. */
  private final class Member implements PeerNetwork, Timers {
    final String name;
    final Peers peers;
    final Ledger ledger;
    final Cancellations cancellations;
    final LeaseRenewal renewal;
    final Map<String, List<Cancellation.TaskLocation>> locationsByJob = new HashMap<>();
    PeerNetwork.Listener listener;
    long messages;
    long bytes;
    long busyNs;

    Member(String name) {
      this.name = name;
      Settings settings = settings(name);
      HttpCaller unreachableCaller =
          (endpoint, method, path, body, timeoutMs, done) ->
              after(timeoutMs, () -> done.accept(HttpReply.of(HttpReply.UNKNOWN)));
      StateClient state = new StateClient(time, this, unreachableCaller, settings);
      PeerStatus status = new PeerStatus(1, null, false, true, 0, 0);
      var random = RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode());
      Incarnation incarnation = Incarnation.draw(random);
      peers = new Peers(time, this, this, settings, incarnation, () -> status, s -> {});
      Leadership.Listener roles =
          new Leadership.Listener() {
            @Override
            public void lead(long term) {}

            @Override
            public void follow() {}
          };
      Leadership leadership =
          new Leadership(time, this, random, settings, state, peers, incarnation, roles);
      ledger =
          new Ledger(
              time,
              new TermTimers(this, leadership),
              settings,
              state,
              leadership,
              false,
              noCallbacks());
      PauseDetector pauses = new PauseDetector(time, this, Long.MAX_VALUE, 0, time::now);
      cancellations =
          new Cancellations(
              time,
              this,
              unreachableCaller,
              new CloudClient(time, this, unreachableCaller, pauses, settings),
              settings,
              peers,
              leadership,
              pauses,
              time::now,
              new LocationListener());
      CommandSender commandSender =
          new CommandSender(
              time,
              this,
              new Relay(time, this, unreachableCaller, settings, 1, leadership, peers),
              settings,
              leadership,
              cancellations,
              new HostRegistry(time),
              null);
      renewal = new LeaseRenewal(time, commandSender, ledger, cancellations, job -> false);
    }

    void begin() {
      peers.start();
      cancellations.start();
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      return time.after(delayMs, () -> timed(task));
    }

    private void timed(Runnable task) {
      long startNs = THREADS.getCurrentThreadCpuTime();
      task.run();
      busyNs += THREADS.getCurrentThreadCpuTime() - startNs;
    }

    @Override
    public void send(String member, Object message) {
      Member receiver = members.get(member);
      int size = message instanceof PeerStatus ? 0 : codec.encode(message).length;
      count(size);
      receiver.count(size);
      time.after(1, () -> receiver.timed(() -> receiver.listener.messageReceived(name, message)));
    }

    private void count(int size) {
      messages += size > 0 ? 1 : 0;
      bytes += size;
    }

    @Override
    public void listen(PeerNetwork.Listener newListener) {
      listener = newListener;
    }

    @Override
    public void start() {
      members.keySet().stream().filter(member -> !member.equals(name)).forEach(listener::linkUp);
    }

    private final class LocationListener implements Cancellations.Listener {
      @Override
      public void onCancelled(String ref) {}

      @Override
      public List<Cancellation.TaskLocation> taskLocations(String ref) {
        return locationsByJob.getOrDefault(ref, List.of());
      }

      @Override
      public boolean leadsWithAllAttempts() {
        return false;
      }

      @Override
      public boolean isProvedAbsent(String ref) {
        return false;
      }
    }
  }

  private static LedgerCallbacks noCallbacks() {
    return (LedgerCallbacks)
        Proxy.newProxyInstance(
            LedgerCallbacks.class.getClassLoader(),
            new Class<?>[] {LedgerCallbacks.class},
            (proxy, method, args) -> method.getReturnType() == int.class ? 0 : null);
  }

  private static Settings settings(String member) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int i = 0; i < MEMBER_COUNT; i++) {
      String other = "node-" + i;
      if (!other.equals(member)) {
        peers.add(new Settings.Peer(other, "a", new Settings.Address(other, 8081)));
      }
    }
    return new Settings(
        member,
        "a",
        new Settings.Address(member, 8080),
        new Settings.Address(member, 8081),
        peers,
        "cloud:1",
        "state:1",
        List.of("a"),
        Map.of(),
        List.of(),
        WORKERS,
        new Settings.State(200, 50, 8192, 24),
        new Settings.Cloud(5, 4000),
        new Settings.Resources(0.425, 263, 1800));
  }

  // ---- measurement ----

  private void measure(int rounds) throws Submission.InvalidSubmissionException {
    Member leader = members.get("node-0");
    List<Host> hosts = new ArrayList<>();
    List<ArrayNode> tasksByMachine = new ArrayList<>();
    for (int m = 0; m < machines; m++) {
      hosts.add(new Host("n-" + m, 0));
      tasksByMachine.add(Json.array());
    }
    int jobs = machines * TASKS_PER_MACHINE / TASKS_PER_CANCELLED;
    for (int j = 0; j < jobs; j++) {
      placeJob(leader, "wk-" + j, j, hosts, tasksByMachine);
    }
    Member confirmingMember = members.get("node-1");
    long heapBytesBefore = heapUsed();
    for (int j = 0; j < cancellations; j++) {
      confirmCancellation(confirmingMember, "ca-" + j, j);
    }
    time.run(WORKERS.reportMs());
    long retainedBytes = heapUsed() - heapBytesBefore;
    for (int j = 0; j < cancellations; j++) {
      for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
        addRunningTask(tasksByMachine.get(machine(j, step)), "ca-" + j + "/" + step);
      }
    }
    long messagesBefore = leader.messages;
    long bytesBefore = leader.bytes;
    long busyNsBefore = leader.busyNs;
    time.run(EXCHANGE_MS);
    double seconds = EXCHANGE_MS / 1000.0;
    Spread totalUs = new Spread();
    Spread answerUs = new Spread();
    Spread allocatedBytes = new Spread();
    List<byte[]> encodedReports = new ArrayList<>();
    for (int m = 0; m < machines; m++) {
      encodedReports.add(encodeReport("n-" + m, tasksByMachine.get(m)));
    }
    for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
      runRound(
          leader,
          hosts,
          encodedReports,
          round >= WARM_UP_ROUNDS,
          totalUs,
          answerUs,
          allocatedBytes);
    }
    System.out.printf(
        "| %d | %d | %s | %s | %s | %.1f | %.0f | %.2f | %d |%n",
        machines,
        cancellations,
        totalUs,
        answerUs,
        allocatedBytes,
        (leader.messages - messagesBefore) / seconds,
        (leader.bytes - bytesBefore) / seconds,
        (leader.busyNs - busyNsBefore) / 1e6 / seconds,
        retainedBytes / 1024);
  }

  private static long heapUsed() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void runRound(
      Member leader,
      List<Host> hosts,
      List<byte[]> encodedReports,
      boolean isMeasured,
      Spread totalUs,
      Spread answerUs,
      Spread allocatedBytes) {
    long allocatedBytesBefore = THREADS.getCurrentThreadAllocatedBytes();
    long cpuNsBefore = THREADS.getCurrentThreadCpuTime();
    List<Report> parsedReports = new ArrayList<>();
    for (int m = 0; m < encodedReports.size(); m++) {
      Report report = Report.parse(Json.parse(encodedReports.get(m)));
      parsedReports.add(report);
      if (Json.bytes(leader.renewal.renewAsLeader(hosts.get(m), report)).length == 0) {
        throw new IllegalStateException("the lease was not renewed: the answer is empty");
      }
    }
    long cpuNsAfterFirstPass = THREADS.getCurrentThreadCpuTime();
    long allocatedBytesAfter = THREADS.getCurrentThreadAllocatedBytes();
    for (int m = 0; m < parsedReports.size(); m++) {
      leader.renewal.renewAsLeader(hosts.get(m), parsedReports.get(m));
    }
    if (isMeasured) {
      double reportCount = encodedReports.size();
      totalUs.add((cpuNsAfterFirstPass - cpuNsBefore) / 1e3 / reportCount);
      answerUs.add((THREADS.getCurrentThreadCpuTime() - cpuNsAfterFirstPass) / 1e3 / reportCount);
      allocatedBytes.add((allocatedBytesAfter - allocatedBytesBefore) / reportCount);
    }
  }

  /** Places the tasks of a live job on consecutive machines. */
  private void placeJob(
      Member leader, String ref, int job, List<Host> hosts, List<ArrayNode> tasksByMachine)
      throws Submission.InvalidSubmissionException {
    leader.ledger.onJobPut(ref, leader.ledger.acceptedJobRecord(AttemptRules.spec(ref), 0), 1);
    for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
      int m = machine(job, step);
      hosts.get(m).reserve(AttemptRules.launched(leader.ledger.job(ref), step, "n-" + m));
      addRunningTask(tasksByMachine.get(m), ref + "/" + step);
    }
  }

  private int machine(int job, int step) {
    return (job * TASKS_PER_CANCELLED + step) % machines;
  }

  /** Confirms the cancellation of a job whose tasks continue to run. */
  private void confirmCancellation(Member confirmingMember, String ref, int job) {
    List<Cancellation.TaskLocation> locations = new ArrayList<>();
    for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
      locations.add(new Cancellation.TaskLocation("n-" + machine(job, step), 1, step, 1));
    }
    confirmingMember.locationsByJob.put(ref, locations);
    confirmingMember.cancellations.confirm(ref, () -> {});
    if (job % 10 == 9) {
      time.run(20);
    }
  }

  private static void addRunningTask(ArrayNode tasks, String key) {
    tasks.addObject().put("step", key).put("try", 1).put("status", "running");
  }

  private static byte[] encodeReport(String host, ArrayNode tasks) {
    ObjectNode report =
        Json.object()
            .put("host", host)
            .put("endpoint", "10.1.0.1:9000")
            .put("hull", "t8")
            .put("basin", "a")
            .put("loaners", false)
            .put("tenure", 1)
            .put("tick", 7)
            .put("baton", 0);
    report.set("steps", tasks);
    return Json.bytes(report);
  }

  /** The mean over rounds, with its standard error. */
  private static final class Spread {
    private int count;
    private double sum;
    private double sumOfSquares;

    void add(double value) {
      count++;
      sum += value;
      sumOfSquares += value * value;
    }

    @Override
    public String toString() {
      double mean = sum / count;
      double variance = Math.max(0, sumOfSquares / count - mean * mean);
      return "%.1f ± %.1f".formatted(mean, Math.sqrt(variance / Math.max(1, count - 1)));
    }
  }
}
