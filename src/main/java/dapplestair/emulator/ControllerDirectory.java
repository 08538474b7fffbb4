package dapplestair.emulator;

import java.util.List;

/** The controllers that emulated workers know, with their addresses. */
public interface ControllerDirectory {
  /** Returns the names of all controllers, in a fixed order. */
  List<String> members();

  /** Returns the address at which a controller serves workers, or null while it is unknown. */
  String endpoint(String member);
}
