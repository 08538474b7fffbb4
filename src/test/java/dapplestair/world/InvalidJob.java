package dapplestair.world;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Creates and recognizes jobs that must be rejected according to the protocol page and to the
 * machines and teams of the simulated cluster.
 */
final class InvalidJob {
  /** The fault of a job, with the status of the answer that it must get. */
  enum Fault {
    MALFORMED(400),
    CANNOT_RUN(422);

    final int status;

    Fault(int status) {
      this.status = status;
    }
  }

  private static final double MACHINE_MEMORY_GB = 64;

  /** Fields that may neither be null nor be missing. */
  private static final List<String> TEXT_FIELDS =
      List.of("ref", "jobclass", "owner", "shape", "rank", "bundle");

  private static final List<String> NUMBER_FIELDS =
      List.of(
          "vcpus", "accelerators", "memoryGb", "imageGb", "guessS", "snapshotEveryS", "snapshotS");

  private static final List<String> BOOLEAN_FIELDS = List.of("together", "apart", "loaners");

  private static final int IMPOSSIBLE_KINDS = 7;

  private InvalidJob() {}

  /** Removes one field of the job, or changes the job so that it can never run. */
  static ObjectNode invalidate(ObjectNode job, EventSimulator sim) {
    if (sim.chance(0.5)) {
      List<List<String>> fieldGroups =
          List.of(TEXT_FIELDS, NUMBER_FIELDS, BOOLEAN_FIELDS, List.of("steps"));
      List<String> fields = fieldGroups.get((int) sim.between(0, fieldGroups.size() - 1));
      // A body without a ref (the first field) would identify no job.
      int firstIndex = fields == TEXT_FIELDS ? 1 : 0;
      job.remove(fields.get((int) sim.between(firstIndex, fields.size() - 1)));
      return job;
    }
    switch ((int) sim.between(1, IMPOSSIBLE_KINDS)) {
      case 1 -> job.put("vcpus", SimulatedCluster.MACHINE_CPUS + 0.5);
      case 2 -> job.put("memoryGb", MACHINE_MEMORY_GB + 1);
      case 3 -> job.put("accelerators", 1.0);
      case 4 -> job.put("owner", "nobody");
      case 5 -> job.put("basin", "no-such-zone");
      case 6 -> job.putArray("hulls").add("no-such-type");
      default -> job.put("shape", "daemon").put("steps", 1000).put("owner", "one");
    }
    return job;
  }

  /** Returns the fault of the job, or null. */
  static Fault faultOf(JsonNode job, SimulatedCluster cluster) {
    boolean wellFormed =
        TEXT_FIELDS.stream().allMatch(f -> job.path(f).isTextual())
            && NUMBER_FIELDS.stream().allMatch(f -> job.path(f).isNumber())
            && BOOLEAN_FIELDS.stream().allMatch(f -> job.path(f).isBoolean())
            && job.path("steps").asInt() >= 1
            && job.path("vcpus").asDouble() > 0;
    if (!wellFormed) {
      return Fault.MALFORMED;
    }
    return fitsMachine(job, cluster) && fitsTeam(job, cluster.size) ? null : Fault.CANNOT_RUN;
  }

  private static boolean fitsMachine(JsonNode job, SimulatedCluster cluster) {
    return job.path("vcpus").asDouble() <= SimulatedCluster.MACHINE_CPUS
        && job.path("memoryGb").asDouble() <= MACHINE_MEMORY_GB
        && job.path("accelerators").asDouble() == 0
        && (!job.path("basin").isTextual()
            || SimulatedCluster.ZONES.contains(job.path("basin").asText()))
        && (!job.path("hulls").isArray()
            || !Collections.disjoint(allowedTypes(job), cluster.machineTypes));
  }

  private static Set<String> allowedTypes(JsonNode job) {
    Set<String> names = new HashSet<>();
    job.path("hulls").forEach(h -> names.add(h.asText()));
    return names;
  }

  private static boolean fitsTeam(JsonNode job, SimulatedCluster.Size size) {
    String team = job.path("owner").asText();
    if (team.equals("guest")) {
      return true;
    }
    boolean array = job.path("shape").asText().equals("sweep");
    double neededCpus = job.path("vcpus").asDouble() * (array ? 1 : job.path("steps").asInt());
    return Set.of("one", "two").contains(team) && neededCpus <= size.maxTeamCpus();
  }
}
