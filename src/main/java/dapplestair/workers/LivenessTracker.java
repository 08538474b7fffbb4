package dapplestair.workers;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import dapplestair.ports.Clock;
import dapplestair.settings.Settings;
import dapplestair.silence.LivenessReport;
import dapplestair.silence.LivenessReports;
import dapplestair.silence.ZoneContactTracker;
import java.util.HashMap;
import java.util.Map;

/** Who was heard when, and whether silence means anything. */
final class LivenessTracker {
  // Reports are up to a quarter late; two calls without an answer come on top.
  private static final double OVERDUE = 1.35;
  private static final double SILENT = 1.9;

  // After this share of a lease without a report, what starts on a machine has too little left.
  private static final double MUTE = 0.5;

  // Clocks drift by less than this.
  private static final double DRIFT = 1.01;

  private final Clock clock;
  private final HostRegistry hostRegistry;
  private final long reportMs;
  private final long leaseMs;
  private final ZoneContactTracker zones;
  private final Multiset<String> perZone = HashMultiset.create();
  private final LivenessReports livenessReports = new LivenessReports();

  // When a worker of each zone last reported by itself.
  private final Map<String, Long> zoneReportedAt = new HashMap<>();

  // Zones of which no machine is heard, and when one last was.
  private final Map<String, Long> silentZones = new HashMap<>();
  private long accountNumber;
  private long leadingSince;
  private long turnDue;
  private long judgeAgainAt;

  LivenessTracker(Clock clock, Settings settings, HostRegistry hostRegistry) {
    this.clock = clock;
    this.hostRegistry = hostRegistry;
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.zones = new ZoneContactTracker(Math.round(OVERDUE * reportMs));
  }

  void lead() {
    leadingSince = clock.now();
    turnDue = leadingSince;
    judgeAgainAt = leadingSince + reportMs;
  }

  void clear() {
    zones.clear();
    perZone.clear();
    silentZones.clear();
    zoneReportedAt.clear();
  }

  /** A turn begins; the next one is due {@code everyMs} later. */
  void turn(long everyMs) {
    long now = clock.now();
    if (now - turnDue > reportMs / 6) {
      // This process itself was held up: answers wait unread, so silence proves nothing for now.
      judgeAgainAt = now + 2 * reportMs;
    }
    turnDue = now + everyMs;
    perZone.clear();
    for (Host host : hostRegistry.all()) {
      if (host.up()) {
        perZone.add(host.zone());
      }
    }
    findSilentZones(now);
  }

  private static final class Heard {
    int machines;
    long last = Long.MIN_VALUE / 2;
  }

  /**
   * A zone is silent when none of its machines was heard for longer than so many take to report,
   * while others are heard, so long after its last report: when all fall silent it is we who are
   * cut off, and one of them is always the first. A single machine is no zone. After a beginning or
   * a pause of this process all silence is doubtful, unless an earlier leader had noticed it
   * already.
   */
  private void findSilentZones(long now) {
    Map<String, Heard> heard = new HashMap<>();
    for (Host host : hostRegistry.all()) {
      if (host.expectedUp() && host.zone() != null && !ghost(host)) {
        Heard z = heard.computeIfAbsent(host.zone(), k -> new Heard());
        z.machines++;
        z.last = Math.max(z.last, signOfZone(host));
      }
    }
    // A zone whose machines have all been given up stays silent until one is heard there: what is
    // rented there would not be. After a while it is tried again.
    Map<String, Long> before = Map.copyOf(silentZones);
    silentZones.clear();
    before.forEach(
        (zone, last) -> {
          boolean heardAgain = zones.lastHeardMs(zone) > last;
          if (!heard.containsKey(zone) && !heardAgain && now - last < 3 * leaseMs) {
            silentZones.put(zone, last);
          }
        });
    boolean anyHeard = false;
    long newest = heard.values().stream().mapToLong(z -> z.last).max().orElse(now);
    for (Map.Entry<String, Heard> entry : heard.entrySet()) {
      Heard z = entry.getValue();
      long last = Math.max(z.last, livenessReports.zoneHeardAtMs(entry.getKey()));
      long gap = zones.maxGapMs(z.machines);
      boolean noticedBefore = succeeded() && livenessReports.leaderReportAtMs() - last > gap;
      if (now - last <= gap) {
        anyHeard = true;
      } else if (z.machines > 1 && newest - last > gap && (now > judgeAgainAt || noticedBefore)) {
        silentZones.put(entry.getKey(), last);
      }
    }
    if (!anyHeard) {
      silentZones.clear();
    }
    for (Host host : hostRegistry.all()) {
      Long last = host.zone() == null ? null : silentZones.get(host.zone());
      host.setZoneSilentMs(last == null ? 0 : now - last);
    }
  }

  /**
   * A report that a cut held back may come from a machine that was returned meanwhile, under an
   * earlier leader. Nothing more is heard of it, which says nothing of its zone: counted, it made a
   * zone that was back look silent, in which nothing is rented for three leases.
   */
  private boolean ghost(Host host) {
    return host.firstListedAt() == Long.MAX_VALUE
        && (host.rentedAt() == Long.MAX_VALUE
            || succeeded() && livenessReports.isReportedGone(host.id()));
  }

  /** True when a machine is held in this zone, heard or not. */
  boolean anyLeftIn(String zone) {
    return hostRegistry.all().stream()
        .anyMatch(h -> zone.equals(h.zone()) && !h.releasing() && !ghost(h) && !saidGone(h));
  }

  /** True when the leader before knew for certain that this machine is gone. */
  boolean saidGone(Host host) {
    return !host.up() && succeeded() && livenessReports.isReportedGone(host.id());
  }

  /** How long nothing was heard of this zone; 0 when it is heard or nothing can be said. */
  long zoneSilentMs(String zone) {
    Long last = silentZones.get(zone);
    return last == null ? 0 : clock.now() - last;
  }

  /**
   * True when this leader reached one of the zone's machines within the longest time between two
   * reports.
   */
  boolean zoneHeardNow(String zone) {
    return clock.now() - zones.lastHeardMs(zone) < Math.round(OVERDUE * reportMs);
  }

  // ---- shared with the other controllers ----

  /** What another controller heard. */
  void said(LivenessReport livenessReport) {
    livenessReports.add(livenessReport, clock.now());
  }

  /** What to tell the other controllers; of single machines only a leader that can judge tells. */
  LivenessReport account(boolean leading, long term) {
    long now = clock.now();
    Map<String, Long> zoneAges = new HashMap<>();
    Map<String, Long> late = new HashMap<>();
    for (String zone : perZone.elementSet()) {
      zoneAges.merge(zone, now - zones.lastHeardMs(zone), Math::min);
    }
    boolean sure = leading && now > judgeAgainAt;
    if (sure) {
      for (Host host : hostRegistry.all()) {
        if (host.expectedUp() && now - lastHeard(host) > OVERDUE * reportMs) {
          late.put(host.id(), now - lastHeard(host));
        }
      }
    }
    Map<String, Long> gone = sure ? hostRegistry.goneWithin(leaseMs) : Map.of();
    return new LivenessReport(sure ? term : 0, ++accountNumber, zoneAges, late, gone);
  }

  /**
   * When this machine was last heard. Before its first report of this term that is, at the latest,
   * when an earlier leader heard it, or else when this one came to know of it.
   */
  private long lastHeard(Host host) {
    if (host.reached()) {
      return mute(host) ? host.reportedAt : host.heardAt;
    }
    return succeeded()
        ? Math.min(host.knownSince(), livenessReports.machineHeardAtMs(host.id()))
        : host.knownSince();
  }

  /** True when the leader before spoke until shortly before this one began. */
  private boolean succeeded() {
    return livenessReports.leaderReportAtMs() > leadingSince - 2 * reportMs;
  }

  /** A machine was reached: it reported by itself, or it answered a call. */
  void reached(Host host, String zone, boolean reported) {
    long now = clock.now();
    if (reported) {
      host.reportedAt = now;
    } else if (!host.reached()) {
      host.reportedAt = firstReportedAt(host);
    }
    host.heardAt = now;
    heard(zone, reported);
  }

  /** A machine in this zone was heard just now. */
  void heard(String zone, boolean reported) {
    long now = clock.now();
    if (reported) {
      zoneReportedAt.put(zone, now);
    } else if (now - Math.max(leadingSince, zoneReportedAt.getOrDefault(zone, 0L)) > muteMs()) {
      // Nobody there reports: that its machines answer keeps none of their leases.
      return;
    }
    zones.recordHeard(zone, now, perZone.count(zone));
  }

  /**
   * What a machine's sign of life says of its zone. While nobody reports there, the first answer of
   * a new machine to a call says nothing: it would make a mute zone look heard (OutboundCutTest).
   */
  private long signOfZone(Host host) {
    Long reportedAt = zoneReportedAt.get(host.zone());
    boolean mute =
        reportedAt != null && clock.now() - Math.max(leadingSince, reportedAt) > muteMs();
    return mute ? Math.min(lastHeard(host), reportedAt) : lastHeard(host);
  }

  private long muteMs() {
    return Math.round(MUTE * leaseMs);
  }

  /** What the leader before had noticed of a mute machine need not be noticed again. */
  private long firstReportedAt(Host host) {
    long said = livenessReports.machineHeardAtMs(host.id());
    return succeeded() && livenessReports.leaderReportAtMs() - said > muteMs() ? said : clock.now();
  }

  /**
   * True when it answers calls, but its worker has not reported for long. Commands renew no lease,
   * so all that runs there ends with it: such a machine is no better than a silent one, though it
   * can be told to stop something, and its answers prove what they always did.
   */
  boolean mute(Host host) {
    return host.failedCalls == 0
        && host.heardAt > host.reportedAt
        && clock.now() - host.reportedAt > muteMs();
  }

  /** True when some worker has reported by itself lately. */
  boolean anyReports() {
    long now = clock.now();
    return zoneReportedAt.values().stream().anyMatch(at -> now - at <= muteMs());
  }

  /** True when it has reported lately enough to be worth giving work to. */
  boolean fresh(Host host) {
    return clock.now() - host.heardAt < 2 * reportMs && host.failedCalls == 0 && !mute(host);
  }

  /** True when its report is late, so that it should be asked. */
  boolean overdue(Host host) {
    return host.up() && clock.now() - host.heardAt > OVERDUE * reportMs;
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  boolean zoneHeard(Host silent) {
    int machines = perZone.count(silent.zone());
    return zones.heardForMs(silent.zone(), clock.now(), machines) > 1.5 * reportMs;
  }

  /** How long nothing was heard of it. */
  long silentMs(Host host) {
    return clock.now() - lastHeard(host);
  }

  /**
   * True when it was asked several times and has been silent for a while, or is mute and its lease
   * has run out.
   */
  boolean silent(Host host) {
    // What the leader before had missed already needs one call more, not a whole new judgement.
    boolean missedBefore = missedBefore(host);
    return host.expectedUp()
        && silentMs(host) > SILENT * reportMs
        && (host.failedCalls >= (missedBefore ? 1 : 2) || leaseRanOut(host))
        && (missedBefore || clock.now() > judgeAgainAt);
  }

  private boolean leaseRanOut(Host host) {
    return mute(host) && silentMs(host) > DRIFT * leaseMs;
  }

  private boolean missedBefore(Host host) {
    return !host.reached()
        && succeeded()
        && livenessReports.leaderReportAtMs() - livenessReports.machineHeardAtMs(host.id())
            > OVERDUE * reportMs;
  }

  /**
   * True when machines are there, and not one of them reported for longer than any report takes.
   * That they answer calls keeps no lease.
   */
  boolean nobody() {
    long now = clock.now();
    boolean any = false;
    for (Host host : hostRegistry.all()) {
      if (now - host.reportedAt < SILENT * reportMs) {
        return false;
      }
      any |= host.up();
    }
    return any && now > judgeAgainAt && now - leadingSince > 3 * reportMs;
  }
}
