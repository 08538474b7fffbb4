package dapplestair.lane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.json.Json;
import dapplestair.leadership.FencedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.leadership.TermTimers;
import dapplestair.settings.Settings;
import dapplestair.state.Replica;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;
import dapplestair.state.TxnOutcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps each lane's open claims on record; at most one write of a lane is under way at a time. */
final class ClaimWriter {
  private static final int RETRIES_PER_REPORT = 12;

  /** Provides the claims that are written. */
  interface Source {
    /** Returns whether this lane's claims are still to be kept on record. */
    boolean keepsRecordOf(String lane);

    /** Returns a lane's open claims as they are now. */
    List<OpenClaim> openClaims(String lane);

    /** Notes that these claims of a lane are on record. */
    void onWritten(String lane, List<OpenClaim> claims);
  }

  private final TermTimers timers;
  private final Settings settings;
  private final StateClient state;
  private final FencedWriter writer;
  private final Replica replica;
  private final Leadership leadership;
  private final Source source;

  // Lanes with a write under way; true when the lane's claims have changed since it began.
  private final Map<String, Boolean> changedDuringWrite = new HashMap<>();

  // Stamp of each lane's last answered put: a delayed copy of an earlier put is refused.
  private final Map<String, Long> stampByLane = new HashMap<>();
  private int generation;

  ClaimWriter(
      TermTimers timers,
      Settings settings,
      StateClient state,
      Replica replica,
      Leadership leadership,
      Source source) {
    this.timers = timers;
    this.settings = settings;
    this.state = state;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.replica = replica;
    this.leadership = leadership;
    this.source = source;
  }

  /** Begins to lead; answers to earlier writes are ignored. */
  void lead() {
    writer.reset();
    generation++;
  }

  /** Forgets all writes that are under way. */
  void clear() {
    writer.reset();
    generation++;
    changedDuringWrite.clear();
    stampByLane.clear();
  }

  /** Writes a lane's claims to the state service. */
  void write(String lane, Priority priority) {
    if (changedDuringWrite.putIfAbsent(lane, false) != null) {
      // Written again after the current write, once for all changes until then.
      changedDuringWrite.put(lane, true);
      return;
    }
    List<OpenClaim> claims = source.openClaims(lane);
    writer.commit(
        transaction(lane, claims), priority, outcome -> handleOutcome(lane, claims, outcome));
  }

  private Txn transaction(String lane, List<OpenClaim> claims) {
    String key = StateKeys.LANE + lane;
    long stamp = stampByLane.computeIfAbsent(lane, l -> replica.stamp(key));
    Txn txn = writer.transaction().when(key, stamp);
    return claims.isEmpty() ? txn.remove(key) : txn.put(key, toJson(claims));
  }

  private static ObjectNode toJson(List<OpenClaim> openClaims) {
    ObjectNode record = Json.object();
    ArrayNode claims = record.putArray("claims");
    openClaims.forEach(o -> claims.add(o.claim().toJson()));
    return record;
  }

  private void handleOutcome(String lane, List<OpenClaim> claims, TxnOutcome outcome) {
    if (leadership.stepDownIfDeposed(outcome)) {
      return;
    }
    if (outcome instanceof TxnOutcome.Applied applied) {
      markRecorded(lane, claims, claims.isEmpty() ? 0 : applied.stamp());
    } else {
      readBack(lane, claims);
    }
  }

  private void markRecorded(String lane, List<OpenClaim> claims, long stamp) {
    boolean changed = Boolean.TRUE.equals(changedDuringWrite.remove(lane));
    stampByLane.put(lane, stamp);
    claims.forEach(OpenClaim::setRecorded);
    source.onWritten(lane, claims);
    if (changed) {
      rewriteAfter(lane, 0);
    }
  }

  /**
   * Reads the record back after a write that was not confirmed: the claims may be on record or not,
   * and no victim may be stopped before they surely are. The replica may lag for just as long, and
   * until it catches up each write based on its stamp would be refused, so the state service itself
   * is asked.
   */
  private void readBack(String lane, List<OpenClaim> claims) {
    int readGeneration = generation;
    state.get(
        StateKeys.LANE + lane,
        read -> {
          if (readGeneration != generation) {
            return;
          }
          if (read.known() && !claims.isEmpty() && isRecord(claims, read.value())) {
            markRecorded(lane, claims, read.stamp());
            return;
          }
          changedDuringWrite.remove(lane);
          if (read.known()) {
            stampByLane.put(lane, read.stamp());
          } else {
            stampByLane.remove(lane);
          }
          rewriteAfter(lane, settings.workers().reportMs() / RETRIES_PER_REPORT);
        });
  }

  /**
   * Compares the claims as text, because numbers read back from the record have the smallest type
   * that holds them.
   */
  private static boolean isRecord(List<OpenClaim> claims, JsonNode value) {
    return value != null && toJson(claims).toString().equals(value.toString());
  }

  private void rewriteAfter(String lane, long delayMs) {
    timers.after(
        delayMs,
        () -> {
          if (leadership.isLeading() && source.keepsRecordOf(lane)) {
            write(lane, Priority.REPLICA);
          }
        });
  }
}
