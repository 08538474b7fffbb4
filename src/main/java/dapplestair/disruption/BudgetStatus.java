package dapplestair.disruption;

/**
 * The use of a team's disruption budget.
 *
 * @param wantedReplicas number of replicas that the team's services want
 * @param unavailableReplicas number of replicas that are unavailable, for any reason
 * @param stoppingReplicas number of unavailable replicas that are being stopped
 * @param maxUnavailableReplicas maximum number of replicas that may be unavailable at once
 * @param unavailableArrayTasks number of array tasks that are stopped or lost and not running again
 * @param maxUnavailableArrayTasks maximum number of array tasks that may be unavailable at once
 * @param lostCpuS work lost or reserved in the last hour, in CPU seconds
 * @param maxLostCpuS maximum work that may be lost in an hour, in CPU seconds
 */
public record BudgetStatus(
    int wantedReplicas,
    int unavailableReplicas,
    int stoppingReplicas,
    int maxUnavailableReplicas,
    int unavailableArrayTasks,
    int maxUnavailableArrayTasks,
    double lostCpuS,
    double maxLostCpuS) {}
