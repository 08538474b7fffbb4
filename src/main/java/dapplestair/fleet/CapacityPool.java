package dapplestair.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Where a slot's machines can be had. */
record CapacityPool(MachineKind kind, String zone) {
  /** For events. */
  void describe(ObjectNode object) {
    object.put("type", kind.type()).put("spot", kind.spot()).put("zone", zone);
  }
}
