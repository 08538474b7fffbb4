package dapplestair.node;

import dapplestair.blame.FaultAttribution;
import dapplestair.calendar.Calendars;
import dapplestair.disruption.DisruptionGate;
import dapplestair.disruption.LostWork;
import dapplestair.fleet.Fleet;
import dapplestair.lane.Lanes;
import dapplestair.leadership.TermTimers;
import dapplestair.placement.Placer;
import dapplestair.placement.ReclaimNoticeHandler;
import dapplestair.planning.Autoscaler;
import dapplestair.planning.DemandView;
import dapplestair.ports.Clock;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.weights.ImageLocations;

/** Which machines are rented and what runs on them: only a leader's work. */
final class SchedulingComponents implements AutoCloseable {
  final LostWork lostWork;
  final DisruptionGate disruption;
  final Fleet fleet;
  final DemandView demand;
  final Lanes lanes;
  final Calendars calendars;
  final ImageLocations weights;
  final Placer placer;
  final ReclaimNoticeHandler departures;
  final Autoscaler planning;
  final FaultAttribution blame;

  SchedulingComponents(
      Settings settings,
      OperatorSettings operator,
      ControllerEnvironment outside,
      CoreComponents core) {
    Clock clock = outside.clock();
    TermTimers timers = core.termTimers;
    lostWork =
        new LostWork(
            clock, settings, operator.budgets(), core.state, core.replica, core.leadership);
    disruption = new DisruptionGate(clock, operator.budgets(), core.ledger, core.workers, lostWork);
    fleet =
        new Fleet(
            clock,
            timers,
            core.cloud,
            settings,
            core.state,
            core.leadership,
            core.types,
            core.workers,
            disruption,
            core.events);
    demand =
        new DemandView(
            clock, settings, core.ledger, core.workers, fleet, core.types, core.estimates);
    lanes =
        new Lanes(
            clock,
            timers,
            settings,
            operator.lanes(),
            core.state,
            core.replica,
            core.leadership,
            core.ledger,
            core.workers,
            disruption);
    calendars =
        new Calendars(
            clock,
            timers,
            settings,
            operator.calendars(),
            core.state,
            core.replica,
            core.leadership,
            core.ledger,
            core.events);
    weights =
        new ImageLocations(clock, timers, settings, core.state, core.leadership, core.workers);
    placer =
        new Placer(
            clock,
            outside.timers(),
            settings,
            core.ledger,
            core.workers,
            core.estimates,
            disruption,
            lanes,
            calendars,
            demand::roomForServices,
            operator.beginWithinMs());
    lanes.wire(placer::nudge, placer::shelters);
    departures = new ReclaimNoticeHandler(clock, disruption, core.estimates);
    planning =
        new Autoscaler(
            clock,
            timers,
            outside.background(),
            outside.random(),
            operator,
            core.leadership,
            core.state,
            core.replica,
            fleet,
            core.types,
            demand);
    fleet.weigh(demand::waitingCpus, planning::soon);
    calendars.wire(
        () -> {
          placer.nudge();
          planning.soon();
        },
        () -> core.types.bootS(null));
    blame =
        new FaultAttribution(
            clock,
            timers,
            settings.workers().reportMs(),
            core.ledger,
            core.workers,
            new FaultAttributionEvents(core.events, planning::soon));
  }

  @Override
  public void close() {
    lanes.close();
    calendars.close();
    weights.close();
    blame.close();
    planning.close();
    fleet.close();
  }
}
