package dapplestair.node;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.accepted.AcceptedJobs;
import dapplestair.admin.AdminHandler;
import dapplestair.calendar.Calendars;
import dapplestair.cancellations.Cancellations;
import dapplestair.disruption.LostWork;
import dapplestair.drain.Drains;
import dapplestair.fleet.Fleet;
import dapplestair.lane.Lanes;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.placement.Placer;
import dapplestair.replacement.Replacements;
import dapplestair.state.Replica;
import dapplestair.state.StateKeys;
import dapplestair.weights.ImageLocations;
import dapplestair.zones.Zones;

/**
 * Dispatches each record of the replica to the components that keep it, by the prefix of its key.
 */
final class RecordDispatcher implements Replica.Listener {
  private final Leadership leadership;
  private final Ledger ledger;
  private final Fleet fleet;
  private final Drains drains;
  private final Replacements replacements;
  private final LostWork lostWork;
  private final Zones zones;
  private final Lanes lanes;
  private final Calendars calendars;
  private final ImageLocations imageLocations;
  private final Cancellations cancellations;
  private final AcceptedJobs accepted;
  private final Placer placer;
  private final AdminHandler admin;

  /** Creates a dispatcher; {@code admin} is null if operators are not served. */
  RecordDispatcher(
      CoreComponents core,
      SchedulingComponents scheduling,
      OperationsComponents operations,
      AdminHandler admin) {
    this.leadership = core.leadership;
    this.ledger = core.ledger;
    this.cancellations = core.cancellations;
    this.accepted = core.acceptedJobs;
    this.fleet = scheduling.fleet;
    this.lostWork = scheduling.lostWork;
    this.lanes = scheduling.lanes;
    this.calendars = scheduling.calendars;
    this.imageLocations = scheduling.imageLocations;
    this.placer = scheduling.placer;
    this.drains = operations.drains;
    this.replacements = operations.replacements;
    this.zones = operations.zones;
    this.admin = admin;
  }

  @Override
  public void put(String key, JsonNode value, long stamp) {
    if (key.startsWith(StateKeys.ATTEMPTS)
        || key.startsWith(StateKeys.RENTAL)
        || key.startsWith(StateKeys.LAUNCH_BATCH)) {
      leadership.leaderWriteSeen();
    }
    if (key.startsWith(StateKeys.ATTEMPTS)) {
      int slash = key.lastIndexOf('/');
      ledger.onRunPut(
          key.substring(StateKeys.ATTEMPTS.length(), slash),
          Integer.parseInt(key.substring(slash + 1)),
          value,
          stamp);
    } else if (key.startsWith(StateKeys.LAUNCH_BATCH)) {
      ledger.onLaunchBatchPut(key, value, stamp);
    } else if (key.startsWith(StateKeys.JOB)) {
      ledger.onJobPut(key.substring(StateKeys.JOB.length()), value, stamp);
      accepted.recordLiveJob(key.substring(StateKeys.JOB.length()), stamp);
      if (admin != null) {
        admin.addUnfinishedJob(key.substring(StateKeys.JOB.length()));
      }
    } else if (key.startsWith(StateKeys.RENTAL)) {
      fleet.applyRentalRecord(key.substring(StateKeys.RENTAL.length()), value, stamp);
    } else if (key.equals(StateKeys.LEADER)) {
      leadership.leaderKeyChanged(value, stamp);
    } else if (key.equals(StateKeys.TERM)) {
      leadership.termKeyChanged(value);
    } else if (key.equals(StateKeys.TYPES)) {
      fleet.applyTypesRecord(value, stamp);
    } else if (key.startsWith(StateKeys.DRAIN) || key.startsWith(StateKeys.DRAIN_ZONE)) {
      drains.applyRecord(key, value);
    } else if (key.startsWith(StateKeys.ZONE)) {
      zones.applyRecord(key, value);
    } else if (key.startsWith(StateKeys.LANE)) {
      lanes.applyRecord(key, value);
    } else if (key.startsWith(StateKeys.CALENDAR)) {
      calendars.applyRecord(key, value);
    } else if (key.startsWith(StateKeys.IMAGE_LOCATIONS)) {
      imageLocations.applyRecord(key, value);
    } else if (key.startsWith(StateKeys.REPLACEMENT)) {
      replacements.applyRecord(key, value, stamp);
    } else if (key.startsWith(StateKeys.DISRUPTION)) {
      lostWork.applyRecord(key, value);
    }
  }

  @Override
  public void removed(String key) {
    if (key.startsWith(StateKeys.ATTEMPTS)) {
      int slash = key.lastIndexOf('/');
      ledger.onRunRemoved(
          key.substring(StateKeys.ATTEMPTS.length(), slash),
          Integer.parseInt(key.substring(slash + 1)));
    } else if (key.startsWith(StateKeys.LAUNCH_BATCH)) {
      ledger.onLaunchBatchRemoved(key);
    } else if (key.startsWith(StateKeys.JOB)) {
      // Before the ledger is told: cancellations need the job's records, which the ledger drops
      // then.
      cancellations.recordRemovedJob(key.substring(StateKeys.JOB.length()));
      ledger.onJobRemoved(key.substring(StateKeys.JOB.length()));
      if (admin != null) {
        admin.removeUnfinishedJob(key.substring(StateKeys.JOB.length()));
      }
    } else if (key.startsWith(StateKeys.RENTAL)) {
      fleet.applyRentalRemoval(key.substring(StateKeys.RENTAL.length()));
    } else if (key.equals(StateKeys.LEADER)) {
      leadership.leaderKeyChanged(null, 0);
    } else if (key.equals(StateKeys.TYPES)) {
      fleet.applyTypesRecord(null, 0);
    } else if (key.startsWith(StateKeys.DRAIN) || key.startsWith(StateKeys.DRAIN_ZONE)) {
      drains.applyRecord(key, null);
      placer.scheduleTurn();
    } else if (key.startsWith(StateKeys.ZONE)) {
      zones.applyRecord(key, null);
    } else if (key.startsWith(StateKeys.LANE)) {
      lanes.applyRecord(key, null);
    } else if (key.startsWith(StateKeys.CALENDAR)) {
      calendars.applyRecord(key, null);
    } else if (key.startsWith(StateKeys.IMAGE_LOCATIONS)) {
      imageLocations.applyRecord(key, null);
    } else if (key.startsWith(StateKeys.REPLACEMENT)) {
      replacements.applyRecord(key, null, 0);
    } else if (key.startsWith(StateKeys.DISRUPTION)) {
      lostWork.applyRecord(key, null);
    }
  }

  @Override
  public void loaded() {
    leadership.replicaReady();
    placer.scheduleTurn();
  }
}
