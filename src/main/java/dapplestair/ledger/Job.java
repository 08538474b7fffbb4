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
  private final long acceptedWall;
  private final long askedWall;
  private final int chunkSize;
  final Int2ObjectAVLTreeMap<Chunk> chunks = new Int2ObjectAVLTreeMap<>();
  final Object2IntOpenHashMap<String> perZone = new Object2IntOpenHashMap<>();

  /** Stamp of the job's key, 0 once it is over. */
  long stamp;

  boolean over;

  /** One of its tasks was seen to run. */
  boolean begun;

  /** How long after its user first asked; 0 when an earlier leader saw it. */
  long begunAfterMs;

  boolean finishing;
  int worked;

  /** Since when it is over, steady time; before this leader's term if the records say so. */
  long overAt;

  int held;
  long gangNumber;
  final IntOpenHashSet gangSteps = new IntOpenHashSet();

  /** Its members are being stopped, since one of them is missing. */
  boolean gangStopping;

  private int firstOpen;

  // Progress that checkpoints keep, as far as this leader has seen it: for estimates only.
  private final Int2DoubleOpenHashMap saved = new Int2DoubleOpenHashMap();

  // When a task of it last failed there, by machine, steady time.
  final Object2LongOpenHashMap<String> failedOn = new Object2LongOpenHashMap<>();
  long heldBackUntil;

  // It failed wherever it ran: one task at a time, after so many that failed (package blame).
  boolean suspected;
  int probesFailed;

  /** Its time has not come: nothing is to be rented for it yet. */
  boolean rests;

  // How often steps failed, and those that wait after having failed again.
  final Int2IntOpenHashMap stepFailures = new Int2IntOpenHashMap();
  final IntOpenHashSet heldSteps = new IntOpenHashSet();

  Job(Submission spec, long acceptedWall, int chunkSize, long stamp) {
    this(spec, acceptedWall, acceptedWall, chunkSize, stamp);
  }

  Job(Submission spec, long acceptedWall, long askedWall, int chunkSize, long stamp) {
    this.spec = spec;
    this.acceptedWall = acceptedWall;
    this.askedWall = askedWall;
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
  public long acceptedWall() {
    return acceptedWall;
  }

  /**
   * Time of day of the first attempt to submit it that is known. Waits are measured from then: it
   * is earlier than the acceptance when its user was turned away for a while.
   */
  public long askedWall() {
    return askedWall;
  }

  /** True when it was cancelled or all is done. */
  public boolean over() {
    return over || finishing;
  }

  /** Since when it is over, steady time. */
  public long overAt() {
    return overAt;
  }

  /** Until when it waits after failing on good machines. */
  public long heldBackUntil() {
    return heldBackUntil;
  }

  /** Replicas that ran for a good while and then were stopped or lost. */
  public int worked() {
    return worked;
  }

  /** True when this step has completed. */
  public boolean done(int step) {
    Chunk chunk = chunks.get(step / chunkSize);
    return chunk != null && chunk.done.get(step - chunk.from);
  }

  /** True when it fails wherever it runs, and is tried by one task at a time. */
  public boolean suspected() {
    return suspected;
  }

  /** Steps that failed again and again, and wait for a while. */
  public int heldSteps() {
    return heldSteps.size();
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
  public int wanted(long now) {
    if (rests) {
      return 0;
    }
    if (suspected) {
      boolean due = !over() && held == 0 && heldBackUntil <= now;
      return !due ? 0 : spec.isGang() ? waiting() : 1;
    }
    return Math.max(0, waiting() - heldSteps.size());
  }

  /** Run time that checkpoints of earlier attempts at a step keep. */
  double savedS(int step) {
    return saved.get(step);
  }

  /** A stopped or lost attempt has kept so much more. */
  void keep(int step, double seconds) {
    if (seconds > 0) {
      saved.addTo(step, seconds);
    }
  }

  /** Tasks completed. */
  public int doneCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.done.cardinality();
    }
    return count;
  }

  /** Tasks with an attempt, for display. */
  public int liveCount() {
    int count = 0;
    for (Chunk chunk : chunks.values()) {
      count += chunk.live.size();
    }
    return count;
  }

  /** Attempts whose absence is not proved. */
  public int held() {
    return held;
  }

  /** Attempts in this zone whose absence is not proved. */
  public int inZone(String zone) {
    return perZone.getInt(zone);
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

  /** Number of steps neither done nor held. */
  public int waiting() {
    return over() ? 0 : spec.taskCount() - doneCount() - held;
  }

  /** First step at or after {@code from} that may be started, or -1. */
  public int nextFree(int from) {
    int chunkCount = (spec.taskCount() + chunkSize - 1) / chunkSize;
    int start = Math.max(from / chunkSize, firstOpen);
    for (int i = start; i < chunkCount; i++) {
      Chunk chunk = chunks.get(i);
      if (chunk == null) {
        return Math.max(from, i * chunkSize);
      }
      if (chunk.done.cardinality() == chunk.size) {
        if (i == firstOpen) {
          firstOpen++;
        }
        continue;
      }
      int step = chunk.nextFree(Math.max(from, chunk.from));
      while (step >= 0 && heldSteps.contains(step)) {
        step = step + 1 < chunk.from + chunk.size ? chunk.nextFree(step + 1) : -1;
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
