package dapplestair.peers;

/** The first message on a link; names the sending controller. */
public record PeerHello(String member) {}
