package dapplestair.emulator;

import java.util.List;

/** Selects the controller that a worker reports to. */
final class ControllerSelector {
  private final EmulatedCloud cloud;
  private int currentIndex;

  ControllerSelector(EmulatedCloud cloud) {
    this.cloud = cloud;
  }

  private List<String> members() {
    return cloud.directory().members();
  }

  /** Selects a random controller, as a worker does when it has booted. */
  void selectRandom(EmulatorEnvironment environment) {
    int memberCount = members().size();
    currentIndex = memberCount == 0 ? 0 : (int) environment.between(0, memberCount - 1);
  }

  /** Returns the address of the selected controller, or null while no controller is known. */
  String endpoint() {
    List<String> members = members();
    return members.isEmpty()
        ? null
        : cloud.directory().endpoint(members.get(currentIndex % members.size()));
  }

  /** Selects the named controller. Returns false if it is null, unknown or already selected. */
  boolean switchTo(String member) {
    int memberIndex = member == null ? -1 : members().indexOf(member);
    if (memberIndex < 0 || memberIndex == currentIndex) {
      return false;
    }
    currentIndex = memberIndex;
    return true;
  }

  /** Selects the next controller in the directory's order. */
  void selectNext() {
    currentIndex = (currentIndex + 1) % Math.max(1, members().size());
  }
}
