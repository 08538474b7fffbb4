package dapplestair.ledger;

import dapplestair.machines.ImageCache;
import dapplestair.machines.MachineType;
import dapplestair.work.Submission;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * A machine as far as tasks go: what it is, which attempts hold room on it, what it has fetched.
 */
public abstract class Machine {
  private final String id;
  private MachineType type;
  private String zone;
  private boolean spot;
  private long idleSince;

  private final Map<String, Attempt> attempts = new HashMap<>();

  private final ImageCache images = new ImageCache();
  private int holding;
  private double serviceCpus;
  private double cpusUsed;
  private double gpusUsed;
  private double memoryUsed;

  // It has refused a start as full, and nothing is started there for now; how often so in a row.
  private boolean overfull;
  private int timesOverfull;

  /** An empty machine of unknown type. */
  protected Machine(String id, long now) {
    this.id = id;
    this.idleSince = now;
  }

  /** The cloud's name of it. */
  public final String id() {
    return id;
  }

  /** What it is, as far as known. */
  protected final void describe(MachineType newType, String newZone, boolean isSpot) {
    if (newType != null) {
      type = newType;
    }
    zone = newZone;
    spot = isSpot;
  }

  /** True when nothing new may start on it. */
  public abstract boolean closed();

  /** Session of its worker. */
  public abstract long session();

  /** Its type, or null while unknown. */
  public final MachineType type() {
    return type;
  }

  /** Its zone. */
  public final String zone() {
    return zone;
  }

  /** True when the cloud may take it back. */
  public final boolean spot() {
    return spot;
  }

  /** Memory in use. */
  public final double memoryUsed() {
    return memoryUsed;
  }

  /** CPUs that services use here. */
  public final double serviceCpus() {
    return serviceCpus;
  }

  /** Since when nothing runs on it. */
  public final long idleSince() {
    return idleSince;
  }

  /** True while nothing is to start here, since it has less room than the records say. */
  public final boolean overfull() {
    return overfull;
  }

  /** How often it had less room than the records say since it last took a start. */
  final int timesOverfull() {
    return timesOverfull;
  }

  final void overfull(boolean value) {
    overfull = value;
    timesOverfull += value ? 1 : 0;
  }

  final void tookStart() {
    timesOverfull = 0;
  }

  /** Attempts on it. */
  public final Collection<Attempt> attempts() {
    return attempts.values();
  }

  /** The attempt at this task on it, or null. */
  public final Attempt attempt(String key) {
    return attempts.get(key);
  }

  /** True when no attempt holds room on it. */
  public final boolean idle() {
    return holding == 0;
  }

  /** Gives an attempt its room. */
  public final void hold(Attempt attempt) {
    attempts.put(attempt.key(), attempt);
    use(attempt.spec(), 1);
    Submission submission = attempt.spec();
    images.used(submission.image(), submission.imageGb(), fetchS(submission), attempt.plannedAt());
    if (type != null) {
      images.fit(type.cacheGb(), this::inUse);
    }
  }

  private boolean inUse(String image) {
    return attempts.values().stream().anyMatch(a -> !a.exited() && a.spec().image().equals(image));
  }

  /** Takes the room back; the attempt itself stays known until {@link #forget}. */
  public final void vacate(Attempt attempt, long now) {
    use(attempt.spec(), -1);
    if (holding == 0) {
      cpusUsed = 0;
      gpusUsed = 0;
      memoryUsed = 0;
      serviceCpus = 0;
      idleSince = now;
    }
  }

  /** Forgets an attempt. */
  public final void forget(Attempt attempt) {
    attempts.remove(attempt.key(), attempt);
  }

  private void use(Submission submission, int sign) {
    cpusUsed += sign * submission.cpus();
    holding += sign;
    if (submission.isService()) {
      serviceCpus = Math.max(0, serviceCpus + sign * submission.cpus());
    }
    gpusUsed += sign * submission.gpus();
    memoryUsed += sign * submission.memoryGb();
  }

  /** CPUs in use. */
  public final double cpusUsed() {
    return cpusUsed;
  }

  /** CPUs free. */
  public final double cpusFree() {
    return type == null ? 0 : type.cpus() - cpusUsed;
  }

  /** Memory free. */
  public final double memoryFree() {
    return type == null ? 0 : type.memoryGb() - memoryUsed;
  }

  /** Accelerators free. */
  public final double gpusFree() {
    return type == null ? 0 : type.gpus() - gpusUsed;
  }

  /** True when one more task of the job fits now. */
  public final boolean fits(Submission submission) {
    return submission.cpus() <= cpusFree() + 1e-9
        && submission.memoryGb() <= memoryFree() + 1e-9
        && submission.gpus() <= gpusFree() + 1e-9;
  }

  /** True when the job allows this machine. */
  public final boolean allowed(Submission submission) {
    return type != null
        && type.suits(submission)
        && (submission.zone() == null || submission.zone().equals(zone))
        && (submission.spot() || !spot);
  }

  /** Seconds until a task that needs this image could start here; fetches share one rate. */
  public final double imageWaitS(Submission submission, long now) {
    return images.waitS(submission.image(), fetchS(submission), now);
  }

  private double fetchS(Submission submission) {
    return type == null ? 0 : submission.imageGb() / type.fetchGbPerS();
  }

  /** The task's image was seen in use here. */
  public final void imageSeen(Submission submission, long now) {
    images.seen(submission.image(), submission.imageGb(), now);
  }

  /** What is believed of its images. */
  public final ImageCache images() {
    return images;
  }
}
