package dapplestair.emulator;

import java.util.List;

/** The controller that a worker reports to. */
final class ControllerSelector {
  private final EmulatedCloud cloud;
  private int currentIndex;

  ControllerSelector(EmulatedCloud cloud) {
    this.cloud = cloud;
  }

  private List<String> members() {
    return cloud.directory().members();
  }

  /** Any of them, to begin with. */
  void selectRandom(EmulatorEnvironment environment) {
    int memberCount = members().size();
    currentIndex = memberCount == 0 ? 0 : (int) environment.between(0, memberCount - 1);
  }

  /** Its address, or null while no controller is known. */
  String endpoint() {
    List<String> members = members();
    return members.isEmpty()
        ? null
        : cloud.directory().endpoint(members.get(currentIndex % members.size()));
  }

  /** Goes to the one that was named; false when that is no other, or unknown. */
  boolean switchTo(String member) {
    int memberIndex = member == null ? -1 : members().indexOf(member);
    if (memberIndex < 0 || memberIndex == currentIndex) {
      return false;
    }
    currentIndex = memberIndex;
    return true;
  }

  /** Goes to the next one. */
  void selectNext() {
    currentIndex = (currentIndex + 1) % Math.max(1, members().size());
  }
}
