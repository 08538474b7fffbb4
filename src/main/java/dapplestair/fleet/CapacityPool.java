package dapplestair.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A kind of machine in one zone, for which the cloud has a capacity of its own. */
record CapacityPool(MachineKind kind, String zone) {
  /** Writes the fields that events about this pool contain. */
  void describe(ObjectNode object) {
    object.put("type", kind.type()).put("spot", kind.spot()).put("zone", zone);
  }
}
