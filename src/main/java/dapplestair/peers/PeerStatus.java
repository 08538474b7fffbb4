package dapplestair.peers;

/**
 * The status that a controller sends to all peers several times a second.
 *
 * @param term highest term that the controller knows of
 * @param leader the leader of that term as far as the controller knows, or null
 * @param stateReachable whether the controller reaches the state service
 * @param ready whether the controller accepts requests
 * @param beats number of worker reports that the controller received recently
 * @param puts writes to the state service per second that the controller makes or would make
 */
public record PeerStatus(
    long term, String leader, boolean stateReachable, boolean ready, int beats, float puts) {}
