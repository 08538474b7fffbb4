package dapplestair.node;

import dapplestair.ports.Background;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpCaller;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import org.apache.commons.rng.UniformRandomProvider;

/** Everything a controller is given from outside itself. */
public record Outside(
    Clock clock,
    Timers timers,
    Background background,
    HttpCaller http,
    PeerNetwork peers,
    UniformRandomProvider random) {}
