package dapplestair.settings;

import java.util.List;
import java.util.Map;

/** Validated settings that the platform provides. Names that end in Ms are milliseconds. */
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
    /** Parses {@code host:port}; returns null if the text has another form. */
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

  /** The guarantees and limits of a team; 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Returns whether this team has any guarantee or limit. */
    public boolean hasGuaranteeOrLimit() {
      return cpus > 0 || cpusMax > 0 || gpus > 0 || gpusMax > 0;
    }
  }

  /** A service objective of a class of jobs, as its users state it. */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /** Reporting interval, lease duration and cancellation time of workers. */
  public record Workers(long reportMs, long leaseMs, long cancelMs) {}

  /** Limits of the state service. */
  public record State(double rps, double writeRps, int valueBytes, int txnOps) {}

  /** Limits of the cloud interface. */
  public record Cloud(double rps, long listLagMs) {}

  /** Resources of the machine on which this controller runs. */
  public record Resources(double cpu, double ramMb, int maxConnections) {}

  /** Returns the number of controllers, including this one. */
  public int controllerCount() {
    return peers.size() + 1;
  }

  /**
   * Returns the shortest start time promised to any class, or {@code defaultS} if there is none.
   */
  public double tightestStartS(double defaultS) {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait"))
        .mapToDouble(Objective::withinS)
        .min()
        .orElse(defaultS);
  }
}
