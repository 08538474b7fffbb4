package dapplestair.placement;

import java.util.EnumMap;
import java.util.Map;

/**
 * Obstacles that one placement turn found for a job's waiting tasks.
 *
 * @param waitingTasks tasks that still wait after that turn
 * @param machineVerdicts number of machines for each verdict; empty when no task waits
 * @param jobVerdicts number of tasks for each verdict that holds on whichever machine they might
 *     run
 * @param freeInS seconds until the first allowed machine is expected to have enough free capacity,
 *     or -1
 * @param heldBackS seconds for which the job is still held back, or 0 when it is not
 * @param gangCapacity for a gang, the number of its tasks that fit now; otherwise -1
 */
public record PlacementExplanation(
    int waitingTasks,
    Map<PlacementVerdict, Integer> machineVerdicts,
    Map<PlacementVerdict, Integer> jobVerdicts,
    double freeInS,
    double heldBackS,
    int gangCapacity) {

  static PlacementExplanation noWaitingTasks() {
    return new PlacementExplanation(
        0, new EnumMap<>(PlacementVerdict.class), new EnumMap<>(PlacementVerdict.class), -1, 0, -1);
  }
}
