package dapplestair.peers;

/** A question to one peer; {@code number} is repeated in its answer. */
public record PeerAsk(long number, String topic, byte[] body) {}
