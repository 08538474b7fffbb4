package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;

/** Finds the submissions that users uploaded; workers read there what a task is to run. */
@FunctionalInterface
public interface SubmissionLookup {
  /** Returns the submission of this job, in the form of the protocol, or null. */
  JsonNode find(String ref);
}
