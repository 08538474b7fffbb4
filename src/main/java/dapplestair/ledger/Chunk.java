package dapplestair.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The attempts and completions of a range of consecutive tasks, recorded under one key. */
final class Chunk {
  final int index;
  final int firstStep;
  final int size;

  /** The completed steps, relative to {@link #firstStep}. */
  final BitSet completedSteps = new BitSet();

  /** The attempts whose absence is not proved, by absolute step. */
  final Int2ObjectOpenHashMap<Attempt> attemptsByStep = new Int2ObjectOpenHashMap<>();

  long lastNumber;

  /** The highest attempt number that the record in the state service has reached. */
  long recordedNumber;

  /** Launch batches with attempts that the chunk's own record does not have yet. */
  final Set<LaunchBatch> launchBatches = new HashSet<>();

  long stamp;
  boolean dirty;

  /** True if changes other than launches are not on record yet. */
  boolean hasUnrecordedEnds;

  boolean hasUrgentLaunches;
  boolean launchQueued;
  boolean inFlight;

  Chunk(int index, int chunkSize, int steps) {
    this.index = index;
    this.firstStep = index * chunkSize;
    this.size = Math.min(chunkSize, steps - firstStep);
  }

  // Steps whose last attempt ended before the step was done, until they run again. Usually none, so
  // the set is created on demand.
  private IntOpenHashSet interruptedSteps;

  /** The most steps that may have been interrupted before this leader's term. */
  private int maxUnknownInterrupted;

  void markInterrupted(int step) {
    if (interruptedSteps == null) {
      interruptedSteps = new IntOpenHashSet();
    }
    interruptedSteps.add(step);
  }

  void markResumed(int step) {
    if (interruptedSteps != null) {
      interruptedSteps.remove(step);
    }
  }

  /**
   * Computes how many of the steps that wait when a leader's term begins may have run before: every
   * launch took a number, each step that is done or held took at least one, and the other numbers
   * may belong to any waiting step. A gang's members share their numbers.
   */
  void computeMaxUnknownInterrupted(boolean gang) {
    int doneOrHeld = attemptsByStep.size() + completedSteps.cardinality();
    long otherNumbers = gang ? (lastNumber > 0 ? size : 0) : Math.max(0, lastNumber - doneOrHeld);
    maxUnknownInterrupted = (int) Math.min(otherNumbers, size - doneOrHeld);
  }

  /**
   * Returns the number of steps that wait or start again after an interruption, never too few.
   *
   * @param startingOrDone number of attempts in memory that are only starting, or are done
   */
  int maxInterruptedWaiting(int startingOrDone) {
    int knownInterrupted = interruptedSteps == null ? 0 : interruptedSteps.size();
    int candidates = size - completedSteps.cardinality() - attemptsByStep.size() + startingOrDone;
    return Math.max(0, Math.min(candidates, knownInterrupted + maxUnknownInterrupted));
  }

  boolean isFree(int step) {
    return !completedSteps.get(step - firstStep) && !attemptsByStep.containsKey(step);
  }

  boolean hasNoAttempts() {
    return attemptsByStep.isEmpty();
  }

  /** Returns the first step at or after {@code step} that is neither done nor held, or -1. */
  int nextFree(int step) {
    for (int i = completedSteps.nextClearBit(step - firstStep);
        i < size;
        i = completedSteps.nextClearBit(i + 1)) {
      if (!attemptsByStep.containsKey(firstStep + i)) {
        return firstStep + i;
      }
    }
    return -1;
  }

  /**
   * Returns the chunk's record; {@code probesFailed} is 0 unless the job fails wherever it runs.
   */
  ObjectNode toJson(int probesFailed) {
    ObjectNode object = Json.object().put("t", lastNumber);
    if (probesFailed > 0) {
      object.put("w", probesFailed);
    }
    if (!completedSteps.isEmpty()) {
      ArrayNode array = object.putArray("d");
      for (int i = completedSteps.nextSetBit(0); i >= 0; ) {
        int end = completedSteps.nextClearBit(i);
        array.add(i).add(end);
        i = completedSteps.nextSetBit(end);
      }
    }
    writeLive(object);
    return object;
  }

  /**
   * Writes attempts by machine and zones by number, since each put carries the whole record to
   * every replica.
   */
  private void writeLive(ObjectNode object) {
    List<String> zones = new ArrayList<>();
    ObjectNode byHost = Json.object();
    for (Attempt attempt : attemptsByStep.values()) {
      // A completed attempt needs no entry: its step is recorded as done.
      if (attempt.done) {
        continue;
      }
      if (!zones.contains(attempt.zone)) {
        zones.add(attempt.zone);
      }
      // For attempts, a later session of a machine counts as another machine.
      String hostAndSession = attempt.host + " " + attempt.session;
      ArrayNode hostAttempts = (ArrayNode) byHost.get(hostAndSession);
      if (hostAttempts == null) {
        hostAttempts = byHost.putArray(hostAndSession).add(zones.indexOf(attempt.zone));
      }
      hostAttempts.add(attempt.step).add(attempt.number);
    }
    ArrayNode array = object.putArray("z");
    zones.forEach(array::add);
    object.set("h", byHost);
  }

  /** Reads a record and passes each attempt in it to {@code consumer}. */
  void read(JsonNode value, long newStamp, RecordedAttempts consumer) {
    stamp = newStamp;
    lastNumber = Json.number(value, "t", 0);
    recordedNumber = lastNumber;
    JsonNode completedRanges = value.path("d");
    for (int i = 0; i + 1 < completedRanges.size(); i += 2) {
      completedSteps.set(completedRanges.get(i).asInt(), completedRanges.get(i + 1).asInt());
    }
    forEachAttempt(value, consumer);
  }

  /** Passes each attempt of a record to {@code consumer}. */
  static void forEachAttempt(JsonNode value, RecordedAttempts consumer) {
    JsonNode zones = value.path("z");
    value
        .path("h")
        .fields()
        .forEachRemaining(
            hostEntry -> {
              int space = hostEntry.getKey().lastIndexOf(' ');
              String host = hostEntry.getKey().substring(0, space);
              long session = Long.parseLong(hostEntry.getKey().substring(space + 1));
              JsonNode hostAttempts = hostEntry.getValue();
              String zone = zones.path(hostAttempts.path(0).asInt()).asText();
              for (int i = 1; i + 1 < hostAttempts.size(); i += 2) {
                consumer.attempt(
                    hostAttempts.get(i).asInt(),
                    hostAttempts.get(i + 1).asLong(),
                    host,
                    zone,
                    session);
              }
            });
    // The format of version 0.1.0, with one entry for each attempt.
    for (JsonNode entry : value.path("l")) {
      consumer.attempt(
          entry.path(0).asInt(),
          entry.path(1).asLong(),
          entry.path(2).asText(),
          entry.path(3).asText(),
          entry.path(4).asLong());
    }
  }

  /** Returns how many probes of the job have failed, according to a record. */
  static int probesFailed(JsonNode value) {
    return (int) Json.number(value, "w", 0);
  }

  /** Receives the attempts of a record. */
  interface RecordedAttempts {
    void attempt(int step, long number, String host, String zone, long session);
  }

  /** Returns the number of completed steps in a record, without building a chunk. */
  static int countDone(JsonNode value) {
    JsonNode completedRanges = value.path("d");
    int count = 0;
    for (int i = 0; i + 1 < completedRanges.size(); i += 2) {
      count += completedRanges.get(i + 1).asInt() - completedRanges.get(i).asInt();
    }
    return count;
  }

  /** Returns the number of attempts in a record, without building a chunk. */
  static int countLive(JsonNode value) {
    int count = value.path("l").size();
    for (JsonNode hostAttempts : value.path("h")) {
      count += (hostAttempts.size() - 1) / 2;
    }
    return count;
  }
}
