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
 * What cancellations cost the controller that answers the workers, without network, disk and bench:
 * {@code CancellationCosts ROUNDS MACHINES OPEN} prints processor time and allocation for each
 * report answered, and the messages among three controllers on virtual time, with so many
 * cancellations that are told and not carried out.
 */
final class CancellationCosts {
  private static final int TASKS_PER_MACHINE = 8;
  private static final int TASKS_PER_CANCELLED = 12;
  private static final int WARM_UP_ROUNDS = 200;
  private static final long EXCHANGE_MS = 30_000;
  private static final Settings.Workers WORKERS = new Settings.Workers(3000, 17_000, 47_000);
  private static final int MEMBERS = 3;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final VirtualTime time = new VirtualTime();
  private final Map<String, Member> members = new HashMap<>();
  private final PeerCodec codec = new PeerCodec();
  private final int machines;
  private final int cancellations;

  private CancellationCosts(int machines, int cancellations) {
    this.machines = machines;
    this.cancellations = cancellations;
    for (int i = 0; i < MEMBERS; i++) {
      members.put("node-" + i, new Member("node-" + i));
    }
    members.values().forEach(Member::begin);
    time.run(1000);
  }

  public static void main(String[] args) throws Submission.InvalidSubmissionException {
    int[] n = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    System.out.println(
        "| machines | open | report read, answered, written: us | of it the answer: us "
            + "| allocated, bytes | messages/s at the leader | bytes/s | leader's ms/s for them "
            + "| KiB retained by all three |");
    new CancellationCosts(n[1], n[2]).measure(n[0]);
  }

  /** Virtual time: tasks in order, each run when its time has come. */
  private static final class VirtualTime implements Clock, Timers {
    private record Task(long at, long order, Runnable run) implements Comparable<Task> {
      @Override
      public int compareTo(Task o) {
        return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
      }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now = 1_000_000;
    private long made;

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
      boolean[] off = {false};
      Runnable unlessOff =
          () -> {
            if (!off[0]) {
              task.run();
            }
          };
      tasks.add(new Task(now + Math.max(0, delayMs), made++, unlessOff));
      return () -> off[0] = true;
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

  /** One controller, as far as cancellations and leases go. */
  private final class Member implements PeerNetwork, Timers {
    final String name;
    final Peers peers;
    final Ledger ledger;
    final Cancellations cancellations;
    final LeaseRenewal renewal;
    final Map<String, List<Cancellation.TaskLocation>> places = new HashMap<>();
    PeerNetwork.Listener listener;
    long messages;
    long bytes;
    long busyNs;

    Member(String name) {
      this.name = name;
      Settings settings = settings(name);
      HttpCaller nobody =
          (endpoint, method, path, body, timeoutMs, done) ->
              after(timeoutMs, () -> done.accept(HttpReply.of(HttpReply.UNKNOWN)));
      StateClient state = new StateClient(time, this, nobody, settings);
      PeerStatus status = new PeerStatus(1, null, false, true, 0, 0);
      peers = new Peers(time, this, this, settings, () -> status, s -> {});
      var random = RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode());
      Leadership.Listener roles =
          new Leadership.Listener() {
            @Override
            public void lead(long term) {}

            @Override
            public void follow() {}
          };
      Leadership leadership = new Leadership(time, this, random, settings, state, peers, roles);
      ledger =
          new Ledger(
              time,
              new TermTimers(this, leadership),
              settings,
              state,
              leadership,
              false,
              noHooks());
      cancellations =
          new Cancellations(
              time,
              this,
              nobody,
              new CloudClient(time, this, nobody, settings),
              settings,
              peers,
              leadership,
              time::now,
              new Places());
      CommandSender commandSender =
          new CommandSender(
              time,
              this,
              new Relay(time, this, nobody, settings, 1, leadership, peers),
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
      long begun = THREADS.getCurrentThreadCpuTime();
      task.run();
      busyNs += THREADS.getCurrentThreadCpuTime() - begun;
    }

    @Override
    public void send(String member, Object message) {
      Member to = members.get(member);
      int size = message instanceof PeerStatus ? 0 : codec.encode(message).length;
      count(size);
      to.count(size);
      time.after(1, () -> to.timed(() -> to.listener.messageReceived(name, message)));
    }

    private void count(int size) {
      messages += size > 0 ? 1 : 0;
      bytes += size;
    }

    @Override
    public void listen(PeerNetwork.Listener l) {
      listener = l;
    }

    @Override
    public void start() {
      members.keySet().stream().filter(m -> !m.equals(name)).forEach(listener::linkUp);
    }

    private final class Places implements Cancellations.Listener {
      @Override
      public void onCancelled(String ref) {}

      @Override
      public List<Cancellation.TaskLocation> taskLocations(String ref) {
        return places.getOrDefault(ref, List.of());
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

  private static LedgerCallbacks noHooks() {
    return (LedgerCallbacks)
        Proxy.newProxyInstance(
            LedgerCallbacks.class.getClassLoader(),
            new Class<?>[] {LedgerCallbacks.class},
            (proxy, method, args) -> method.getReturnType() == int.class ? 0 : null);
  }

  private static Settings settings(String member) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
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

  // ---- what is measured ----

  private void measure(int rounds) throws Submission.InvalidSubmissionException {
    Member leader = members.get("node-0");
    List<Host> hosts = new ArrayList<>();
    List<ArrayNode> reported = new ArrayList<>();
    for (int m = 0; m < machines; m++) {
      hosts.add(new Host("n-" + m, 0));
      reported.add(Json.array());
    }
    int jobs = machines * TASKS_PER_MACHINE / TASKS_PER_CANCELLED;
    for (int j = 0; j < jobs; j++) {
      place(leader, "wk-" + j, j, hosts, reported);
    }
    Member teller = members.get("node-1");
    long before = heapUsed();
    for (int j = 0; j < cancellations; j++) {
      cancel(teller, "ca-" + j, j);
    }
    time.run(WORKERS.reportMs());
    long retained = heapUsed() - before;
    for (int j = 0; j < cancellations; j++) {
      for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
        running(reported.get(machine(j, step)), "ca-" + j + "/" + step);
      }
    }
    long messages = leader.messages;
    long bytes = leader.bytes;
    long busy = leader.busyNs;
    time.run(EXCHANGE_MS);
    double seconds = EXCHANGE_MS / 1000.0;
    Spread whole = new Spread();
    Spread answer = new Spread();
    Spread allocated = new Spread();
    List<byte[]> reports = new ArrayList<>();
    for (int m = 0; m < machines; m++) {
      reports.add(report("n-" + m, reported.get(m)));
    }
    for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
      round(leader, hosts, reports, round >= WARM_UP_ROUNDS, whole, answer, allocated);
    }
    System.out.printf(
        "| %d | %d | %s | %s | %s | %.1f | %.0f | %.2f | %d |%n",
        machines,
        cancellations,
        whole,
        answer,
        allocated,
        (leader.messages - messages) / seconds,
        (leader.bytes - bytes) / seconds,
        (leader.busyNs - busy) / 1e6 / seconds,
        retained / 1024);
  }

  private static long heapUsed() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void round(
      Member leader,
      List<Host> hosts,
      List<byte[]> reports,
      boolean counts,
      Spread whole,
      Spread answer,
      Spread allocated) {
    long bytesBefore = THREADS.getCurrentThreadAllocatedBytes();
    long cpuBefore = THREADS.getCurrentThreadCpuTime();
    List<Report> read = new ArrayList<>();
    for (int m = 0; m < reports.size(); m++) {
      Report r = Report.parse(Json.parse(reports.get(m)));
      read.add(r);
      if (Json.bytes(leader.renewal.byLeader(hosts.get(m), r)).length == 0) {
        throw new IllegalStateException("no lease is kept");
      }
    }
    long cpuBetween = THREADS.getCurrentThreadCpuTime();
    long bytesAfter = THREADS.getCurrentThreadAllocatedBytes();
    for (int m = 0; m < read.size(); m++) {
      leader.renewal.byLeader(hosts.get(m), read.get(m));
    }
    if (counts) {
      double perReport = reports.size();
      whole.add((cpuBetween - cpuBefore) / 1e3 / perReport);
      answer.add((THREADS.getCurrentThreadCpuTime() - cpuBetween) / 1e3 / perReport);
      allocated.add((bytesAfter - bytesBefore) / perReport);
    }
  }

  /** A live job's tasks, on machines one after another. */
  private void place(Member leader, String ref, int job, List<Host> hosts, List<ArrayNode> reported)
      throws Submission.InvalidSubmissionException {
    leader.ledger.jobPut(ref, leader.ledger.record(AttemptRules.spec(ref), 0), 1);
    for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
      int m = machine(job, step);
      hosts.get(m).hold(AttemptRules.launched(leader.ledger.job(ref), step, "n-" + m));
      running(reported.get(m), ref + "/" + step);
    }
  }

  private int machine(int job, int step) {
    return (job * TASKS_PER_CANCELLED + step) % machines;
  }

  /** Tells a user that a job is cancelled whose tasks go on. */
  private void cancel(Member teller, String ref, int job) {
    List<Cancellation.TaskLocation> places = new ArrayList<>();
    for (int step = 0; step < TASKS_PER_CANCELLED; step++) {
      places.add(new Cancellation.TaskLocation("n-" + machine(job, step), 1, step, 1));
    }
    teller.places.put(ref, places);
    teller.cancellations.confirm(ref, () -> {});
    if (job % 10 == 9) {
      time.run(20);
    }
  }

  private static void running(ArrayNode tasks, String key) {
    tasks.addObject().put("step", key).put("try", 1).put("status", "running");
  }

  private static byte[] report(String host, ArrayNode tasks) {
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

  /** Mean and its standard error over rounds. */
  private static final class Spread {
    private int n;
    private double sum;
    private double squares;

    void add(double value) {
      n++;
      sum += value;
      squares += value * value;
    }

    @Override
    public String toString() {
      double mean = sum / n;
      double variance = Math.max(0, squares / n - mean * mean);
      return "%.1f ± %.1f".formatted(mean, Math.sqrt(variance / Math.max(1, n - 1)));
    }
  }
}
