package dapplestair.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import dapplestair.json.Json;
import dapplestair.ports.HttpReply;

/** Sends a worker's reports to the controller that keeps its lease, and follows redirects. */
final class ReportSender {
  private static final long ANSWER_TIMEOUT_MS = 4000;
  private static final long NEXT_CONTROLLER_MS = 1000;
  private static final long LEAST_PAUSE_MS = 500;

  private final EmulatorEnvironment environment;
  private final EmulatedWorker worker;
  private final MachineCondition condition;
  private final WorkerSession session;
  private final ControllerSelector selector;
  private final long reportMs;
  private boolean reporting;

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
    this.reportMs = reportMs;
  }

  /** Reports now, and from now on about once an interval. */
  void heartbeat() {
    if (condition.gone()) {
      return;
    }
    report();
    environment.after(reportMs * 3 / 4 + environment.between(0, reportMs / 2), this::heartbeat);
  }

  /** Reports at once, unless a report is under way. */
  void report() {
    if (condition.gone() || condition.hanging() || reporting) {
      return;
    }
    String controller = selector.endpoint();
    if (controller == null) {
      return;
    }
    reporting = true;
    long sentAt = environment.now();
    long sentIn = session.number();
    session.nextTick();
    if (condition.mute()) {
      // Refused at once, or given up like a report that gets no answer.
      long failsAfterMs = environment.chance(0.5) ? 0 : ANSWER_TIMEOUT_MS;
      HttpReply notSent = HttpReply.of(HttpReply.NOT_SENT);
      environment.after(failsAfterMs, () -> ended(notSent, sentAt, sentIn));
      return;
    }
    environment.call(
        worker.endpoint(),
        controller,
        "POST",
        "/agent/beat",
        Json.bytes(worker.state()),
        ANSWER_TIMEOUT_MS,
        reply -> arrived(reply, sentAt, sentIn));
  }

  /** Reports a little later, as a worker does that was shown a higher token. */
  void reportSoon() {
    environment.after(LEAST_PAUSE_MS, this::report);
  }

  private void arrived(HttpReply reply, long sentAt, long sentIn) {
    if (condition.deaf()) {
      // It waits for as long as for any answer that does not come.
      long left = Math.max(0, sentAt + ANSWER_TIMEOUT_MS - environment.now());
      environment.after(left, () -> ended(HttpReply.of(HttpReply.UNKNOWN), sentAt, sentIn));
    } else {
      ended(reply, sentAt, sentIn);
    }
  }

  private void ended(HttpReply reply, long sentAt, long sentIn) {
    reporting = false;
    if (condition.gone() || condition.hanging()) {
      return;
    }
    if (reply.status() == 200) {
      accepted(Json.parse(reply.body()), sentAt, sentIn);
    } else {
      redirected(reply);
    }
  }

  private void accepted(JsonNode body, long sentAt, long sentIn) {
    long token = body.path("baton").asLong(-1);
    if (token < session.token() || sentIn != session.number()) {
      return;
    }
    session.renewLease(sentAt);
    worker.command(token, body);
  }

  private void redirected(HttpReply reply) {
    String named = reply.status() == 421 ? Json.text(Json.parse(reply.body()), "steward") : null;
    if (selector.named(named)) {
      environment.after(environment.between(0, LEAST_PAUSE_MS), this::report);
    } else {
      selector.next();
      environment.after(NEXT_CONTROLLER_MS, this::report);
    }
  }
}
