package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;

/** Where workers find what their users uploaded. */
@FunctionalInterface
public interface SubmissionLookup {
  /** The submission of this id, in the form of the protocol, or null. */
  JsonNode find(String ref);
}
