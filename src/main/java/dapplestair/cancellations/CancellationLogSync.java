package dapplestair.cancellations;

import dapplestair.leadership.Leadership;
import dapplestair.peers.Peers;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import dapplestair.settings.Settings;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/**
 * Synchronizes the logs of confirmed cancellations: each controller periodically requests from
 * every peer the entries that were added since the last request.
 */
final class CancellationLogSync implements AutoCloseable {
  /** Topic of the periodic requests for a peer's log. */
  private static final String REQUEST_TOPIC = "withdrawn";

  private final Clock clock;
  private final Timers timers;
  private final Settings settings;
  private final Peers peers;
  private final Leadership leadership;
  private final long processId;
  private final KnownCancellations knownCancellations;
  private final CancellationWatermark watermark;
  private final ObjLongConsumer<CancellationCodec.LogEntry> entryListener;
  private final long intervalMs;
  private long lastRequestNumber;
  private Cancellable timer = () -> {};

  /**
   * Creates the synchronization of logs.
   *
   * @param processId the id of this process, distinct from earlier processes of this controller
   * @param entryListener receives each entry that a peer sends, with the id of the process that
   *     owns the log
   */
  CancellationLogSync(
      Clock clock,
      Timers timers,
      Settings settings,
      Peers peers,
      Leadership leadership,
      long processId,
      KnownCancellations knownCancellations,
      CancellationWatermark watermark,
      ObjLongConsumer<CancellationCodec.LogEntry> entryListener) {
    this.clock = clock;
    this.timers = timers;
    this.settings = settings;
    this.peers = peers;
    this.leadership = leadership;
    this.processId = processId;
    this.knownCancellations = knownCancellations;
    this.watermark = watermark;
    this.entryListener = entryListener;
    this.intervalMs = settings.workers().reportMs() / 8;
  }

  void start() {
    peers.requests().handle(REQUEST_TOPIC, this::handleRequest);
    requestAllLogs();
  }

  /** Requests new log entries from each peer, and schedules the next round. */
  private void requestAllLogs() {
    for (Settings.Peer peer : settings.peers()) {
      requestLog(peer.member());
    }
    timer = timers.after(intervalMs, this::requestAllLogs);
  }

  private void requestLog(String member) {
    CancellationWatermark.PeerLog peerLog = watermark.peerLog(member);
    long requestNumber = ++lastRequestNumber;
    long askedAtMs = clock.now();
    byte[] body =
        CancellationCodec.encode(
            new CancellationCodec.LogRequest(
                processId, requestNumber, peerLog.logId, peerLog.lastEntryNumber));
    peers
        .requests()
        .ask(
            member,
            REQUEST_TOPIC,
            body,
            4 * intervalMs,
            reply -> handleResponse(peerLog, requestNumber, askedAtMs, reply));
  }

  private void handleResponse(
      CancellationWatermark.PeerLog peerLog, long requestNumber, long askedAtMs, byte[] reply) {
    CancellationCodec.LogResponse response =
        reply == null ? null : CancellationCodec.decodeResponse(reply);
    if (reply != null && response == null) {
      peers.requests().countRefusedMessage();
    }
    // Ignores responses to requests of an earlier process of this controller.
    if (response == null
        || response.requester() != processId
        || response.requestNumber() != requestNumber) {
      return;
    }
    leadership.observeTerm(response.term());
    if (response.logId() != peerLog.logId) {
      watermark.startNewLog(peerLog, response.logId());
    }
    for (CancellationCodec.LogEntry entry : response.entries()) {
      entryListener.accept(entry, response.logId());
      peerLog.lastEntryNumber = Math.max(peerLog.lastEntryNumber, entry.number());
    }
    if (response.complete()) {
      watermark.recordComplete(peerLog, askedAtMs);
    }
  }

  private void handleRequest(byte[] body, Consumer<byte[]> reply) {
    CancellationCodec.LogRequest request = CancellationCodec.decodeRequest(body);
    if (request == null) {
      peers.requests().countRefusedMessage();
      return;
    }
    long afterNumber = request.logId() == processId ? request.lastEntryNumber() : 0;
    List<CancellationCodec.LogEntry> entries =
        knownCancellations.entriesAfter(
            afterNumber, CancellationCodec.MAX_ENTRIES / 4, CancellationCodec.MAX_LOCATIONS);
    long lastNumber = entries.isEmpty() ? afterNumber : entries.get(entries.size() - 1).number();
    boolean complete =
        lastNumber >= knownCancellations.lastLogNumber()
            || knownCancellations.entriesAfter(lastNumber, 1, Integer.MAX_VALUE).isEmpty();
    CancellationCodec.LogResponse response =
        new CancellationCodec.LogResponse(
            request.requester(),
            request.requestNumber(),
            processId,
            leadership.highestTermSeen(),
            complete && !knownCancellations.hasForgottenTooEarly(),
            entries);
    byte[] bytes = CancellationCodec.encode(response);
    if (bytes != null) {
      reply.accept(bytes);
    }
  }

  @Override
  public void close() {
    timer.cancel();
  }
}
