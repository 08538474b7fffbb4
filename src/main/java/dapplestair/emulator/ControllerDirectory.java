package dapplestair.emulator;

import java.util.List;

/** The controllers as the workers know them. */
public interface ControllerDirectory {
  /** Names of all, in a fixed order. */
  List<String> members();

  /** Where a controller serves workers, or null when that is not known now. */
  String endpoint(String member);
}
