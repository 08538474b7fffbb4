package dapplestair.node;

import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The ports and settings of a controller that depend on where it runs: in production or in a test.
 *
 * @param launchBatches whether the launches of many services are recorded by one put; every
 *     controller of the deployment must be able to read these records (docs/silence.md)
 */
public record ControllerEnvironment(
    Clock clock,
    Timers timers,
    BackgroundExecutor background,
    HttpCaller http,
    PeerNetwork peers,
    UniformRandomProvider random,
    boolean launchBatches) {}
