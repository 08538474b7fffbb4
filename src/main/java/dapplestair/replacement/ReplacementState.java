package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;

/** An order with its progress, as this controller last saw it recorded. */
final class ReplacementState {
  final String name;
  final ReplacementOrder order;
  ReplacementProgress progress;
  long stamp;

  /** Whether a put is in flight; no new decision is made before its outcome is known. */
  boolean writeInFlight;

  // Observations of this leader, not recorded: since when the order has been blocked, healthy or
  // short of capacity.
  long blockedSinceMs;
  String lastRecordedRemark;
  long healthySinceMs;
  long emptiedAtMs;
  boolean lacksCapacity;
  long lastSwapAtMs;

  // Machines passed over for lack of capacity since a batch was last emptied; they wait for their
  // next turn.
  final Set<String> passedOver = new HashSet<>();

  ReplacementState(String name, JsonNode value, long stamp) {
    this.name = name;
    this.order = ReplacementOrder.parse(value);
    this.progress = ReplacementProgress.read(value);
    this.stamp = stamp;
  }

  ObjectNode toJson(ReplacementProgress progress) {
    ObjectNode object = order.toJson();
    progress.writeTo(object);
    return object;
  }

  boolean isActive() {
    return progress.pauseReason() == null && progress.phase() != ReplacementProgress.Phase.DONE;
  }
}
