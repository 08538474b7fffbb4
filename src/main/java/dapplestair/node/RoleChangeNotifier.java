package dapplestair.node;

import dapplestair.admin.AdminHandler;
import dapplestair.events.Events;
import dapplestair.leadership.Leadership;

/** Notifies all components, in a fixed order, that this controller begins or ceases to lead. */
final class RoleChangeNotifier implements Leadership.Listener {
  private final String member;
  private final CoreComponents core;
  private final SchedulingComponents scheduling;
  private final OperationsComponents operations;
  private final AdminHandler admin;

  /** Creates a notifier; {@code admin} is null if operators are not served. */
  RoleChangeNotifier(
      String member,
      CoreComponents core,
      SchedulingComponents scheduling,
      OperationsComponents operations,
      AdminHandler admin) {
    this.member = member;
    this.core = core;
    this.scheduling = scheduling;
    this.operations = operations;
    this.admin = admin;
  }

  @Override
  public void lead(long term) {
    core.state.setLeading(true);
    scheduling.fleet.lead();
    core.ledger.beginTerm(term);
    core.acceptedJobs.onLeadershipGained();
    scheduling.disruptionGate.lead();
    core.workerManager.startLeading();
    // Lanes come before placement: capacity that was freed for a rider is reserved for it.
    scheduling.lanes.lead();
    scheduling.calendars.lead();
    scheduling.imageLocations.lead();
    operations.drains.lead();
    operations.replacements.lead();
    operations.zones.lead();
    scheduling.faultAttribution.lead();
    scheduling.autoscaler.lead();
    if (core.eventLog != null) {
      core.eventLog.beginTerm(term);
      core.eventLog.publish(Events.Kind.LEADING, o -> o.put("term", term).put("by", member));
    }
    core.peers.broadcastStatus();
  }

  @Override
  public void follow() {
    core.state.setLeading(false);
    scheduling.autoscaler.clear();
    operations.drains.clear();
    operations.replacements.clear();
    operations.zones.clear();
    scheduling.lanes.clear();
    scheduling.calendars.clear();
    scheduling.imageLocations.clear();
    scheduling.faultAttribution.clear();
    if (admin != null) {
      admin.clearUnfinishedJobs();
    }
    scheduling.fleet.clear();
    core.ledger.clear();
    scheduling.disruptionGate.clear();
    core.workerManager.stopLeading();
    // The memory may hold changes that were never recorded: reload all records.
    core.replica.restart();
    core.peers.broadcastStatus();
  }
}
