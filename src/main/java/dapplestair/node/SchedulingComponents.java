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

/** Components that decide which machines are rented and what runs on them; only a leader acts. */
final class SchedulingComponents implements AutoCloseable {
  final LostWork lostWork;
  final DisruptionGate disruptionGate;
  final Fleet fleet;
  final DemandView demand;
  final Lanes lanes;
  final Calendars calendars;
  final ImageLocations imageLocations;
  final Placer placer;
  final ReclaimNoticeHandler reclaimNoticeHandler;
  final Autoscaler autoscaler;
  final FaultAttribution faultAttribution;

  SchedulingComponents(
      Settings settings,
      OperatorSettings operatorSettings,
      ControllerEnvironment environment,
      CoreComponents core) {
    Clock clock = environment.clock();
    TermTimers timers = core.termTimers;
    lostWork =
        new LostWork(
            clock, settings, operatorSettings.budgets(), core.state, core.replica, core.leadership);
    disruptionGate =
        new DisruptionGate(
            clock, operatorSettings.budgets(), core.ledger, core.workerManager, lostWork);
    fleet = createFleet(clock, settings, core, disruptionGate);
    demand =
        new DemandView(
            clock,
            settings,
            core.ledger,
            core.workerManager,
            fleet,
            core.machineTypes,
            core.runtimeEstimates);
    lanes =
        new Lanes(
            clock,
            timers,
            settings,
            operatorSettings.lanes(),
            core.state,
            core.replica,
            core.leadership,
            core.ledger,
            core.workerManager,
            disruptionGate);
    calendars =
        new Calendars(
            clock,
            timers,
            settings,
            operatorSettings.calendars(),
            core.state,
            core.replica,
            core.leadership,
            core.ledger,
            core.events);
    imageLocations =
        new ImageLocations(
            clock, timers, settings, core.state, core.leadership, core.workerManager);
    placer =
        new Placer(
            clock,
            environment.timers(),
            settings,
            core.ledger,
            core.workerManager,
            core.runtimeEstimates,
            disruptionGate,
            lanes,
            calendars,
            demand::cpusForServices,
            operatorSettings.beginWithinMs());
    lanes.setCallbacks(placer::scheduleTurn, placer::isProtectedFromEviction);
    reclaimNoticeHandler = new ReclaimNoticeHandler(clock, disruptionGate, core.runtimeEstimates);
    autoscaler =
        new Autoscaler(
            clock,
            timers,
            environment.background(),
            environment.random(),
            operatorSettings,
            core.leadership,
            core.state,
            core.replica,
            fleet,
            core.machineTypes,
            demand);
    fleet.setCapacityCallbacks(demand::waitingCpus, autoscaler::scheduleEarlyRound);
    calendars.setCallbacks(
        () -> {
          placer.scheduleTurn();
          autoscaler.scheduleEarlyRound();
        },
        () -> core.machineTypes.bootS(null));
    faultAttribution =
        new FaultAttribution(
            clock,
            timers,
            settings.workers().reportMs(),
            core.ledger,
            core.workerManager,
            new FaultAttributionEvents(core.events, autoscaler::scheduleEarlyRound));
  }

  private static Fleet createFleet(
      Clock clock, Settings settings, CoreComponents core, DisruptionGate disruptionGate) {
    return new Fleet(
        clock,
        core.termTimers,
        core.cloud,
        settings,
        core.state,
        core.leadership,
        core.machineTypes,
        core.workerManager,
        disruptionGate,
        core.pauses,
        core.events);
  }

  @Override
  public void close() {
    lanes.close();
    calendars.close();
    imageLocations.close();
    faultAttribution.close();
    autoscaler.close();
    fleet.close();
  }
}
