package dapplestair.workers;

import dapplestair.ledger.Attempt;
import dapplestair.machines.MachineType;
import dapplestair.work.Submission;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** One machine as the leader knows it. */
public final class Host {
  private final String id;
  String endpoint;
  private MachineType type;
  private String zone;
  private boolean spot;

  // What its worker last said.
  long session;
  long tick = -1;
  long tokenSeen;
  long heardAt = Long.MIN_VALUE / 2;
  long recallAt = Long.MAX_VALUE;
  int strays;

  // What we may conclude from it.
  long fence;
  boolean acknowledged;

  // Orders.
  final Map<String, Order> outbox = new LinkedHashMap<>();
  boolean calling;
  int failedCalls;
  long callAgainAt;

  // Rental.
  private final long knownSince;
  private long rentedAt = Long.MAX_VALUE;
  private long firstListedAt = Long.MAX_VALUE;
  private boolean releasing;
  private boolean gone;
  private boolean draining;
  private boolean cordoned;
  private boolean drained;
  private boolean saidUp;
  private boolean outOfReach;
  private long idleSince;

  private final Map<String, Attempt> attempts = new HashMap<>();

  // When each image is here, for those that are or are being fetched.
  private final Map<String, Long> images = new HashMap<>();
  private long fetchesEndAt;
  private final Set<String> jobsFailed = new HashSet<>();
  private int completed;
  private int failuresInARow;
  private double slowness = 1;
  private int holding;
  private double serviceCpus;
  private double cpusUsed;
  private double gpusUsed;
  private double memoryUsed;

  Host(String id, long now) {
    this.id = id;
    this.knownSince = now;
    this.idleSince = now;
  }

  /** The cloud's name of it. */
  public String id() {
    return id;
  }

  /** Fills in what is learnt from the cloud or from the worker itself. */
  public void describe(String newEndpoint, MachineType newType, String newZone, boolean isSpot) {
    if (newEndpoint != null) {
      endpoint = newEndpoint;
    }
    if (newType != null) {
      type = newType;
    }
    zone = newZone;
    spot = isSpot;
  }

  /** Its type, or null while unknown. */
  public MachineType type() {
    return type;
  }

  /** Its zone. */
  public String zone() {
    return zone;
  }

  /** True when the cloud may take it back. */
  public boolean spot() {
    return spot;
  }

  /** True once its worker has reported. */
  public boolean up() {
    return tick >= 0;
  }

  /** When its worker was last heard, in steady time. */
  public long heardAt() {
    return heardAt;
  }

  /** When this controller first knew of it. */
  public long knownSince() {
    return knownSince;
  }

  /** Session of its worker. */
  public long session() {
    return session;
  }

  /** True once a notice says that it will be taken. */
  public boolean recalled() {
    return recallAt != Long.MAX_VALUE;
  }

  /** When it will be taken. */
  public long recallAt() {
    return recallAt;
  }

  /** True when nothing new may start on it. */
  public boolean closed() {
    return !acknowledged
        || gone
        || releasing
        || draining
        || drained
        || cordoned
        || recalled()
        || strays > 0
        || type == null;
  }

  /** True while a release is under way. */
  public boolean releasing() {
    return releasing;
  }

  /** Marks it as being returned: nothing may start on it from now on. */
  public void setReleasing(boolean value) {
    releasing = value;
  }

  /** True when it is proved to be gone. */
  public boolean gone() {
    return gone;
  }

  /** Marks it as proved to be gone. */
  public void setGone() {
    gone = true;
  }

  /** True when it is being emptied. */
  public boolean draining() {
    return draining;
  }

  /** Empties it, or not. */
  public void setDraining(boolean value) {
    draining = value;
  }

  /** True when operators have it emptied; it stays rented, and is no room to plan with. */
  public boolean drained() {
    return drained;
  }

  /** Operators want it emptied, or not any more. */
  public void setDrained(boolean value) {
    drained = value;
  }

  /** True when its worker has shown a token of this term, so that reports prove something. */
  public boolean acknowledged() {
    return acknowledged;
  }

  /** True while something runs on it that no record accounts for. */
  public boolean hasStrays() {
    return strays > 0;
  }

  /** Orders that wait to be sent to it. */
  public int queued() {
    return outbox.size();
  }

  /** Its address, or null. */
  public String endpoint() {
    return endpoint;
  }

  /** Memory in use. */
  public double memoryUsed() {
    return memoryUsed;
  }

  /** True when it gets no new work, since the plan wants fewer of its kind. */
  public boolean cordoned() {
    return cordoned;
  }

  /** Gives it new work or not; unlike a drained machine it goes back into use for the asking. */
  public void setCordoned(boolean value) {
    cordoned = value;
  }

  /** CPUs that services use here. */
  public double serviceCpus() {
    return serviceCpus;
  }

  /** When it was rented, or {@link Long#MAX_VALUE}. */
  public long rentedAt() {
    return rentedAt;
  }

  /** Sets when it was rented. */
  public void setRentedAt(long at) {
    rentedAt = Math.min(rentedAt, at);
  }

  /** When a list first held it. */
  public long firstListedAt() {
    return firstListedAt;
  }

  /** A list holds it. */
  public void listed(long at) {
    firstListedAt = Math.min(firstListedAt, at);
  }

  /** The cloud says that it is up, so its worker should answer. */
  public void saidUp() {
    saidUp = true;
  }

  /** True when its worker should answer. */
  public boolean expectedUp() {
    return up() || saidUp;
  }

  /** True when it has been silent for long enough that its room is no room. */
  public boolean outOfReach() {
    return outOfReach;
  }

  void setOutOfReach(boolean value) {
    outOfReach = value;
  }

  /** True when its address is known. */
  public boolean addressed() {
    return endpoint != null;
  }

  /** Since when nothing runs on it. */
  public long idleSince() {
    return idleSince;
  }

  /** Attempts on it. */
  public Collection<Attempt> attempts() {
    return attempts.values();
  }

  /** The attempt at this task on it, or null. */
  public Attempt attempt(String key) {
    return attempts.get(key);
  }

  /** True when no attempt holds room on it. */
  public boolean idle() {
    return holding == 0;
  }

  /** Gives an attempt its room. */
  public void hold(Attempt a) {
    attempts.put(a.key(), a);
    use(a.spec(), 1);
    if (!images.containsKey(a.spec().image())) {
      fetchesEndAt = a.plannedAt() + Math.round(1000 * imageWaitS(a.spec(), a.plannedAt()));
      images.put(a.spec().image(), fetchesEndAt);
    }
  }

  /** Takes the room back; the attempt itself stays known until {@link #forget}. */
  public void vacate(Attempt a, long now) {
    use(a.spec(), -1);
    if (holding == 0) {
      cpusUsed = 0;
      gpusUsed = 0;
      memoryUsed = 0;
      serviceCpus = 0;
      idleSince = now;
    }
  }

  /** Forgets an attempt. */
  public void forget(Attempt a) {
    attempts.remove(a.key(), a);
  }

  private void use(Submission s, int sign) {
    cpusUsed += sign * s.cpus();
    holding += sign;
    if (s.service()) {
      serviceCpus = Math.max(0, serviceCpus + sign * s.cpus());
    }
    gpusUsed += sign * s.gpus();
    memoryUsed += sign * s.memoryGb();
  }

  /** CPUs in use. */
  public double cpusUsed() {
    return cpusUsed;
  }

  /** CPUs free. */
  public double cpusFree() {
    return type == null ? 0 : type.cpus() - cpusUsed;
  }

  /** Memory free. */
  public double memoryFree() {
    return type == null ? 0 : type.memoryGb() - memoryUsed;
  }

  /** Accelerators free. */
  public double gpusFree() {
    return type == null ? 0 : type.gpus() - gpusUsed;
  }

  /** True when one more task of the job fits now. */
  public boolean fits(Submission s) {
    return s.cpus() <= cpusFree() + 1e-9
        && s.memoryGb() <= memoryFree() + 1e-9
        && s.gpus() <= gpusFree() + 1e-9;
  }

  /** True when the job allows this machine. */
  public boolean allowed(Submission s) {
    return type != null
        && type.suits(s)
        && (s.zone() == null || s.zone().equals(zone))
        && (s.spot() || !spot);
  }

  /** Seconds until a task that needs this image could start here; fetches share one rate. */
  public double imageWaitS(Submission s, long now) {
    Long ready = images.get(s.image());
    if (ready != null) {
      return Math.max(0, ready - now) / 1000.0;
    }
    return Math.max(0, fetchesEndAt - now) / 1000.0 + fetchS(s);
  }

  private double fetchS(Submission s) {
    return type == null ? 0 : s.imageGb() / type.fetchGbPerS();
  }

  /** The image was seen in use here. */
  public void imageSeen(String image, long now) {
    images.put(image, Math.min(now, images.getOrDefault(image, now)));
  }

  /** A task completed here. */
  public void taskCompleted() {
    completed++;
    failuresInARow = 0;
    if (completed % 4 == 0) {
      jobsFailed.clear();
    }
  }

  /** A task failed here; returns how many jobs did since tasks last completed here. */
  public int taskFailed(String ref) {
    jobsFailed.add(ref);
    failuresInARow++;
    return jobsFailed.size();
  }

  /** Failures since a task last completed here. */
  public int failuresInARow() {
    return failuresInARow;
  }

  /** Run time here over the run time expected, smoothed. */
  public double slowness() {
    return slowness;
  }

  /** One more observation of the machine's speed. */
  public void observeSlowness(double ratio) {
    slowness += 0.3 * (ratio - slowness);
  }
}
