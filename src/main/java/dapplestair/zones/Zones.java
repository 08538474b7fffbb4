package dapplestair.zones;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.events.Events;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.SilenceTimeouts;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import dapplestair.workers.WorkerManager;
import dapplestair.zones.ZoneStatus.State;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of each zone, a put for each change of state and none for any machine, so that the next
 * leader goes on where the former stood. It proves nothing: what it decides is where nothing is
 * rented, and for how long a zone that flaps is held down.
 */
public final class Zones implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Zones.class);

  // A zone that was cut again within so many leases flaps; each time it is held down for twice as
  // long as the time before, up to the most.
  private static final int MEMORY_LEASES = 16;
  private static final int MOST_HELD_LEASES = 8;

  // For so long a zone without any machine left is not tried again: nothing can be heard there, and
  // renting in one that is cut off still costs a boot.
  private static final int TRIED_AGAIN_LEASES = 2;

  private final Clock clock;
  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final FencedWriter writer;
  private final Replica replica;
  private final Leadership leadership;
  private final WorkerManager workers;
  private final SilenceTimeouts timeouts;
  private final ZoneProbes probes;
  private final Events events;
  private final Map<String, ZoneStatus> lives = new TreeMap<>();
  private final Set<String> writing = new HashSet<>();
  private final Map<String, Long> triedAt = new HashMap<>();
  private boolean leading;
  private Cancellable timer = () -> {};

  /**
   * All zones are steady until something else is on record. {@code rentOne} rents one machine in a
   * zone, closed or not; false when none is to be had there.
   */
  public Zones(
      Clock clock,
      TermTimers timers,
      Settings settings,
      StateClient state,
      Replica replica,
      Leadership leadership,
      WorkerManager workers,
      Predicate<String> rentOne,
      Events events) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.replica = replica;
    this.leadership = leadership;
    this.workers = workers;
    this.events = events;
    timeouts = new SilenceTimeouts(settings);
    probes = new ZoneProbes(clock, settings, timeouts, rentOne);
  }

  // ---- what the replica says ----

  /** A zone's key has this value, or is gone. */
  public void recorded(String key, JsonNode value) {
    String zone = key.substring(StateKeys.ZONE.length());
    if (value == null) {
      lives.remove(zone);
    } else {
      lives.put(zone, ZoneStatus.parse(value));
    }
  }

  /** Forgets all records: the replica tells them again. */
  public void clear() {
    leading = false;
    writer.reset();
    timer.cancel();
    lives.clear();
    writing.clear();
    triedAt.clear();
    probes.clear();
  }

  // ---- leading ----

  /** Goes on where the former leader stood. */
  public void lead() {
    leading = true;
    writer.reset();
    writing.clear();
    tick();
  }

  private void tick() {
    if (state.unreachableMs() == 0) {
      for (String zone : known()) {
        if (!writing.contains(zone)) {
          look(zone, life(zone));
        }
      }
    }
    timer = timers.after(settings.workers().reportMs() / 4, this::tick);
  }

  /** Zones of the settings, and those of which there are, or were, machines. */
  private Set<String> known() {
    Set<String> out = new TreeSet<>(settings.zones());
    out.addAll(lives.keySet());
    for (Host host : workers.hosts()) {
      if (host.zone() != null) {
        out.add(host.zone());
      }
    }
    return out;
  }

  private void look(String zone, ZoneStatus status) {
    long silentMs = workers.zoneSilentMs(zone);
    long wall = clock.wall();
    String me = settings.member();
    switch (status.state()) {
      case STEADY -> cutIfSilent(zone, status, silentMs);
      case CUT -> {
        if (silentMs > timeouts.lostAfterMs(zone)) {
          write(zone, status.to(State.LOST, wall, me));
        } else {
          returnIfHeard(zone, status, silentMs);
        }
      }
      case LOST -> returnIfHeard(zone, status, silentMs);
      case RETURNING -> {
        if (silentMs > 0) {
          cutIfSilent(zone, status, silentMs);
        } else if (wall - status.sinceWall() > heldMs(status)) {
          write(zone, status.to(State.STEADY, wall, me));
        }
      }
      default -> {}
    }
  }

  private void cutIfSilent(String zone, ZoneStatus status, long silentMs) {
    if (silentMs >= timeouts.prepareAfterMs()) {
      long wall = clock.wall() - silentMs;
      write(
          zone, status.cut(wall, settings.member(), MEMORY_LEASES * settings.workers().leaseMs()));
    }
  }

  /**
   * To a new leader no zone is silent before it could judge; so it needs to be heard. Where no
   * machine is left, one is rented that can be; if none is to be had, the zone is taken for back
   * after a while.
   */
  private void returnIfHeard(String zone, ZoneStatus status, long silentMs) {
    long now = clock.now();
    boolean heard = silentMs == 0 && workers.isZoneHeard(zone);
    boolean none = !workers.hasMachinesIn(zone);
    if (none) {
      probes.emptied(zone, status);
    } else if (heard) {
      probes.heard(zone);
    }
    boolean empty = silentMs == 0 && none;
    if (!empty) {
      triedAt.remove(zone);
    }
    long since = empty ? triedAt.computeIfAbsent(zone, z -> now) : now;
    if (heard || now - since > TRIED_AGAIN_LEASES * settings.workers().leaseMs()) {
      write(zone, status.to(State.RETURNING, clock.wall(), settings.member()));
    }
  }

  private void write(String zone, ZoneStatus next) {
    writing.add(zone);
    String key = StateKeys.ZONE + zone;
    writer.put(
        key,
        replica.stamp(key),
        next.toJson(),
        Priority.BOOKKEEPING,
        outcome -> {
          // Without an answer the replica tells; the next look goes on from there.
          timers.after(settings.workers().reportMs() / 4, () -> writing.remove(zone));
          if (outcome instanceof TxnOutcome.Applied) {
            lives.put(zone, next);
            LOG.info("zone {} is {}", zone, next.state().shown());
            events.note(
                Events.Kind.ZONE,
                o ->
                    o.put("zone", zone)
                        .put("state", next.state().shown())
                        .put("cuts", next.cuts()));
          } else {
            leadership.deposedBy(outcome);
          }
        });
  }

  // ---- views ----

  /** Where a zone stands. */
  public ZoneStatus life(String zone) {
    return lives.getOrDefault(zone, ZoneStatus.NEW);
  }

  /** All zones of which anything is known, by name. */
  public Map<String, ZoneStatus> lives() {
    Map<String, ZoneStatus> out = new TreeMap<>();
    known().forEach(z -> out.put(z, life(z)));
    return out;
  }

  /** How long a zone has to be heard before it is steady again: doubling with each cut. */
  long heldMs(ZoneStatus status) {
    int leases = 1 << Math.min(30, Math.max(0, status.cuts() - 1));
    return Math.min(MOST_HELD_LEASES, leases) * settings.workers().leaseMs();
  }

  /** Seconds until a returning zone is steady, 0 for any other. */
  public double heldS(String zone) {
    ZoneStatus status = life(zone);
    return status.state() != State.RETURNING
        ? 0
        : Math.max(0, heldMs(status) - (clock.wall() - status.sinceWall())) / 1000.0;
  }

  /**
   * True while nothing is to be rented there: nobody there is heard, or it has flapped and is not
   * steady yet.
   */
  public boolean closed(String zone) {
    ZoneStatus status = life(zone);
    boolean away = status.state() == State.CUT || status.state() == State.LOST;
    return leading && (away || status.cuts() > 1 && status.state() != State.STEADY);
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
