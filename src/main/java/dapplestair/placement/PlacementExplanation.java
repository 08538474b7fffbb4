package dapplestair.placement;

import java.util.EnumMap;
import java.util.Map;

/**
 * What one turn of placing found in the way of a job's waiting tasks.
 *
 * @param waitingTasks tasks that wait after that turn
 * @param machineVerdicts how many machines each verdict was given to; empty when nothing waits
 * @param jobVerdicts what stands in the way wherever it might run
 * @param freeInS seconds until the first allowed machine is expected to have room, or -1
 * @param heldBackS seconds for which the job is held back, 0 when it is not
 * @param gangCapacity for a gang, how many of its tasks there is room for; else -1
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
