package dapplestair.world;

import dapplestair.admin.Authenticator;
import dapplestair.emulator.ControllerDirectory;
import dapplestair.emulator.EmulatedCloud;
import dapplestair.emulator.EmulatedState;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.EmulatorEnvironment;
import dapplestair.emulator.EmulatorSettings;
import dapplestair.emulator.RequestHandler;
import dapplestair.node.Controller;
import dapplestair.node.ControllerEnvironment;
import dapplestair.peers.PeerAnswer;
import dapplestair.peers.PeerAsk;
import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Exchange;
import dapplestair.ports.HttpReply;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;

/** Controllers, as they are, in a world of stand-ins on virtual time. */
final class SimulatedCluster {
  static final List<String> ZONES = List.of("a", "b", "c");

  /** One zone has no controller. */
  static final List<String> NODE_ZONES = List.of("a", "b", "a");

  static final double CPUS = 8;

  /** The one machine type. */
  static final String TYPE = "t8";

  /**
   * How large the world is.
   *
   * @param perPlace machines that the cloud has of each kind in each zone
   * @param teamCpus what each of the two teams is guaranteed; twice that is its limit
   * @param arrivalsEveryMs mean time between submissions
   * @param steps most tasks of an array
   * @param writeRps puts a second that the state service takes, refusing more; 0 when only the
   *     settings name a limit
   */
  record Size(int perPlace, double teamCpus, long arrivalsEveryMs, int steps, double writeRps) {
    private static final double USUAL_WRITE_RPS = 50;

    Size(int perPlace, double teamCpus, long arrivalsEveryMs, int steps) {
      this(perPlace, teamCpus, arrivalsEveryMs, steps, 0);
    }

    Size withWriteRps(double perSecond) {
      return new Size(perPlace, teamCpus, arrivalsEveryMs, steps, perSecond);
    }

    /** The limit that the controllers are told. */
    double settingsWriteRps() {
      return writeRps > 0 ? writeRps : USUAL_WRITE_RPS;
    }

    /** The limit that the state service keeps. */
    double keptWriteRps() {
      return writeRps > 0 ? writeRps : Double.POSITIVE_INFINITY;
    }

    static final Size SMALL = new Size(4, 20, 2150, 12);

    /** The shape of a grown deployment: hundreds of machines, thousands of tasks. */
    static final Size GROWN = new Size(60, 1200, 500, 150);

    /** Some dozens of machines in each zone. */
    static final Size MIDDLE = new Size(16, 300, 2150, 12);

    double teamLimit() {
      return 2 * teamCpus;
    }
  }

  final Size size;

  /** Names of the machine types that the cloud has. */
  final List<String> types;

  private final long seed;
  private final boolean operators;

  /** Checked after each step besides the rules. */
  Runnable also = () -> {};

  /** What controllers are told by their operators from their next start on. */
  OperatorSettings operatorSettings;

  /** Every world spreads its connections from this share on; less than 0: as the operators say. */
  private static final double RELAY_ABOVE =
      Double.parseDouble(System.getProperty("world.relayAbove", "-1"));

  /** Controllers refuse each other's connections, though all of them live. */
  boolean peersRefuse;

  static final long REPORT_MS = 3000;
  static final long LEASE_MS = 17_000;
  static final long CANCEL_MS = 47_000;
  static final long LAG_MS = 4000;

  final EventSimulator sim;
  final SimulatedNetwork net;
  final EmulatedState state;
  final EmulatedCloud cloud;
  final SimulatedUsers users;
  final InvariantChecker checker;
  final MonotonicReadsChecker answers;
  final List<ControllerNode> nodes = new ArrayList<>();

  SimulatedCluster(long seed) {
    this(seed, Size.SMALL);
  }

  SimulatedCluster(long seed, Size size) {
    // Operators are served on half of all days, so that both ways are played.
    this(seed, size, seed % 2 == 0);
  }

  SimulatedCluster(long seed, Size size, boolean operators) {
    this(seed, size, operators, List.of(machineType(TYPE)), OperatorSettings.defaults());
  }

  SimulatedCluster(
      long seed, Size size, boolean operators, List<EmulatorSettings.MachineSpec> types) {
    this(seed, size, operators, types, OperatorSettings.defaults());
  }

  /** Controllers are told {@code operatorSettings} from their first start on. */
  SimulatedCluster(long seed, Size size, boolean operators, OperatorSettings operatorSettings) {
    this(seed, size, operators, List.of(machineType(TYPE)), operatorSettings);
  }

  /** A type of machine like the usual one. */
  static EmulatorSettings.MachineSpec machineType(String name) {
    return new EmulatorSettings.MachineSpec(name, CPUS, 0, 64, 50, 1, 1, 0.4, 4);
  }

  private SimulatedCluster(
      long seed,
      Size size,
      boolean operators,
      List<EmulatorSettings.MachineSpec> machineTypes,
      OperatorSettings operatorSettings) {
    this.operatorSettings = operatorSettings;
    this.seed = seed;
    this.types = machineTypes.stream().map(EmulatorSettings.MachineSpec::name).toList();
    this.operators = operators;
    this.size = size;
    sim = new EventSimulator(seed);
    net = new SimulatedNetwork(sim);
    EmulatorSettings emulatorSettings =
        new EmulatorSettings(
            machineTypes,
            ZONES,
            size.perPlace(),
            0.05,
            REPORT_MS,
            LEASE_MS,
            LAG_MS,
            24,
            8192,
            // Small pages and a short memory, so that listings take several and streams are lost.
            40,
            400,
            size.keptWriteRps());
    state = new EmulatedState(new SimulatedEnvironment(), emulatorSettings);
    net.place("state:1", state);
    for (int i = 0; i < 3; i++) {
      nodes.add(new ControllerNode(i));
    }
    checker = new InvariantChecker(this);
    answers = new MonotonicReadsChecker(this);
    net.tap = answers;
    cloud =
        new EmulatedCloud(
            new SimulatedEnvironment(),
            emulatorSettings,
            ref -> users().told.containsKey(ref) ? users().told.get(ref).body : null,
            new Members(),
            checker);
    net.place("cloud:1", cloud);
    users = new SimulatedUsers(this);
    new IdleCapacity(this).watch();
    nodes.forEach(ControllerNode::start);
  }

  private SimulatedUsers users() {
    return users;
  }

  /** Where operators ask a node. */
  static String admin(int node) {
    return "node-" + node + ":9090";
  }

  static String client(int node) {
    return "node-" + node + ":8080";
  }

  int index(String member) {
    return Integer.parseInt(member.substring(member.indexOf('-') + 1));
  }

  private Settings settings(int i) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int k = 0; k < 3; k++) {
      if (k != i) {
        peers.add(
            new Settings.Peer(
                "node-" + k, NODE_ZONES.get(k), new Settings.Address("node-" + k, 8081)));
      }
    }
    return new Settings(
        "node-" + i,
        NODE_ZONES.get(i),
        new Settings.Address("node-" + i, 8080),
        new Settings.Address("node-" + i, 8081),
        peers,
        "cloud:1",
        "state:1",
        ZONES,
        Map.of(
            "one", new Settings.Team("one", size.teamCpus(), size.teamLimit(), 0, 0),
            "two", new Settings.Team("two", size.teamCpus(), size.teamLimit(), 0, 0),
            "guest", new Settings.Team("guest", 0, 0, 0, 0)),
        List.of(),
        new Settings.Workers(REPORT_MS, LEASE_MS, CANCEL_MS),
        new Settings.State(200, size.settingsWriteRps(), 8192, 24),
        new Settings.Cloud(5, LAG_MS),
        new Settings.Resources(0.425, 263, 1800));
  }

  /** The node that leads by the state service's word, or null. */
  ControllerNode leader() {
    var value = state.value("live/leader");
    return value == null ? null : nodes.get(index(value.path("member").asText()));
  }

  /** Cuts a node and some machines off from everything else, for a while. */
  void cutOff(ControllerNode node, Predicate<EmulatedWorker> with, boolean hold, long ms) {
    cutOff(List.of(node), with, hold, sim.now() + ms, new HashSet<>());
  }

  /** Cuts a zone off from everything else, for a while. */
  void cutZone(String zone, boolean hold, long ms) {
    List<ControllerNode> with = nodes.stream().filter(n -> n.settings.zone().equals(zone)).toList();
    cutOff(with, m -> m.zone().equals(zone), hold, sim.now() + ms, new HashSet<>());
  }

  private void cutOff(
      List<ControllerNode> with,
      Predicate<EmulatedWorker> machines,
      boolean hold,
      long end,
      Set<Runnable> heals) {
    if (sim.now() >= end) {
      heals.forEach(Runnable::run);
      return;
    }
    Set<String> inside = new LinkedHashSet<>();
    Set<String> outside = new LinkedHashSet<>(List.of("state:1", "cloud:1", "users"));
    for (ControllerNode n : nodes) {
      (with.contains(n) ? inside : outside).addAll(List.of("node-" + n.index, client(n.index)));
    }
    cloud.machines().forEach(m -> (machines.test(m) ? inside : outside).add(m.endpoint()));
    inside.forEach(a -> outside.forEach(b -> net.cut(a, b, hold)));
    heals.add(() -> inside.forEach(a -> outside.forEach(b -> net.heal(a, b))));
    // Machines that are rented meanwhile are on one side of the cut as well.
    sim.after(400, () -> cutOff(with, machines, hold, end, heals));
  }

  /** Runs for a while, checking the rules after each step. */
  void run(long ms) {
    long end = sim.now() + ms;
    sim.runUntil(
        end,
        () -> {
          checker.check();
          also.run();
          if (checker.broken != null) {
            throw new AssertionError(checker.broken);
          }
        });
  }

  /** Virtual time, seeded chance and the simulated network, as the emulated parts meet them. */
  private final class SimulatedEnvironment implements EmulatorEnvironment {
    @Override
    public long now() {
      return sim.now();
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      return sim.after(delayMs, task);
    }

    @Override
    public boolean chance(double probability) {
      return sim.chance(probability);
    }

    @Override
    public long between(long low, long high) {
      return sim.between(low, high);
    }

    @Override
    public double fraction() {
      return sim.random.nextDouble();
    }

    @Override
    public String address(String name) {
      return name + ":9000";
    }

    @Override
    public void open(String name, RequestHandler place, Consumer<String> opened) {
      net.place(address(name), place);
      opened.accept(address(name));
    }

    @Override
    public void silence(String name) {
      net.off(address(name));
    }

    @Override
    public void call(
        String from,
        String to,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        Consumer<HttpReply> done) {
      net.call(from, to, method, path, body, timeoutMs, done);
    }
  }

  private final class Members implements ControllerDirectory {
    @Override
    public List<String> members() {
      return nodes.stream().map(n -> "node-" + n.index).toList();
    }

    @Override
    public String endpoint(String member) {
      return client(index(member));
    }
  }

  /** A controller's machine: its process may end and begin again. */
  final class ControllerNode implements RequestHandler {
    final int index;
    final Settings settings;
    private ControllerProcess process;

    /** Reports of workers that came to it. */
    int beats;

    ControllerNode(int index) {
      this.index = index;
      this.settings = SimulatedCluster.this.settings(index);
      net.place(client(index), this);
      net.place(admin(index), this::operator);
    }

    void start() {
      process = new ControllerProcess(this);
      process.begin();
    }

    boolean up() {
      return process != null;
    }

    void crash(long backAfterMs) {
      if (process != null) {
        process.dead = true;
        process = null;
        for (ControllerNode n : nodes) {
          if (n.process != null) {
            n.process.listener.linkDown("node-" + index);
          }
        }
        sim.after(backAfterMs, this::start);
      }
    }

    /** It hands over and ends, as for a new version. */
    void leave(long backAfterMs) {
      if (process != null) {
        process.controller.leave();
        crash(backAfterMs);
      }
    }

    /**
     * The process stands still while its clocks run on: what it was to do, and what comes for it,
     * waits until then. Its connections are taken as before.
     */
    void freeze(long ms) {
      if (process != null) {
        process.frozenUntil = Math.max(process.frozenUntil, sim.now() + ms);
      }
    }

    /** What an operator asks, without the network between. */
    void ask(String method, String path, Consumer<HttpReply> reply) {
      operator("users", method, path, null, reply);
    }

    private void operator(
        String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
      if (process == null) {
        reply.accept(HttpReply.of(HttpReply.NOT_SENT));
      } else {
        process.controller.operators(new Request(method, path, body, reply));
      }
    }

    @Override
    public void request(
        String from, String method, String path, byte[] body, Consumer<HttpReply> reply) {
      if (process == null) {
        reply.accept(HttpReply.of(HttpReply.NOT_SENT));
      } else {
        ControllerProcess now = process;
        beats += path.equals("/agent/beat") ? 1 : 0;
        now.run(() -> now.controller.handle(new Request(method, path, body, reply)));
      }
    }
  }

  private record Request(String method, String uri, byte[] body, Consumer<HttpReply> to)
      implements Exchange {
    @Override
    public String path() {
      int mark = uri.indexOf('?');
      return mark < 0 ? uri : uri.substring(0, mark);
    }

    @Override
    public String query() {
      int mark = uri.indexOf('?');
      return mark < 0 ? "" : uri.substring(mark + 1);
    }

    @Override
    public byte[] body() {
      return body == null ? new byte[0] : body;
    }

    @Override
    public void reply(int status, byte[] answer, int retryAfterS) {
      to.accept(new HttpReply(status, answer));
    }
  }

  /** One process: everything it set in motion ends with it, except what has left it. */
  private final class ControllerProcess implements Clock, Timers, BackgroundExecutor, PeerNetwork {
    final ControllerNode node;
    final Controller controller;
    final double drift = 1 + sim.random.nextDouble() * 0.0005;
    final long zero = sim.now();
    boolean dead;
    long frozenUntil;
    PeerNetwork.Listener listener;

    ControllerProcess(ControllerNode node) {
      this.node = node;
      ControllerEnvironment environment =
          new ControllerEnvironment(
              this,
              this,
              this,
              (endpoint, method, path, body, timeoutMs, done) ->
                  net.call(
                      "node-" + node.index,
                      endpoint,
                      method,
                      path,
                      body,
                      timeoutMs,
                      r -> run(() -> done.accept(r))),
              this,
              RandomSource.XO_RO_SHI_RO_128_PP.create(sim.random.nextLong()),
              seed % 3 != 0);
      controller =
          new Controller(
              node.settings, told(), environment, operators ? Authenticator.allowAll() : null);
    }

    private OperatorSettings told() {
      return RELAY_ABOVE < 0 ? operatorSettings : operatorSettings.withRelayAbove(RELAY_ABOVE);
    }

    void begin() {
      controller.start();
    }

    @Override
    public long now() {
      return Math.round((sim.now() - zero) * drift);
    }

    @Override
    public long wall() {
      return 1_700_000_000_000L + sim.now();
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      boolean[] off = {false};
      sim.after(
          delayMs,
          () ->
              run(
                  () -> {
                    if (!off[0]) {
                      task.run();
                    }
                  }));
      return () -> off[0] = true;
    }

    /** Runs it now, or when the process goes on. */
    void run(Runnable task) {
      if (dead) {
        return;
      }
      if (sim.now() < frozenUntil) {
        sim.after(frozenUntil - sim.now(), () -> run(task));
      } else {
        task.run();
      }
    }

    @Override
    public <R> void compute(Supplier<R> work, Consumer<R> done) {
      R result = work.get();
      after(sim.between(5, 60), () -> done.accept(result));
    }

    @Override
    public void send(String member, Object message) {
      ControllerNode to = nodes.get(index(member));
      if (peersRefuse) {
        return;
      }
      net.tell(
          "node-" + node.index,
          member,
          message instanceof PeerAnswer || message instanceof PeerAsk ask && ask.number() > 0,
          () -> {
            if (to.process != null) {
              ControllerProcess now = to.process;
              now.run(() -> now.listener.messageReceived("node-" + node.index, message));
            }
          });
    }

    @Override
    public void listen(PeerNetwork.Listener l) {
      listener = l;
    }

    @Override
    public void start() {
      probe();
    }

    /** A dead process's port refuses, as its peers soon notice. */
    private void probe() {
      for (ControllerNode n : nodes) {
        if (n != node && (n.process == null || peersRefuse)) {
          listener.connectionRefused("node-" + n.index);
        }
      }
      after(200, this::probe);
    }
  }
}
