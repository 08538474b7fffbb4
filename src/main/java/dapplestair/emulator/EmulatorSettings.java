package dapplestair.emulator;

import java.util.Collection;
import java.util.List;

/**
 * How large the emulated world is and how it behaves. Durations ending in Ms are milliseconds.
 *
 * @param machinesPerZone machines of each type that a zone has of each kind, spot and ordinary
 * @param neverBootingShare share of machines that never come up
 * @param maxTransactionWrites most writes of a transaction
 * @param maxValueBytes largest value
 * @param maxPageRows most rows of a listing
 * @param changesKept changes that may be asked for; older ones are 410
 * @param maxWritesPerSecond puts and deletes a second above which the state service answers 429, or
 *     infinity
 */
public record EmulatorSettings(
    List<MachineSpec> types,
    List<String> zones,
    int machinesPerZone,
    double neverBootingShare,
    long reportMs,
    long leaseMs,
    long listLagMs,
    int maxTransactionWrites,
    int maxValueBytes,
    int maxPageRows,
    int changesKept,
    double maxWritesPerSecond) {

  /** A world whose state service takes any number of writes. */
  public EmulatorSettings(
      List<MachineSpec> types,
      List<String> zones,
      int perPlace,
      double neverBoots,
      long reportMs,
      long leaseMs,
      long listLagMs,
      int txnOps,
      int valueBytes,
      int pageRows,
      int changesKept) {
    this(
        types,
        zones,
        perPlace,
        neverBoots,
        reportMs,
        leaseMs,
        listLagMs,
        txnOps,
        valueBytes,
        pageRows,
        changesKept,
        Double.POSITIVE_INFINITY);
  }

  /** A machine type; prices are per hour. */
  public record MachineSpec(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double spotPrice,
      double bootS) {
    /** The amounts that a task takes of its machine, as a submission names them. */
    public static final List<String> FIELDS = List.of("vcpus", "memoryGb", "accelerators");

    /** True when one more task has room beside these; what has exited holds none. */
    boolean fits(EmulatedTask task, Collection<EmulatedTask> others) {
      return FIELDS.stream().allMatch(f -> task.amount(f) <= freeAmount(others, f) + 1e-9);
    }

    /** What tasks leave of the amount in this field of a submission; what has exited holds none. */
    double freeAmount(Collection<EmulatedTask> tasks, String field) {
      double used =
          tasks.stream().filter(o -> !o.hasExited()).mapToDouble(o -> o.amount(field)).sum();
      return switch (field) {
        case "vcpus" -> cpus - used;
        case "memoryGb" -> memoryGb - used;
        case "accelerators" -> gpus - used;
        default -> throw new IllegalArgumentException("no amount: " + field);
      };
    }
  }

  MachineSpec type(String name) {
    return types.stream().filter(t -> t.name().equals(name)).findFirst().orElse(null);
  }
}
