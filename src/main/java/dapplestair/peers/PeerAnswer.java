package dapplestair.peers;

/** The answer to {@link PeerAsk}. */
public record PeerAnswer(long number, byte[] body) {}
