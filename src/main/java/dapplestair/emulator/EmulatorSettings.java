package dapplestair.emulator;

import java.util.Collection;
import java.util.List;

/**
 * Size and behaviour of the emulated cloud, state service and workers. Names of durations in
 * milliseconds end in Ms.
 *
 * @param machinesPerZone how many machines of each type each zone has; the number holds for spot
 *     and for steady machines separately
 * @param neverBootingShare share of machines that never boot
 * @param maxTransactionWrites maximum number of writes in a transaction
 * @param maxValueBytes maximum size of a value
 * @param maxPageRows maximum number of rows in a page of a listing
 * @param changesKept number of latest changes that can be queried; a query from before them is
 *     answered with 410
 * @param maxWritesPerSecond puts and deletes per second above which the state service answers 429,
 *     or infinity
 */
public record EmulatorSettings(
    List<MachineSpec> types,
    List<String> zones,
    int machinesPerZone,
    double neverBootingShare,
    long reportIntervalMs,
    long leaseMs,
    long listLagMs,
    int maxTransactionWrites,
    int maxValueBytes,
    int maxPageRows,
    int changesKept,
    double maxWritesPerSecond) {

  /** Creates settings with no limit on the state service's writes per second. */
  public EmulatorSettings(
      List<MachineSpec> types,
      List<String> zones,
      int machinesPerZone,
      double neverBootingShare,
      long reportIntervalMs,
      long leaseMs,
      long listLagMs,
      int maxTransactionWrites,
      int maxValueBytes,
      int maxPageRows,
      int changesKept) {
    this(
        types,
        zones,
        machinesPerZone,
        neverBootingShare,
        reportIntervalMs,
        leaseMs,
        listLagMs,
        maxTransactionWrites,
        maxValueBytes,
        maxPageRows,
        changesKept,
        Double.POSITIVE_INFINITY);
  }

  /** A machine type. Prices are per hour. */
  public record MachineSpec(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double pricePerHour,
      double spotPricePerHour,
      double bootS) {
    /** The submission's fields that hold the resources a task uses on its machine. */
    public static final List<String> FIELDS = List.of("vcpus", "memoryGb", "accelerators");

    /** Returns true if a task fits beside these others; exited tasks use no resources. */
    boolean fits(EmulatedTask task, Collection<EmulatedTask> others) {
      return FIELDS.stream().allMatch(f -> task.amount(f) <= freeAmount(others, f) + 1e-9);
    }

    /** Returns how much these tasks leave of a field's resource; exited tasks use none. */
    double freeAmount(Collection<EmulatedTask> tasks, String field) {
      double used =
          tasks.stream().filter(o -> !o.hasExited()).mapToDouble(o -> o.amount(field)).sum();
      return switch (field) {
        case "vcpus" -> cpus - used;
        case "memoryGb" -> memoryGb - used;
        case "accelerators" -> gpus - used;
        default ->
            throw new IllegalArgumentException("not a resource field of a submission: " + field);
      };
    }
  }

  MachineSpec type(String name) {
    return types.stream().filter(t -> t.name().equals(name)).findFirst().orElse(null);
  }
}
