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
 * Keeps the recorded state of each zone. Each change of state is one put, whatever the number of
 * machines, and the next leader continues from the record. The state proves nothing about tasks: it
 * only decides in which zones nothing is rented, and for how long a flapping zone stays closed.
 */
public final class Zones implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Zones.class);

  // A zone that is cut again within this many leases is flapping. With each cut, the time for which
  // it must be heard before it is steady doubles, up to the maximum.
  private static final int CUT_MEMORY_LEASES = 16;
  private static final int MAX_STABILIZATION_LEASES = 8;

  // A zone without any machine left counts as returning after this time. Nothing can be heard there
  // before, and renting in a zone that is still cut off costs a boot.
  private static final int EMPTY_ZONE_RETRY_LEASES = 2;

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
  private final Map<String, ZoneStatus> statuses = new TreeMap<>();
  private final Set<String> zonesBeingWritten = new HashSet<>();
  private final Map<String, Long> emptySinceMsByZone = new HashMap<>();
  private boolean leading;
  private Cancellable timer = () -> {};

  /**
   * Creates the zones, all steady until a record says otherwise.
   *
   * @param rentOne rents one machine in a zone, closed or not; returns false when the cloud has
   *     none
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

  // ---- records from the replica ----

  /** Applies the record of a zone; a null value means that it was removed. */
  public void applyRecord(String key, JsonNode value) {
    String zone = key.substring(StateKeys.ZONE.length());
    if (value == null) {
      statuses.remove(zone);
    } else {
      statuses.put(zone, ZoneStatus.parse(value));
    }
  }

  /** Drops all state; the replica delivers its records again. */
  public void clear() {
    leading = false;
    writer.reset();
    timer.cancel();
    statuses.clear();
    zonesBeingWritten.clear();
    emptySinceMsByZone.clear();
    probes.clear();
  }

  // ---- leading ----

  /** Begins to lead and continues from the records of the previous leader. */
  public void lead() {
    leading = true;
    writer.reset();
    zonesBeingWritten.clear();
    tick();
  }

  private void tick() {
    if (state.unreachableMs() == 0) {
      for (String zone : knownZones()) {
        if (!zonesBeingWritten.contains(zone)) {
          updateStatus(zone, status(zone));
        }
      }
    }
    timer = timers.after(settings.workers().reportMs() / 4, this::tick);
  }

  /** Returns the zones of the settings, those on record and those with machines. */
  private Set<String> knownZones() {
    Set<String> zones = new TreeSet<>(settings.zones());
    zones.addAll(statuses.keySet());
    for (Host host : workers.hosts()) {
      if (host.zone() != null) {
        zones.add(host.zone());
      }
    }
    return zones;
  }

  private void updateStatus(String zone, ZoneStatus status) {
    long silentMs = workers.zoneSilentMs(zone);
    long nowWallMs = clock.wall();
    String member = settings.member();
    switch (status.state()) {
      case STEADY -> markCutIfSilent(zone, status, silentMs);
      case CUT -> {
        if (silentMs > timeouts.lostAfterMs(zone)) {
          write(zone, status.withState(State.LOST, nowWallMs, member));
        } else {
          markReturningIfHeard(zone, status, silentMs);
        }
      }
      case LOST -> markReturningIfHeard(zone, status, silentMs);
      case RETURNING -> {
        if (silentMs > 0) {
          markCutIfSilent(zone, status, silentMs);
        } else if (nowWallMs - status.sinceWallMs() > stabilizationMs(status)) {
          write(zone, status.withState(State.STEADY, nowWallMs, member));
        }
      }
      default -> {}
    }
  }

  private void markCutIfSilent(String zone, ZoneStatus status, long silentMs) {
    if (silentMs >= timeouts.prepareAfterMs()) {
      long cutWallMs = clock.wall() - silentMs;
      write(
          zone,
          status.withCut(
              cutWallMs, settings.member(), CUT_MEMORY_LEASES * settings.workers().leaseMs()));
    }
  }

  /**
   * Marks a zone as returning when it is heard. It is not enough that the zone does not count as
   * silent, since a new leader counts no zone as silent until it has listened for long enough. In a
   * zone without any machine left, one is rented as a probe; if none can be rented, the zone counts
   * as returning after a while.
   */
  private void markReturningIfHeard(String zone, ZoneStatus status, long silentMs) {
    long now = clock.now();
    boolean heard = silentMs == 0 && workers.isZoneHeard(zone);
    boolean noMachineLeft = !workers.hasMachinesIn(zone);
    if (noMachineLeft) {
      probes.probeIfLost(zone, status);
    } else if (heard) {
      probes.onHeard(zone);
    }
    boolean empty = silentMs == 0 && noMachineLeft;
    if (!empty) {
      emptySinceMsByZone.remove(zone);
    }
    long emptySinceMs = empty ? emptySinceMsByZone.computeIfAbsent(zone, z -> now) : now;
    if (heard || now - emptySinceMs > EMPTY_ZONE_RETRY_LEASES * settings.workers().leaseMs()) {
      write(zone, status.withState(State.RETURNING, clock.wall(), settings.member()));
    }
  }

  private void write(String zone, ZoneStatus next) {
    zonesBeingWritten.add(zone);
    String key = StateKeys.ZONE + zone;
    writer.put(
        key,
        replica.stamp(key),
        next.toJson(),
        Priority.BOOKKEEPING,
        outcome -> {
          // Without an answer, the replica shows whether the put was applied, and the next update
          // continues from there.
          timers.after(settings.workers().reportMs() / 4, () -> zonesBeingWritten.remove(zone));
          if (outcome instanceof TxnOutcome.Applied) {
            statuses.put(zone, next);
            LOG.info(
                "zone {} is now {} (recent cuts: {})", zone, next.state().label(), next.cuts());
            events.publish(
                Events.Kind.ZONE,
                o ->
                    o.put("zone", zone)
                        .put("state", next.state().label())
                        .put("cuts", next.cuts()));
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
        });
  }

  // ---- views ----

  /** Returns the state of a zone. */
  public ZoneStatus status(String zone) {
    return statuses.getOrDefault(zone, ZoneStatus.NEW);
  }

  /** Returns the states of all known zones, by name. */
  public Map<String, ZoneStatus> statuses() {
    Map<String, ZoneStatus> statusesByZone = new TreeMap<>();
    knownZones().forEach(z -> statusesByZone.put(z, status(z)));
    return statusesByZone;
  }

  /** Returns how long a zone must be heard before it is steady again; doubles with each cut. */
  long stabilizationMs(ZoneStatus status) {
    int leases = 1 << Math.min(30, Math.max(0, status.cuts() - 1));
    return Math.min(MAX_STABILIZATION_LEASES, leases) * settings.workers().leaseMs();
  }

  /** Returns the seconds until a returning zone is steady, or 0 for any other zone. */
  public double remainingStabilizationS(String zone) {
    ZoneStatus status = status(zone);
    return status.state() != State.RETURNING
        ? 0
        : Math.max(0, stabilizationMs(status) - (clock.wall() - status.sinceWallMs())) / 1000.0;
  }

  /**
   * Returns true while nothing may be rented in a zone: no machine there is heard, or the zone has
   * flapped and is not steady yet.
   */
  public boolean isClosed(String zone) {
    ZoneStatus status = status(zone);
    boolean unheard = status.state() == State.CUT || status.state() == State.LOST;
    return leading && (unheard || status.cuts() > 1 && status.state() != State.STEADY);
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
