package dapplestair.peers;

/** First message on a link: who speaks. */
public record PeerHello(String member) {}
