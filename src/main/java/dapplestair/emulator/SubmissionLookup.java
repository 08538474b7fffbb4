package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;

/** Finds the submission of a task's job, as workers do with what users uploaded. */
@FunctionalInterface
public interface SubmissionLookup {
  /** Returns the submission of this job, in the form of the protocol, or null. */
  JsonNode find(String ref);
}
