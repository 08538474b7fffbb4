package dapplestair.node;

import dapplestair.drain.DrainExecutor;
import dapplestair.drain.Drains;
import dapplestair.leadership.TermTimers;
import dapplestair.ports.Clock;
import dapplestair.replacement.Replacements;
import dapplestair.replacement.SurgeCapacity;
import dapplestair.settings.Settings;
import dapplestair.state.ConditionalWriter;
import dapplestair.zones.Zones;

/** Components by which the leader carries out orders of operators on machines and zones. */
final class OperationsComponents implements AutoCloseable {
  final ConditionalWriter conditionalWriter;
  final Drains drains;
  final Replacements replacements;
  final Zones zones;

  OperationsComponents(
      Settings settings,
      ControllerEnvironment environment,
      CoreComponents core,
      SchedulingComponents scheduling) {
    Clock clock = environment.clock();
    TermTimers timers = core.termTimers;
    conditionalWriter = new ConditionalWriter(clock, core.state, core.replica);
    drains =
        new Drains(
            clock,
            timers,
            settings,
            core.state,
            core.replica,
            conditionalWriter,
            core.leadership,
            core.workerManager,
            new DrainExecutor(
                clock, core.workerManager, scheduling.fleet, scheduling.disruptionGate),
            core.events);
    scheduling.demand.setDrainsLackCapacity(drains::lacksCapacity);
    replacements =
        new Replacements(
            clock,
            timers,
            settings,
            core.state,
            core.leadership,
            core.machineTypes,
            core.workerManager,
            drains,
            scheduling.disruptionGate,
            new SurgeCapacity(
                core.workerManager, scheduling.fleet, core.machineTypes, scheduling.autoscaler),
            core.events);
    scheduling.autoscaler.setSurgeMachines(replacements::surgeMachines);
    zones =
        new Zones(
            clock,
            timers,
            settings,
            core.state,
            core.replica,
            core.leadership,
            core.workerManager,
            zone -> !drains.zones().containsKey(zone) && scheduling.fleet.rentCheapestIn(zone),
            core.events);
    scheduling.fleet.setZoneClosedTest(
        zone -> drains.zones().containsKey(zone) || zones.isClosed(zone));
  }

  @Override
  public void close() {
    drains.close();
    replacements.close();
    zones.close();
  }
}
