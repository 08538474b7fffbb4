package dapplestair.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Where a slot's machines can be had. */
record CapacityPool(MachineKind slot, String zone) {
  /** For events. */
  void describe(ObjectNode object) {
    object.put("type", slot.type()).put("spot", slot.spot()).put("zone", zone);
  }
}
