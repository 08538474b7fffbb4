package dapplestair.ledger;

import dapplestair.machines.ImageCache;
import dapplestair.machines.MachineType;
import dapplestair.work.Submission;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * A machine as far as tasks are concerned: its type, the attempts that hold resources on it, and
 * the images that it has fetched.
 */
public abstract class Machine {
  private final String id;
  private MachineType type;
  private String zone;
  private boolean spot;
  private long idleSinceMs;

  private final Map<String, Attempt> attempts = new HashMap<>();

  private final ImageCache images = new ImageCache();
  private int attemptsHoldingRoom;
  private double serviceCpus;
  private double cpusUsed;
  private double gpusUsed;
  private double memoryUsedGb;

  // Set while nothing is started here because the machine refused a start as full, and how often
  // that happened in a row.
  private boolean overfull;
  private int consecutiveOverfullCount;

  /** Creates an empty machine of unknown type. */
  protected Machine(String id, long nowMs) {
    this.id = id;
    this.idleSinceMs = nowMs;
  }

  /** Returns the machine's identifier in the cloud. */
  public final String id() {
    return id;
  }

  /** Sets what is known of the machine; a null type leaves the known type. */
  protected final void describe(MachineType newType, String newZone, boolean isSpot) {
    if (newType != null) {
      type = newType;
    }
    zone = newZone;
    spot = isSpot;
  }

  /** Returns true if nothing new may start on the machine. */
  public abstract boolean closed();

  /** Returns the session of the machine's worker. */
  public abstract long session();

  /** Returns the machine's type, or null while it is unknown. */
  public final MachineType type() {
    return type;
  }

  /** Returns the machine's zone. */
  public final String zone() {
    return zone;
  }

  /** Returns true if the cloud may reclaim the machine. */
  public final boolean spot() {
    return spot;
  }

  /** Returns the memory in use, in GB. */
  public final double memoryUsedGb() {
    return memoryUsedGb;
  }

  /** Returns the CPUs that services use. */
  public final double serviceCpus() {
    return serviceCpus;
  }

  /** Returns since when no attempt has held resources on the machine, in steady time. */
  public final long idleSinceMs() {
    return idleSinceMs;
  }

  /**
   * Returns true while nothing is to start here because the machine has less room than the records
   * say.
   */
  public final boolean isOverfull() {
    return overfull;
  }

  /** Returns how often the machine refused a start as full since it last accepted one. */
  final int consecutiveOverfullCount() {
    return consecutiveOverfullCount;
  }

  final void setOverfull(boolean value) {
    overfull = value;
    consecutiveOverfullCount += value ? 1 : 0;
  }

  final void resetOverfullCount() {
    consecutiveOverfullCount = 0;
  }

  /** Returns the attempts on the machine. */
  public final Collection<Attempt> attempts() {
    return attempts.values();
  }

  /** Returns the attempt of this task on the machine, or null. */
  public final Attempt attempt(String key) {
    return attempts.get(key);
  }

  /** Returns true if no attempt holds resources on the machine. */
  public final boolean isIdle() {
    return attemptsHoldingRoom == 0;
  }

  /** Reserves an attempt's resources. */
  public final void reserve(Attempt attempt) {
    attempts.put(attempt.key(), attempt);
    addUsage(attempt.spec(), 1);
    Submission submission = attempt.spec();
    images.recordUse(
        submission.image(), submission.imageGb(), imageFetchS(submission), attempt.plannedAtMs());
    if (type != null) {
      images.evictToFit(type.cacheGb(), this::isImageInUse);
    }
  }

  private boolean isImageInUse(String image) {
    return attempts.values().stream().anyMatch(a -> !a.exited() && a.spec().image().equals(image));
  }

  /** Releases an attempt's resources; the attempt itself stays known until {@link #forget}. */
  public final void release(Attempt attempt, long nowMs) {
    addUsage(attempt.spec(), -1);
    if (attemptsHoldingRoom == 0) {
      cpusUsed = 0;
      gpusUsed = 0;
      memoryUsedGb = 0;
      serviceCpus = 0;
      idleSinceMs = nowMs;
    }
  }

  /** Removes an attempt from the machine's attempts. */
  public final void forget(Attempt attempt) {
    attempts.remove(attempt.key(), attempt);
  }

  private void addUsage(Submission submission, int sign) {
    cpusUsed += sign * submission.cpus();
    attemptsHoldingRoom += sign;
    if (submission.isService()) {
      serviceCpus = Math.max(0, serviceCpus + sign * submission.cpus());
    }
    gpusUsed += sign * submission.gpus();
    memoryUsedGb += sign * submission.memoryGb();
  }

  /** Returns the CPUs in use. */
  public final double cpusUsed() {
    return cpusUsed;
  }

  /** Returns the free CPUs; 0 while the type is unknown. */
  public final double cpusFree() {
    return type == null ? 0 : type.cpus() - cpusUsed;
  }

  /** Returns the free memory in GB; 0 while the type is unknown. */
  public final double memoryFreeGb() {
    return type == null ? 0 : type.memoryGb() - memoryUsedGb;
  }

  /** Returns the free accelerators; 0 while the type is unknown. */
  public final double gpusFree() {
    return type == null ? 0 : type.gpus() - gpusUsed;
  }

  /** Returns true if one more task of the job fits now. */
  public final boolean fits(Submission submission) {
    return submission.cpus() <= cpusFree() + 1e-9
        && submission.memoryGb() <= memoryFreeGb() + 1e-9
        && submission.gpus() <= gpusFree() + 1e-9;
  }

  /** Returns true if the job allows this machine's type, zone and pricing. */
  public final boolean isAllowedBy(Submission submission) {
    return type != null
        && type.suits(submission)
        && (submission.zone() == null || submission.zone().equals(zone))
        && (submission.spot() || !spot);
  }

  /**
   * Returns the seconds until a task that needs this image could start here; all fetches of a
   * machine share one rate.
   */
  public final double imageWaitS(Submission submission, long nowMs) {
    return images.waitS(submission.image(), imageFetchS(submission), nowMs);
  }

  private double imageFetchS(Submission submission) {
    return type == null ? 0 : submission.imageGb() / type.fetchGbPerS();
  }

  /** Marks the task's image as seen in use here. */
  public final void markImageInUse(Submission submission, long nowMs) {
    images.recordPresent(submission.image(), submission.imageGb(), nowMs);
  }

  /** Returns what is assumed about the machine's images. */
  public final ImageCache images() {
    return images;
  }
}
