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

/**
 * Tracks when each machine and zone was last heard, and decides whether their silence proves that
 * they are unreachable.
 */
final class LivenessTracker {
  // In report intervals. A report may be up to a quarter of an interval late; a machine counts as
  // silent only after two more calls have gone unanswered.
  private static final double OVERDUE_AFTER_REPORTS = 1.35;
  private static final double SILENT_AFTER_REPORTS = 1.9;

  // Once this share of its lease has passed without a report, too little of the lease is left for a
  // task that starts on the machine.
  private static final double NOT_REPORTING_LEASE_SHARE = 0.5;

  // Upper bound on how much the clocks of controllers and workers drift apart.
  private static final double MAX_CLOCK_DRIFT_FACTOR = 1.01;

  private final Clock clock;
  private final HostRegistry hostRegistry;
  private final long reportMs;
  private final long leaseMs;
  private final ZoneContactTracker zoneContacts;
  private final Multiset<String> upHostsPerZone = HashMultiset.create();
  private final LivenessReports livenessReports = new LivenessReports();

  // When any worker of the zone last sent a report of its own accord.
  private final Map<String, Long> lastReportedAtByZone = new HashMap<>();

  // Zones in which no machine is heard at present, with the time at which one was last heard.
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

  /**
   * Begins a turn: counts the machines of each zone and finds the silent zones. The next turn is
   * due {@code intervalMs} later.
   */
  void beginTurn(long intervalMs) {
    long now = clock.now();
    if (now - nextTurnAt > reportMs / 6) {
      // This process itself was paused. Replies may be waiting unread, so silence proves nothing
      // for now.
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
   * Finds the zones that are silent. A zone is silent when none of its machines was heard for
   * longer than the longest gap to expect between the reports of that many machines, and another
   * zone was heard that long after the zone's last report. If all zones fall silent, this
   * controller is cut off itself, and one of the zones is always the first to go over its limit. A
   * zone with a single machine is never called silent. For a while after this controller begins to
   * lead, or after this process was paused, silence is not conclusive unless the previous leader
   * had already noticed it.
   */
  private void findSilentZones(long now) {
    Map<String, ZoneObservation> observations = new HashMap<>();
    for (Host host : hostRegistry.all()) {
      if (host.isExpectedUp() && host.zone() != null && !isPossiblyReturned(host)) {
        ZoneObservation observation =
            observations.computeIfAbsent(host.zone(), zone -> new ZoneObservation());
        observation.hostCount++;
        observation.lastHeardAt = Math.max(observation.lastHeardAt, zoneEvidenceAt(host));
      }
    }
    // A zone whose machines have all been given up stays silent until a machine is heard there,
    // since a machine rented there would not be heard either. After three leases the zone is tried
    // again.
    Map<String, Long> silentBefore = Map.copyOf(lastHeardAtBySilentZone);
    lastHeardAtBySilentZone.clear();
    silentBefore.forEach(
        (zone, lastHeardAt) -> {
          boolean heardAgain = zoneContacts.lastHeardMs(zone) > lastHeardAt;
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
          Math.max(observation.lastHeardAt, livenessReports.zoneHeardAtMs(entry.getKey()));
      long maxGapMs = zoneContacts.maxGapMs(observation.hostCount);
      boolean noticedByPreviousLeader =
          hasPreviousLeaderReport() && livenessReports.leaderReportAtMs() - lastHeardAt > maxGapMs;
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
   * Returns true when this machine may have been returned under an earlier leader, and is known
   * only from a report that a network cut delayed. Such a machine is never heard again, which says
   * nothing about its zone. When it was counted, a zone that could be reached again looked silent,
   * and nothing is rented in a silent zone for three leases.
   */
  private boolean isPossiblyReturned(Host host) {
    return host.firstListedAt() == Long.MAX_VALUE
        && (host.rentedAt() == Long.MAX_VALUE
            || hasPreviousLeaderReport() && livenessReports.isReportedGone(host.id()));
  }

  /** Returns true when a machine is held in this zone, whether or not it is heard. */
  boolean hasMachinesIn(String zone) {
    return hostRegistry.all().stream()
        .anyMatch(
            host ->
                zone.equals(host.zone())
                    && !host.isReleasing()
                    && !isPossiblyReturned(host)
                    && !goneByPreviousLeader(host));
  }

  /** Returns true when the previous leader had proved that this machine is gone. */
  boolean goneByPreviousLeader(Host host) {
    return !host.isUp() && hasPreviousLeaderReport() && livenessReports.isReportedGone(host.id());
  }

  /**
   * Returns how long no machine of this zone has been heard, or 0 when the zone is heard or its
   * silence is not conclusive.
   */
  long zoneSilentMs(String zone) {
    Long lastHeardAt = lastHeardAtBySilentZone.get(zone);
    return lastHeardAt == null ? 0 : clock.now() - lastHeardAt;
  }

  /**
   * Returns true when this leader reached one of the zone's machines within the longest time to
   * expect between two reports.
   */
  boolean isZoneHeard(String zone) {
    return clock.now() - zoneContacts.lastHeardMs(zone)
        < Math.round(OVERDUE_AFTER_REPORTS * reportMs);
  }

  // ---- shared with the other controllers ----

  /** Receives what another controller reports about the machines and zones that it hears. */
  void receive(LivenessReport livenessReport) {
    livenessReports.add(livenessReport, clock.now());
  }

  /**
   * Returns the liveness report for the other controllers. Single machines are included only by a
   * leader to which silence is conclusive.
   */
  LivenessReport createReport(boolean isLeading, long term) {
    long now = clock.now();
    Map<String, Long> zoneAgesMs = new HashMap<>();
    Map<String, Long> overdueAgesMs = new HashMap<>();
    for (String zone : upHostsPerZone.elementSet()) {
      zoneAgesMs.merge(zone, now - zoneContacts.lastHeardMs(zone), Math::min);
    }
    boolean isConclusive = isLeading && now > silenceConclusiveAt;
    if (isConclusive) {
      for (Host host : hostRegistry.all()) {
        if (host.isExpectedUp() && now - lastHeardAt(host) > OVERDUE_AFTER_REPORTS * reportMs) {
          overdueAgesMs.put(host.id(), now - lastHeardAt(host));
        }
      }
    }
    Map<String, Long> goneAgesMs = isConclusive ? hostRegistry.goneAgesMs(leaseMs) : Map.of();
    return new LivenessReport(
        isConclusive ? term : 0, ++reportNumber, zoneAgesMs, overdueAgesMs, goneAgesMs);
  }

  /**
   * Returns when this machine was last heard. Until it is reached in this term, that is the time at
   * which this controller came to know of it, or the time at which the previous leader last heard
   * it if that is known and earlier.
   */
  private long lastHeardAt(Host host) {
    if (host.wasReached()) {
      return isNotReporting(host) ? host.lastReportedAt : host.lastReachedAt;
    }
    return hasPreviousLeaderReport()
        ? Math.min(host.knownSince(), livenessReports.machineHeardAtMs(host.id()))
        : host.knownSince();
  }

  /**
   * Returns true when the previous leader sent liveness reports until shortly before this
   * controller began to lead.
   */
  private boolean hasPreviousLeaderReport() {
    return livenessReports.leaderReportAtMs() > leadingSince - 2 * reportMs;
  }

  /**
   * Records that a machine was reached, either by a report of its own or by its reply to a call.
   */
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

  /** Records that a machine in this zone was heard just now. */
  void recordZoneContact(String zone, boolean isOwnReport) {
    long now = clock.now();
    if (isOwnReport) {
      lastReportedAtByZone.put(zone, now);
    } else if (now - Math.max(leadingSince, lastReportedAtByZone.getOrDefault(zone, 0L))
        > notReportingAfterMs()) {
      // No worker of the zone reports. Replies to calls renew none of their leases, so they don't
      // count.
      return;
    }
    zoneContacts.recordHeard(zone, now, upHostsPerZone.count(zone));
  }

  /**
   * Returns the time at which this machine last showed that its zone can be heard. While no worker
   * of the zone reports, a new machine's first reply to a call doesn't count: it would make a zone
   * whose reports are lost look heard (OutboundCutTest).
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

  /**
   * Returns the time of the last report to assume for a machine that is reached by a call first. If
   * the previous leader had already noticed that the machine doesn't report, this leader need not
   * wait for that again.
   */
  private long initialReportedAt(Host host) {
    long previouslyHeardAt = livenessReports.machineHeardAtMs(host.id());
    return hasPreviousLeaderReport()
            && livenessReports.leaderReportAtMs() - previouslyHeardAt > notReportingAfterMs()
        ? previouslyHeardAt
        : clock.now();
  }

  /**
   * Returns true when the machine answers calls, but its worker has not reported for a long time.
   * Commands renew no lease, so everything that runs there ends with the lease. Such a machine is
   * no better than a silent one, although it can still be told to stop a task, and its replies
   * prove as much as any other reply.
   */
  boolean isNotReporting(Host host) {
    return host.failedCalls == 0
        && host.lastReachedAt > host.lastReportedAt
        && clock.now() - host.lastReportedAt > notReportingAfterMs();
  }

  /** Returns true when any worker has recently sent a report of its own accord. */
  boolean hasRecentReports() {
    long now = clock.now();
    return lastReportedAtByZone.values().stream()
        .anyMatch(reportedAt -> now - reportedAt <= notReportingAfterMs());
  }

  /** Returns true when the machine was reached recently enough to be given work. */
  boolean isResponsive(Host host) {
    return clock.now() - host.lastReachedAt < 2 * reportMs
        && host.failedCalls == 0
        && !isNotReporting(host);
  }

  /** Returns true when the machine's report is late, so that the machine should be probed. */
  boolean isOverdue(Host host) {
    return host.isUp() && clock.now() - host.lastReachedAt > OVERDUE_AFTER_REPORTS * reportMs;
  }

  /**
   * Returns true when this machine's zone has been heard without a gap for so long that this
   * machine should have been heard, too.
   */
  boolean zoneHeardContinuously(Host host) {
    int machines = upHostsPerZone.count(host.zone());
    return zoneContacts.heardForMs(host.zone(), clock.now(), machines) > 1.5 * reportMs;
  }

  /** Returns how long this machine has not been heard. */
  long silentMs(Host host) {
    return clock.now() - lastHeardAt(host);
  }

  /**
   * Returns true when the machine has been silent for a while and several calls to it failed, or
   * when it doesn't report and its lease has expired.
   */
  boolean isSilent(Host host) {
    // If the previous leader had already missed this machine, one failed call is enough to confirm
    // it.
    boolean missedBefore = missedByPreviousLeader(host);
    return host.isExpectedUp()
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
        && livenessReports.leaderReportAtMs() - livenessReports.machineHeardAtMs(host.id())
            > OVERDUE_AFTER_REPORTS * reportMs;
  }

  /**
   * Returns true when there are machines that are up, and none of them has reported for longer than
   * any report is delayed. Replies to calls don't count, since they renew no lease.
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
