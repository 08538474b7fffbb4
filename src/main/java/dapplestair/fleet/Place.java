package dapplestair.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Where a slot's machines can be had. */
record Place(Slot slot, String zone) {
  /** For events. */
  void describe(ObjectNode o) {
    o.put("type", slot.type()).put("spot", slot.spot()).put("zone", zone);
  }
}
