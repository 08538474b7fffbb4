package dapplestair.peers;

/**
 * A request to one peer.
 *
 * @param number identifies the request among those of all processes of the sender, and is repeated
 *     in its answer; 0 if no answer is expected
 * @param topic selects the handler at the peer
 * @param body content of the request, encoded by the topic's own codec
 */
public record PeerAsk(long number, String topic, byte[] body) {}
