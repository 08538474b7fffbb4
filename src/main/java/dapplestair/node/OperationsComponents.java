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

/** What operators ask of machines and zones, carried out by the leader. */
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
            core.workers,
            new DrainExecutor(clock, core.workers, scheduling.fleet, scheduling.disruptionGate),
            core.events);
    scheduling.demand.setDrainsLackCapacity(drains::lacksCapacity);
    replacements =
        new Replacements(
            clock,
            timers,
            settings,
            core.state,
            core.leadership,
            core.types,
            core.workers,
            drains,
            scheduling.disruptionGate,
            new SurgeCapacity(core.workers, scheduling.fleet, core.types, scheduling.autoscaler),
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
            core.workers,
            z -> !drains.zones().containsKey(z) && scheduling.fleet.rentCheapestIn(z),
            core.events);
    scheduling.fleet.setZoneClosedTest(z -> drains.zones().containsKey(z) || zones.isClosed(z));
  }

  @Override
  public void close() {
    drains.close();
    replacements.close();
    zones.close();
  }
}
