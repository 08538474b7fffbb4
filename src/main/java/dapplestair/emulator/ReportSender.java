package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;

/** Sends a worker's reports to the controller that renews its lease, and follows redirects. */
final class ReportSender {
  private static final long REPLY_TIMEOUT_MS = 4000;
  private static final long NEXT_CONTROLLER_DELAY_MS = 1000;
  private static final long REPORT_DELAY_MS = 500;

  private final EmulatorEnvironment environment;
  private final EmulatedWorker worker;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final ControllerSelector selector;
  private final long reportIntervalMs;
  private boolean reportInFlight;

  ReportSender(
      EmulatorEnvironment environment,
      EmulatedWorker worker,
      MachineCondition condition,
      WorkerSession session,
      ControllerSelector selector,
      long reportMs) {
    this.environment = environment;
    this.worker = worker;
    this.condition = condition;
    this.session = session;
    this.selector = selector;
    this.reportIntervalMs = reportMs;
  }

  /** Reports now, and from then on about once per interval. */
  void heartbeat() {
    if (condition.isGone()) {
      return;
    }
    report();
    environment.after(
        reportIntervalMs * 3 / 4 + environment.between(0, reportIntervalMs / 2), this::heartbeat);
  }

  /** Sends a report at once, unless one is in flight. */
  void report() {
    if (condition.isGone() || condition.isHanging() || reportInFlight) {
      return;
    }
    String controller = selector.endpoint();
    if (controller == null) {
      return;
    }
    reportInFlight = true;
    long sentAtMs = environment.now();
    long sentInSession = session.number();
    session.advanceTick();
    if (condition.isOutboundCut()) {
      // The connection is refused at once, or times out like a report without a reply.
      long failsAfterMs = environment.chance(0.5) ? 0 : REPLY_TIMEOUT_MS;
      HttpReply notSent = HttpReply.of(HttpReply.NOT_SENT);
      environment.after(failsAfterMs, () -> completeReport(notSent, sentAtMs, sentInSession));
      return;
    }
    environment.call(
        worker.endpoint(),
        controller,
        "POST",
        "/agent/beat",
        Json.bytes(worker.toReportJson()),
        REPLY_TIMEOUT_MS,
        reply -> receiveReply(reply, sentAtMs, sentInSession));
  }

  /** Reports after a short delay, as a worker does when it has seen a higher token. */
  void reportSoon() {
    environment.after(REPORT_DELAY_MS, this::report);
  }

  private void receiveReply(HttpReply reply, long sentAtMs, long sentInSession) {
    if (condition.isInboundCut()) {
      // The reply is dropped: the worker waits until its timeout, as for any missing reply.
      long remainingMs = Math.max(0, sentAtMs + REPLY_TIMEOUT_MS - environment.now());
      environment.after(
          remainingMs,
          () -> completeReport(HttpReply.of(HttpReply.UNKNOWN), sentAtMs, sentInSession));
    } else {
      completeReport(reply, sentAtMs, sentInSession);
    }
  }

  private void completeReport(HttpReply reply, long sentAtMs, long sentInSession) {
    reportInFlight = false;
    if (condition.isGone() || condition.isHanging()) {
      return;
    }
    if (reply.status() == 200) {
      handleAccepted(Json.parse(reply.body()), sentAtMs, sentInSession);
    } else {
      retryAfterFailure(reply);
    }
  }

  private void handleAccepted(JsonNode body, long sentAtMs, long sentInSession) {
    long token = body.path("baton").asLong(-1);
    if (token < session.token() || sentInSession != session.number()) {
      return;
    }
    session.renewLease(sentAtMs);
    worker.executeOrders(token, body);
  }

  private void retryAfterFailure(HttpReply reply) {
    String redirectTarget =
        reply.status() == 421 ? Json.text(Json.parse(reply.body()), "steward") : null;
    if (selector.switchTo(redirectTarget)) {
      environment.after(environment.between(0, REPORT_DELAY_MS), this::report);
    } else {
      selector.selectNext();
      environment.after(NEXT_CONTROLLER_DELAY_MS, this::report);
    }
  }
}
