package dapplestair.ledger;

import dapplestair.work.Submission;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;

/** A job that is not over, or whose attempts are not all gone. */
public final class Job {
  private final Submission spec;
  private final long acceptedWallMs;
  private final long firstRequestWallMs;
  private final int chunkSize;
  final Int2ObjectAVLTreeMap<Chunk> chunks = new Int2ObjectAVLTreeMap<>();
  final Object2IntOpenHashMap<String> attemptsPerZone = new Object2IntOpenHashMap<>();

  /** Stamp of the job's key, 0 once it is over. */
  long stamp;

  boolean ended;

  /** One of its tasks was seen to run. */
  boolean hasBegun;

  /** How long after its user first asked; 0 when an earlier leader saw it. */
  long startDelayMs;

  boolean finishing;
  int interruptedReplicas;

  /** Since when it is over, steady time; before this leader's term if the records say so. */
  long endedAtMs;

  int heldAttempts;
  long gangNumber;
  final IntOpenHashSet gangSteps = new IntOpenHashSet();

  /** Its members are being stopped, since one of them is missing. */
  boolean stoppingGang;

  private int firstIncompleteChunk;

  // Progress that checkpoints keep, as far as this leader has seen it: for estimates only.
  private final Int2DoubleOpenHashMap savedSecondsByStep = new Int2DoubleOpenHashMap();

  // When a task of it last failed there, by machine, steady time.
  final Object2LongOpenHashMap<String> lastFailureMsByMachine = new Object2LongOpenHashMap<>();
  long startsDelayedUntilMs;

  // It failed wherever it ran: one task at a time, after so many that failed (package blame).
  boolean suspected;
  int probesFailed;

  /** Its time has not come: nothing is to be rented for it yet. */
  boolean excludedFromPlanning;

  // How often steps failed, and those that wait after having failed again.
  final Int2IntOpenHashMap stepFailures = new Int2IntOpenHashMap();
  final IntOpenHashSet delayedSteps = new IntOpenHashSet();

  Job(Submission spec, long acceptedWallMs, int chunkSize, long stamp) {
    this(spec, acceptedWallMs, acceptedWallMs, chunkSize, stamp);
  }

  Job(Submission spec, long acceptedWallMs, long firstRequestWallMs, int chunkSize, long stamp) {
    this.spec = spec;
    this.acceptedWallMs = acceptedWallMs;
    this.firstRequestWallMs = firstRequestWallMs;
    this.chunkSize = chunkSize;
    this.stamp = stamp;
  }

  /** What the user asked for. */
  public Submission spec() {
    return spec;
  }

  /** Tasks recorded under one key; fixed when the job is accepted. */
  int chunkSize() {
    return chunkSize;
  }

  /** Time of day of its acceptance. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /**
   * Time of day of the first attempt to submit it that is known. Waits are measured from then: it
   * is earlier than the acceptance when its user was turned away for a while.
   */
  public long firstRequestWallMs() {
    return firstRequestWallMs;
  }

  /** True when it was cancelled or all is done. */
  public boolean isOver() {
    return ended || finishing;
  }

  /** Since when it is over, steady time. */
  public long endedAtMs() {
    return endedAtMs;
  }

  /** Until when it waits after failing on good machines. */
  public long startsDelayedUntilMs() {
    return startsDelayedUntilMs;
  }

  /** Replicas that ran for a good while and then were stopped or lost. */
  public int interruptedReplicas() {
    return interruptedReplicas;
  }

  /** True when this step has completed. */
  public boolean isDone(int step) {
    Chunk chunk = chunks.get(step / chunkSize);
    return chunk != null && chunk.completedSteps.get(step - chunk.firstStep);
  }

  /** True when it fails wherever it runs, and is tried by one task at a time. */
  public boolean isSuspected() {
    return suspected;
  }

  /** Steps that failed again and again, and wait for a while. */
  public int delayedStepCount() {
    return delayedSteps.size();
  }

  /** How often it was tried so and failed. */
  public int probesFailed() {
    return probesFailed;
  }

  /**
   * Tasks that want room now. A job that fails wherever it runs wants room for its next probe (of a
   * gang that is all of it), and for none while one runs or its pause lasts: nothing is to be
   * rented or emptied for the others.
   */
  public int wantedTasks(long nowMs) {
    if (excludedFromPlanning) {
      return 0;
    }
    if (suspected) {
      boolean probeDue = !isOver() && heldAttempts == 0 && startsDelayedUntilMs <= nowMs;
      return !probeDue ? 0 : spec.gang() ? waitingTasks() : 1;
    }
    return Math.max(0, waitingTasks() - delayedSteps.size());
  }

  /** Run time that checkpoints of earlier attempts at a step keep. */
  double savedS(int step) {
    return savedSecondsByStep.get(step);
  }

  /** A stopped or lost attempt has kept so much more. */
  void addSavedTime(int step, double seconds) {
    if (seconds > 0) {
      savedSecondsByStep.addTo(step, seconds);
    }
  }

  /** Tasks completed. */
  public int doneCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.completedSteps.cardinality();
    }
    return count;
  }

  /** Tasks with an attempt, for display. */
  public int liveCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.attemptsByStep.size();
    }
    return count;
  }

  /** Attempts whose absence is not proved. */
  public int heldAttempts() {
    return heldAttempts;
  }

  /** Attempts in this zone whose absence is not proved. */
  public int attemptsInZone(String zone) {
    return attemptsPerZone.getInt(zone);
  }

  Chunk chunk(int index) {
    Chunk chunk = chunks.get(index);
    if (chunk == null) {
      chunk = new Chunk(index, chunkSize, spec.steps());
      chunks.put(index, chunk);
    }
    return chunk;
  }

  Chunk chunkOf(int step) {
    return chunk(step / chunkSize);
  }

  /** Number of steps neither done nor held. */
  public int waitingTasks() {
    return isOver() ? 0 : spec.steps() - doneCount() - heldAttempts;
  }

  /** First step at or after {@code fromStep} that may be started, or -1. */
  public int nextStartableStep(int fromStep) {
    int chunkCount = (spec.steps() + chunkSize - 1) / chunkSize;
    int startChunk = Math.max(fromStep / chunkSize, firstIncompleteChunk);
    for (int i = startChunk; i < chunkCount; i++) {
      Chunk chunk = chunks.get(i);
      if (chunk == null) {
        return Math.max(fromStep, i * chunkSize);
      }
      if (chunk.completedSteps.cardinality() == chunk.size) {
        if (i == firstIncompleteChunk) {
          firstIncompleteChunk++;
        }
        continue;
      }
      int step = chunk.nextFree(Math.max(fromStep, chunk.firstStep));
      while (step >= 0 && delayedSteps.contains(step)) {
        step = step + 1 < chunk.firstStep + chunk.size ? chunk.nextFree(step + 1) : -1;
      }
      if (step >= 0) {
        return step;
      }
    }
    return -1;
  }

  boolean allDone() {
    return !spec.service() && doneCount() == spec.steps();
  }
}
