package dapplestair.ledger;

import dapplestair.work.Submission;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;

/** A job that is not over, or that still has attempts or records. */
public final class Job {
  private final Submission spec;
  private final long acceptedWallMs;
  private final long firstRequestWallMs;
  private final int chunkSize;
  final Int2ObjectAVLTreeMap<Chunk> chunks = new Int2ObjectAVLTreeMap<>();
  final Object2IntOpenHashMap<String> attemptsPerZone = new Object2IntOpenHashMap<>();

  /** The stamp of the job's key, 0 once the job has ended. */
  long stamp;

  boolean ended;

  /** True if one of the job's tasks was seen to run. */
  boolean hasBegun;

  /**
   * Time from the user's first request to the first task seen running; 0 if an earlier leader saw
   * it.
   */
  long startDelayMs;

  boolean finishing;
  int interruptedReplicas;

  /** When the job ended, in steady time; before this leader's term if the records say so. */
  long endedAtMs;

  int heldAttempts;
  long gangNumber;
  final IntOpenHashSet gangSteps = new IntOpenHashSet();

  /** True while the gang's members are being stopped because one of them is missing. */
  boolean stoppingGang;

  private int firstIncompleteChunk;

  // Run time that checkpoints keep, as far as this leader has seen it; used for estimates only.
  private final Int2DoubleOpenHashMap savedSecondsByStep = new Int2DoubleOpenHashMap();

  // When a task of the job last failed on each machine, in steady time.
  final Object2LongOpenHashMap<String> lastFailureMsByMachine = new Object2LongOpenHashMap<>();
  long startsDelayedUntilMs;

  // A suspected job has failed wherever it ran, so it is tried by one task at a time, a probe. The
  // failures that led to the suspicion count as one failed probe (package blame).
  boolean suspected;
  int probesFailed;

  /** True while the job's run calendar holds it back, so that nothing is rented for it yet. */
  boolean excludedFromPlanning;

  // How often each step failed, and the steps that are delayed after repeated failures.
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

  /** Returns the job's description, as submitted. */
  public Submission spec() {
    return spec;
  }

  /**
   * Returns the number of tasks recorded under one key, which is fixed when the job is accepted.
   */
  int chunkSize() {
    return chunkSize;
  }

  /** Returns the time of day at which the job was accepted. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /**
   * Returns the time of day of the first known attempt to submit the job. Waits are measured from
   * then: it is earlier than the acceptance if the user was turned away for a while.
   */
  public long firstRequestWallMs() {
    return firstRequestWallMs;
  }

  /** Returns true if the job was cancelled or all its tasks are done. */
  public boolean isOver() {
    return ended || finishing;
  }

  /** Returns when the job ended, in steady time. */
  public long endedAtMs() {
    return endedAtMs;
  }

  /**
   * Returns until when the job starts no tasks, after failures or refused starts, in steady time.
   */
  public long startsDelayedUntilMs() {
    return startsDelayedUntilMs;
  }

  /**
   * Returns how many replicas were stopped or lost after they had run for more than two report
   * intervals.
   */
  public int interruptedReplicas() {
    return interruptedReplicas;
  }

  /** Returns true if this step has completed. */
  public boolean isDone(int step) {
    Chunk chunk = chunks.get(step / chunkSize);
    return chunk != null && chunk.completedSteps.get(step - chunk.firstStep);
  }

  /** Returns true if the job fails wherever it runs, and is tried by one task at a time. */
  public boolean isSuspected() {
    return suspected;
  }

  /** Returns the number of steps that are delayed after repeated failures. */
  public int delayedStepCount() {
    return delayedSteps.size();
  }

  /**
   * Returns the number of failed probes of a suspected job, plus 1 for the failures that led to the
   * suspicion; 0 for other jobs.
   */
  public int probesFailed() {
    return probesFailed;
  }

  /**
   * Returns the number of tasks that need resources now. A suspected job needs them for its next
   * probe only (of a gang that is all of it), and none while a probe runs or its pause lasts:
   * nothing is to be rented or emptied for the others.
   */
  public int wantedTasks(long nowMs) {
    if (excludedFromPlanning) {
      return 0;
    }
    if (suspected) {
      boolean probeDue = !isOver() && heldAttempts == 0 && startsDelayedUntilMs <= nowMs;
      return !probeDue ? 0 : spec.isGang() ? waitingTasks() : 1;
    }
    return Math.max(0, waitingTasks() - delayedSteps.size());
  }

  /** Returns the run time that checkpoints of earlier attempts at a step keep. */
  double savedS(int step) {
    return savedSecondsByStep.get(step);
  }

  /** Adds run time that checkpoints of a stopped or lost attempt keep. */
  void addSavedTime(int step, double seconds) {
    if (seconds > 0) {
      savedSecondsByStep.addTo(step, seconds);
    }
  }

  /** Returns the number of completed tasks. */
  public int doneCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.completedSteps.cardinality();
    }
    return count;
  }

  /** Returns the number of tasks with an attempt, for display. */
  public int liveCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.attemptsByStep.size();
    }
    return count;
  }

  /** Returns the number of attempts whose absence is not proved. */
  public int heldAttempts() {
    return heldAttempts;
  }

  /** Returns the number of attempts in this zone that have not exited and are not proved absent. */
  public int attemptsInZone(String zone) {
    return attemptsPerZone.getInt(zone);
  }

  Chunk chunk(int index) {
    Chunk chunk = chunks.get(index);
    if (chunk == null) {
      chunk = new Chunk(index, chunkSize, spec.taskCount());
      chunks.put(index, chunk);
    }
    return chunk;
  }

  Chunk chunkOf(int step) {
    return chunk(step / chunkSize);
  }

  /**
   * Returns the number of steps that are neither done nor have an attempt; 0 once the job is over.
   */
  public int waitingTasks() {
    return isOver() ? 0 : spec.taskCount() - doneCount() - heldAttempts;
  }

  /** Returns the first step at or after {@code fromStep} that may be started, or -1. */
  public int nextStartableStep(int fromStep) {
    int chunkCount = (spec.taskCount() + chunkSize - 1) / chunkSize;
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
    return !spec.isService() && doneCount() == spec.taskCount();
  }
}
