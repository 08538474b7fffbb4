package dapplestair.ledger;

import dapplestair.work.Submission;
import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** A job that is not over, or whose attempts are not all gone. */
public final class Job {
  private final Submission spec;
  private final long acceptedWall;
  private final int chunkSize;
  final Int2ObjectAVLTreeMap<Chunk> chunks = new Int2ObjectAVLTreeMap<>();
  final Object2IntOpenHashMap<String> perZone = new Object2IntOpenHashMap<>();

  /** Stamp of the job's key, 0 once it is over. */
  long stamp;

  boolean over;

  /** One of its tasks was seen to run. */
  boolean begun;

  boolean finishing;
  long overAt;
  int held;
  long gangNumber;
  final IntOpenHashSet gangSteps = new IntOpenHashSet();
  private int firstOpen;

  // Progress that checkpoints keep, as far as this leader has seen it: for estimates only.
  private final Int2DoubleOpenHashMap saved = new Int2DoubleOpenHashMap();

  // Failures count by machine, so that one faulty machine does not make a job look wrong.
  final Object2IntOpenHashMap<String> failedOn = new Object2IntOpenHashMap<>();
  long heldBackUntil;
  long backoffMs;

  Job(Submission spec, long acceptedWall, int chunkSize, long stamp) {
    this.spec = spec;
    this.acceptedWall = acceptedWall;
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

  /** True when it was withdrawn or all is done. */
  public boolean over() {
    return over || finishing;
  }

  /** Until when it waits after failing on good machines. */
  public long heldBackUntil() {
    return heldBackUntil;
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
    int n = 0;
    for (Chunk c : chunks.values()) {
      n += c.done.cardinality();
    }
    return n;
  }

  /** Tasks with an attempt, for display. */
  public int liveCount() {
    int n = 0;
    for (Chunk c : chunks.values()) {
      n += c.live.size();
    }
    return n;
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
    Chunk c = chunks.get(index);
    if (c == null) {
      c = new Chunk(index, chunkSize, spec.steps());
      chunks.put(index, c);
    }
    return c;
  }

  Chunk chunkOf(int step) {
    return chunk(step / chunkSize);
  }

  /** Number of steps neither done nor held. */
  public int waiting() {
    return over() ? 0 : spec.steps() - doneCount() - held;
  }

  /** First step at or after {@code from} that may be started, or -1. */
  public int nextFree(int from) {
    int chunkCount = (spec.steps() + chunkSize - 1) / chunkSize;
    int start = Math.max(from / chunkSize, firstOpen);
    for (int i = start; i < chunkCount; i++) {
      Chunk c = chunks.get(i);
      if (c == null) {
        return Math.max(from, i * chunkSize);
      }
      if (c.done.cardinality() == c.size) {
        if (i == firstOpen) {
          firstOpen++;
        }
        continue;
      }
      int step = c.nextFree(Math.max(from, c.from));
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
