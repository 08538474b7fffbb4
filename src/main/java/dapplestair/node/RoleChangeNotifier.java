package dapplestair.node;

import dapplestair.admin.AdminHandler;
import dapplestair.events.Events;
import dapplestair.leadership.Leadership;

/** Tells all duties, in order, that this controller begins or ceases to lead. */
final class RoleChangeNotifier implements Leadership.Listener {
  private final String member;
  private final CoreComponents core;
  private final SchedulingComponents scheduling;
  private final OperationsComponents operations;
  private final AdminHandler admin;

  /** {@code admin} is null where operators are not served. */
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
    core.accepted.lead();
    scheduling.disruptionGate.lead();
    core.workers.lead();
    // Before anything is placed: room that was freed for a rider is its own.
    scheduling.lanes.lead();
    scheduling.calendars.lead();
    scheduling.imageLocations.lead();
    operations.drains.lead();
    operations.replacements.lead();
    operations.zones.lead();
    scheduling.faultAttribution.lead();
    scheduling.autoscaler.lead();
    if (core.log != null) {
      core.log.begin(term);
      core.log.note(Events.Kind.LEADING, o -> o.put("term", term).put("by", member));
    }
    core.peers.tell();
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
    core.workers.clear();
    // What was in memory may not be what was recorded: read all of it again.
    core.replica.restart();
    core.peers.tell();
  }
}
