package dapplestair.peers;

/** The answer to a {@link PeerAsk} with the same number. */
public record PeerAnswer(long number, byte[] body) {}
