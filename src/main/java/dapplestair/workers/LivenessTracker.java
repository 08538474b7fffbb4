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
  private static final double OVERDUE_AFTER_REPORTS = 1.35;
  private static final double SILENT_AFTER_REPORTS = 1.9;

  // After this share of a lease without a report, what starts on a machine has too little left.
  private static final double NOT_REPORTING_LEASE_SHARE = 0.5;

  // Clocks drift by less than this.
  private static final double MAX_CLOCK_DRIFT_FACTOR = 1.01;

  private final Clock clock;
  private final HostRegistry hostRegistry;
  private final long reportMs;
  private final long leaseMs;
  private final ZoneContactTracker zoneContacts;
  private final Multiset<String> upHostsPerZone = HashMultiset.create();
  private final LivenessReports livenessReports = new LivenessReports();

  // When a worker of each zone last reported by itself.
  private final Map<String, Long> lastReportedAtByZone = new HashMap<>();

  // Zones of which no machine is heard, and when one last was.
  private final Map<String, Long> lastHeardAtBySilentZone = new HashMap<>();
  private long reportNumber;
  private long leadingSince;
  private long nextTurnAt;
  private long silenceConclusiveAt;

  LivenessTracker(Clock clock, Settings settings, HostRegistry hostRegistry) {
    this.clock = clock;
    this.hostRegistry = hostRegistry;
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.zoneContacts = new ZoneContactTracker(Math.round(OVERDUE_AFTER_REPORTS * reportMs));
  }

  void startLeading() {
    leadingSince = clock.now();
    nextTurnAt = leadingSince;
    silenceConclusiveAt = leadingSince + reportMs;
  }

  void clear() {
    zoneContacts.clear();
    upHostsPerZone.clear();
    lastHeardAtBySilentZone.clear();
    lastReportedAtByZone.clear();
  }

  /** A turn begins; the next one is due {@code intervalMs} later. */
  void beginTurn(long intervalMs) {
    long now = clock.now();
    if (now - nextTurnAt > reportMs / 6) {
      // This process itself was held up: answers wait unread, so silence proves nothing for now.
      silenceConclusiveAt = now + 2 * reportMs;
    }
    nextTurnAt = now + intervalMs;
    upHostsPerZone.clear();
    for (Host host : hostRegistry.all()) {
      if (host.isUp()) {
        upHostsPerZone.add(host.zone());
      }
    }
    findSilentZones(now);
  }

  private static final class ZoneObservation {
    int hostCount;
    long lastHeardAt = Long.MIN_VALUE / 2;
  }

  /**
   * A zone is silent when none of its machines was heard for longer than so many take to report,
   * while others are heard, so long after its last report: when all fall silent it is we who are
   * cut off, and one of them is always the first. A single machine is no zone. After a beginning or
   * a pause of this process all silence is doubtful, unless an earlier leader had noticed it
   * already.
   */
  private void findSilentZones(long now) {
    Map<String, ZoneObservation> observations = new HashMap<>();
    for (Host host : hostRegistry.all()) {
      if (host.expectedUp() && host.zone() != null && !isPossiblyReturned(host)) {
        ZoneObservation observation =
            observations.computeIfAbsent(host.zone(), zone -> new ZoneObservation());
        observation.hostCount++;
        observation.lastHeardAt = Math.max(observation.lastHeardAt, zoneEvidenceAt(host));
      }
    }
    // A zone whose machines have all been given up stays silent until one is heard there: what is
    // rented there would not be. After a while it is tried again.
    Map<String, Long> silentBefore = Map.copyOf(lastHeardAtBySilentZone);
    lastHeardAtBySilentZone.clear();
    silentBefore.forEach(
        (zone, lastHeardAt) -> {
          boolean heardAgain = zoneContacts.lastHeard(zone) > lastHeardAt;
          if (!observations.containsKey(zone) && !heardAgain && now - lastHeardAt < 3 * leaseMs) {
            lastHeardAtBySilentZone.put(zone, lastHeardAt);
          }
        });
    boolean anyZoneHeard = false;
    long newestContactAt =
        observations.values().stream()
            .mapToLong(observation -> observation.lastHeardAt)
            .max()
            .orElse(now);
    for (Map.Entry<String, ZoneObservation> entry : observations.entrySet()) {
      ZoneObservation observation = entry.getValue();
      long lastHeardAt =
          Math.max(observation.lastHeardAt, livenessReports.zoneHeardAt(entry.getKey()));
      long maxGapMs = zoneContacts.gapMs(observation.hostCount);
      boolean noticedByPreviousLeader =
          hasPreviousLeaderReport() && livenessReports.at() - lastHeardAt > maxGapMs;
      if (now - lastHeardAt <= maxGapMs) {
        anyZoneHeard = true;
      } else if (observation.hostCount > 1
          && newestContactAt - lastHeardAt > maxGapMs
          && (now > silenceConclusiveAt || noticedByPreviousLeader)) {
        lastHeardAtBySilentZone.put(entry.getKey(), lastHeardAt);
      }
    }
    if (!anyZoneHeard) {
      lastHeardAtBySilentZone.clear();
    }
    for (Host host : hostRegistry.all()) {
      Long lastHeardAt = host.zone() == null ? null : lastHeardAtBySilentZone.get(host.zone());
      host.setZoneSilentMs(lastHeardAt == null ? 0 : now - lastHeardAt);
    }
  }

  /**
   * A report that a cut held back may come from a machine that was returned meanwhile, under an
   * earlier leader. Nothing more is heard of it, which says nothing of its zone: counted, it made a
   * zone that was back look silent, in which nothing is rented for three leases.
   */
  private boolean isPossiblyReturned(Host host) {
    return host.firstListedAt() == Long.MAX_VALUE
        && (host.rentedAt() == Long.MAX_VALUE
            || hasPreviousLeaderReport() && livenessReports.saidGone(host.id()));
  }

  /** True when a machine is held in this zone, heard or not. */
  boolean hasMachinesIn(String zone) {
    return hostRegistry.all().stream()
        .anyMatch(
            h ->
                zone.equals(h.zone())
                    && !h.isReleasing()
                    && !isPossiblyReturned(h)
                    && !goneByPreviousLeader(h));
  }

  /** True when the leader before knew for certain that this machine is gone. */
  boolean goneByPreviousLeader(Host host) {
    return !host.isUp() && hasPreviousLeaderReport() && livenessReports.saidGone(host.id());
  }

  /** How long nothing was heard of this zone; 0 when it is heard or nothing can be said. */
  long zoneSilentMs(String zone) {
    Long lastHeardAt = lastHeardAtBySilentZone.get(zone);
    return lastHeardAt == null ? 0 : clock.now() - lastHeardAt;
  }

  /**
   * True when this leader reached one of the zone's machines within the longest time between two
   * reports.
   */
  boolean isZoneHeard(String zone) {
    return clock.now() - zoneContacts.lastHeard(zone)
        < Math.round(OVERDUE_AFTER_REPORTS * reportMs);
  }

  // ---- shared with the other controllers ----

  /** What another controller heard. */
  void receive(LivenessReport livenessReport) {
    livenessReports.said(livenessReport, clock.now());
  }

  /** What to tell the other controllers; of single machines only a leader that can judge tells. */
  LivenessReport createReport(boolean leading, long term) {
    long now = clock.now();
    Map<String, Long> zoneAgesMs = new HashMap<>();
    Map<String, Long> overdueAgesMs = new HashMap<>();
    for (String zone : upHostsPerZone.elementSet()) {
      zoneAgesMs.merge(zone, now - zoneContacts.lastHeard(zone), Math::min);
    }
    boolean isConclusive = leading && now > silenceConclusiveAt;
    if (isConclusive) {
      for (Host host : hostRegistry.all()) {
        if (host.expectedUp() && now - lastHeardAt(host) > OVERDUE_AFTER_REPORTS * reportMs) {
          overdueAgesMs.put(host.id(), now - lastHeardAt(host));
        }
      }
    }
    Map<String, Long> goneAgesMs = isConclusive ? hostRegistry.goneAgesMs(leaseMs) : Map.of();
    return new LivenessReport(
        isConclusive ? term : 0, ++reportNumber, zoneAgesMs, overdueAgesMs, goneAgesMs);
  }

  /**
   * When this machine was last heard. Before its first report of this term that is, at the latest,
   * when an earlier leader heard it, or else when this one came to know of it.
   */
  private long lastHeardAt(Host host) {
    if (host.wasReached()) {
      return isNotReporting(host) ? host.lastReportedAt : host.lastReachedAt;
    }
    return hasPreviousLeaderReport()
        ? Math.min(host.knownSince(), livenessReports.machineHeardAt(host.id()))
        : host.knownSince();
  }

  /** True when the leader before spoke until shortly before this one began. */
  private boolean hasPreviousLeaderReport() {
    return livenessReports.at() > leadingSince - 2 * reportMs;
  }

  /** A machine was reached: it reported by itself, or it answered a call. */
  void recordContact(Host host, String zone, boolean isOwnReport) {
    long now = clock.now();
    if (isOwnReport) {
      host.lastReportedAt = now;
    } else if (!host.wasReached()) {
      host.lastReportedAt = initialReportedAt(host);
    }
    host.lastReachedAt = now;
    recordZoneContact(zone, isOwnReport);
  }

  /** A machine in this zone was heard just now. */
  void recordZoneContact(String zone, boolean isOwnReport) {
    long now = clock.now();
    if (isOwnReport) {
      lastReportedAtByZone.put(zone, now);
    } else if (now - Math.max(leadingSince, lastReportedAtByZone.getOrDefault(zone, 0L))
        > notReportingAfterMs()) {
      // Nobody there reports: that its machines answer keeps none of their leases.
      return;
    }
    zoneContacts.heard(zone, now, upHostsPerZone.count(zone));
  }

  /**
   * What a machine's sign of life says of its zone. While nobody reports there, the first answer of
   * a new machine to a call says nothing: it would make a mute zone look heard (OutboundCutTest).
   */
  private long zoneEvidenceAt(Host host) {
    Long reportedAt = lastReportedAtByZone.get(host.zone());
    boolean zoneNotReporting =
        reportedAt != null
            && clock.now() - Math.max(leadingSince, reportedAt) > notReportingAfterMs();
    return zoneNotReporting ? Math.min(lastHeardAt(host), reportedAt) : lastHeardAt(host);
  }

  private long notReportingAfterMs() {
    return Math.round(NOT_REPORTING_LEASE_SHARE * leaseMs);
  }

  /** What the leader before had noticed of a mute machine need not be noticed again. */
  private long initialReportedAt(Host host) {
    long previouslyHeardAt = livenessReports.machineHeardAt(host.id());
    return hasPreviousLeaderReport()
            && livenessReports.at() - previouslyHeardAt > notReportingAfterMs()
        ? previouslyHeardAt
        : clock.now();
  }

  /**
   * True when it answers calls, but its worker has not reported for long. Commands renew no lease,
   * so all that runs there ends with it: such a machine is no better than a silent one, though it
   * can be told to stop something, and its answers prove what they always did.
   */
  boolean isNotReporting(Host host) {
    return host.failedCalls == 0
        && host.lastReachedAt > host.lastReportedAt
        && clock.now() - host.lastReportedAt > notReportingAfterMs();
  }

  /** True when some worker has reported by itself lately. */
  boolean hasRecentReports() {
    long now = clock.now();
    return lastReportedAtByZone.values().stream()
        .anyMatch(reportedAt -> now - reportedAt <= notReportingAfterMs());
  }

  /** True when it has reported lately enough to be worth giving work to. */
  boolean isResponsive(Host host) {
    return clock.now() - host.lastReachedAt < 2 * reportMs
        && host.failedCalls == 0
        && !isNotReporting(host);
  }

  /** True when its report is late, so that it should be asked. */
  boolean isOverdue(Host host) {
    return host.isUp() && clock.now() - host.lastReachedAt > OVERDUE_AFTER_REPORTS * reportMs;
  }

  /**
   * True when this machine's zone has been heard without a break for long enough that this machine
   * should have been, too.
   */
  boolean zoneHeardContinuously(Host host) {
    int machines = upHostsPerZone.count(host.zone());
    return zoneContacts.heardForMs(host.zone(), clock.now(), machines) > 1.5 * reportMs;
  }

  /** How long nothing was heard of it. */
  long silentMs(Host host) {
    return clock.now() - lastHeardAt(host);
  }

  /**
   * True when it was asked several times and has been silent for a while, or is mute and its lease
   * has run out.
   */
  boolean isSilent(Host host) {
    // What the leader before had missed already needs one call more, not a whole new judgement.
    boolean missedBefore = missedByPreviousLeader(host);
    return host.expectedUp()
        && silentMs(host) > SILENT_AFTER_REPORTS * reportMs
        && (host.failedCalls >= (missedBefore ? 1 : 2) || leaseExpired(host))
        && (missedBefore || clock.now() > silenceConclusiveAt);
  }

  private boolean leaseExpired(Host host) {
    return isNotReporting(host) && silentMs(host) > MAX_CLOCK_DRIFT_FACTOR * leaseMs;
  }

  private boolean missedByPreviousLeader(Host host) {
    return !host.wasReached()
        && hasPreviousLeaderReport()
        && livenessReports.at() - livenessReports.machineHeardAt(host.id())
            > OVERDUE_AFTER_REPORTS * reportMs;
  }

  /**
   * True when machines are there, and not one of them reported for longer than any report takes.
   * That they answer calls keeps no lease.
   */
  boolean noWorkerReports() {
    long now = clock.now();
    boolean anyUp = false;
    for (Host host : hostRegistry.all()) {
      if (now - host.lastReportedAt < SILENT_AFTER_REPORTS * reportMs) {
        return false;
      }
      anyUp |= host.isUp();
    }
    return anyUp && now > silenceConclusiveAt && now - leadingSince > 3 * reportMs;
  }
}
