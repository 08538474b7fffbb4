package dapplestair.settings;

import java.util.List;
import java.util.Map;

/** What the platform hands over, checked. Durations ending in Ms are milliseconds. */
public record Settings(
    String member,
    String zone,
    Address clientListen,
    Address peerBind,
    List<Peer> peers,
    String cloudEndpoint,
    String stateEndpoint,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    State state,
    Cloud cloud,
    Resources resources) {

  /** A host and a port. */
  public record Address(String host, int port) {
    /** Reads {@code host:port}, or gives null. */
    public static Address parse(String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        return colon > 0 && port >= 0 && port < 65536
            ? new Address(text.substring(0, colon), port)
            : null;
      } catch (NumberFormatException e) {
        return null;
      }
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller. */
  public record Peer(String member, String zone, Address endpoint) {}

  /** A team's guarantee and limit; 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** True when this team has any limit or guarantee. */
    public boolean hasGuaranteeOrLimit() {
      return cpus > 0 || cpusMax > 0 || gpus > 0 || gpusMax > 0;
    }
  }

  /** An aim as its users state it. */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /** Workers' timing. */
  public record Workers(long reportMs, long leaseMs, long cancelMs) {}

  /** The state service's limits. */
  public record State(double rps, double writeRps, int valueBytes, int txnOps) {}

  /** The cloud's limits. */
  public record Cloud(double rps, long listLagMs) {}

  /** This machine. */
  public record Resources(double cpu, double ramMb, int maxConnections) {}

  /** Controllers in all, this one included. */
  public int controllerCount() {
    return peers.size() + 1;
  }

  /** The tightest start time any class is promised, or {@code defaultS}. */
  public double tightestStartS(double defaultS) {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait"))
        .mapToDouble(Objective::withinS)
        .min()
        .orElse(defaultS);
  }
}
