package dapplestair.emulator;

import java.util.List;

/** The controller that a worker reports to. */
final class ControllerSelector {
  private final EmulatedCloud cloud;
  private int node;

  ControllerSelector(EmulatedCloud cloud) {
    this.cloud = cloud;
  }

  private List<String> members() {
    return cloud.directory().members();
  }

  /** Any of them, to begin with. */
  void any(EmulatorEnvironment environment) {
    int controllers = members().size();
    node = controllers == 0 ? 0 : (int) environment.between(0, controllers - 1);
  }

  /** Its address, or null while no controller is known. */
  String endpoint() {
    List<String> members = members();
    return members.isEmpty()
        ? null
        : cloud.directory().endpoint(members.get(node % members.size()));
  }

  /** Goes to the one that was named; false when that is no other, or unknown. */
  boolean named(String member) {
    int named = member == null ? -1 : members().indexOf(member);
    if (named < 0 || named == node) {
      return false;
    }
    node = named;
    return true;
  }

  /** Goes to the next one. */
  void next() {
    node = (node + 1) % Math.max(1, members().size());
  }
}
