package dapplestair.admin;

import dapplestair.blame.FaultAttribution;
import dapplestair.calendar.Calendars;
import dapplestair.cancellations.Cancellations;
import dapplestair.disruption.DisruptionGate;
import dapplestair.drain.Drains;
import dapplestair.events.EventLog;
import dapplestair.fleet.Fleet;
import dapplestair.lane.Lanes;
import dapplestair.leadership.Leadership;
import dapplestair.ledger.Ledger;
import dapplestair.machines.MachineTypes;
import dapplestair.pause.PauseDetector;
import dapplestair.peers.Peers;
import dapplestair.placement.Placer;
import dapplestair.planning.Autoscaler;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.relay.Relay;
import dapplestair.replacement.Replacements;
import dapplestair.settings.OperatorSettings;
import dapplestair.settings.Settings;
import dapplestair.state.ConditionalWriter;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.workers.WorkerManager;
import dapplestair.zones.Zones;

/** The components of a controller that the operators' interface reads or gives orders to. */
public record ControllerComponents(
    Settings settings,
    OperatorSettings operatorSettings,
    Clock clock,
    Timers timers,
    Leadership leadership,
    Ledger ledger,
    WorkerManager workers,
    Fleet fleet,
    MachineTypes types,
    Placer placer,
    Autoscaler autoscaler,
    Peers peers,
    Replica replica,
    StateClient state,
    Drains drains,
    DisruptionGate disruptionGate,
    Replacements replacements,
    Zones zones,
    Lanes lanes,
    Calendars calendars,
    FaultAttribution faultAttribution,
    ConditionalWriter conditionalWriter,
    Cancellations cancellations,
    Relay relay,
    PauseDetector pauses,
    EventLog events) {}
