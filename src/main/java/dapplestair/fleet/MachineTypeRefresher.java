package dapplestair.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.cloud.CloudClient;
import dapplestair.json.Json;
import dapplestair.leadership.Leadership;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.ports.HttpReply;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.Txn;

/** Fetches the machine types and their prices from the cloud, and records them for all leaders. */
final class MachineTypeRefresher {
  private static final long INTERVAL_UNTIL_LOADED_MS = 500;
  private static final int REPORT_INTERVALS_BETWEEN_FETCHES = 5;

  private final Clock clock;
  private final CloudClient cloud;
  private final Settings settings;
  private final StateClient state;
  private final Leadership leadership;
  private final MachineTypes types;
  private final SpotHistory spotHistory;
  private boolean leading;
  private long recordStamp;
  private long fetchedAtMs = Long.MIN_VALUE / 2;
  private boolean isFetching;

  MachineTypeRefresher(
      Clock clock,
      CloudClient cloud,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      SpotHistory spotHistory) {
    this.clock = clock;
    this.cloud = cloud;
    this.settings = settings;
    this.state = state;
    this.leadership = leadership;
    this.types = types;
    this.spotHistory = spotHistory;
  }

  /** Applies the record of the machine types; {@code value} is null once it is removed. */
  void applyRecord(JsonNode value, long stamp) {
    recordStamp = stamp;
    if (value != null && !types.isLoaded()) {
      types.read(value);
    }
  }

  void lead() {
    leading = true;
  }

  void clear() {
    leading = false;
    isFetching = false;
    fetchedAtMs = Long.MIN_VALUE / 2;
  }

  /** Fetches the types if they are due. */
  void refresh() {
    long intervalMs =
        types.isLoaded()
            ? REPORT_INTERVALS_BETWEEN_FETCHES * settings.workers().reportMs()
            : INTERVAL_UNTIL_LOADED_MS;
    if (clock.now() - fetchedAtMs > intervalMs && !isFetching) {
      isFetching = true;
      cloud.listMachineTypes(this::fetched);
    }
  }

  private void fetched(HttpReply reply) {
    isFetching = false;
    fetchedAtMs = clock.now();
    if (!leading || !reply.ok()) {
      return;
    }
    boolean hadNoTypes = !types.isLoaded() || recordStamp == 0;
    if (types.read(Json.parse(reply.body()))) {
      spotHistory.notePrices(types.all());
      if (hadNoTypes) {
        record();
      }
    }
  }

  private void record() {
    Txn txn =
        leadership
            .guard(new Txn())
            .when(StateKeys.TYPES, recordStamp)
            .put(StateKeys.TYPES, types.toJson());
    long term = leadership.term();
    state.commit(
        txn,
        Priority.LAUNCH,
        settings.workers().reportMs(),
        outcome -> {
          // A write refused to an earlier term does not show that this term has ended.
          if (leadership.isLeadingTerm(term)) {
            leadership.stepDownIfDeposed(outcome);
          }
        });
  }
}
