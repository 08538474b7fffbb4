package dapplestair.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;

/** An order with where it stands, as this controller last saw it recorded. */
final class ReplacementState {
  final String name;
  final ReplacementOrder order;
  ReplacementProgress progress;
  long stamp;

  /** A put is under way: nothing new is decided before its outcome is known. */
  boolean writing;

  // Of this leader only: since when something has stood still or gone wrong.
  long badSince;
  String bad;
  long goodSince;
  long emptiedAt;
  boolean cramped;
  long swappedAt;

  // Stood still for want of room since a machine was emptied last; they wait for their next turn.
  final Set<String> passed = new HashSet<>();

  ReplacementState(String name, JsonNode value, long stamp) {
    this.name = name;
    this.order = ReplacementOrder.parse(value);
    this.progress = ReplacementProgress.read(value);
    this.stamp = stamp;
  }

  ObjectNode record(ReplacementProgress progress) {
    ObjectNode object = order.toJson();
    progress.write(object);
    return object;
  }

  boolean active() {
    return progress.paused() == null && progress.phase() != ReplacementProgress.Phase.DONE;
  }
}
