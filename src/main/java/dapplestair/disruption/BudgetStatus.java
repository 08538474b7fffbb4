package dapplestair.disruption;

/**
 * How a team stands against its budget.
 *
 * @param wanted replicas that its services want
 * @param out replicas that are out, for whatever reason
 * @param stopping those among them that are being stopped
 * @param allowed replicas that may be out at once
 * @param arraysOut tasks of arrays that are stopped, or lost, and not running again
 * @param arraysAllowed how many of them may be
 * @param lostCpuS work thrown away or reserved in the last hour, CPU seconds
 * @param lostAllowed how much of it may be
 */
public record BudgetStatus(
    int wanted,
    int out,
    int stopping,
    int allowed,
    int arraysOut,
    int arraysAllowed,
    double lostCpuS,
    double lostAllowed) {}
