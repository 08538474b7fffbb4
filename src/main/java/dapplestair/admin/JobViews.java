package dapplestair.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.filter.Filter;
import dapplestair.json.Json;
import dapplestair.ledger.Attempt;
import dapplestair.ledger.Job;
import dapplestair.ledger.Ledger;
import dapplestair.ports.Clock;
import dapplestair.state.StateClient;
import dapplestair.state.StateKeys;
import dapplestair.work.Submission;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Builds the views of jobs for operators. */
final class JobViews {
  private static final int MAX_ATTEMPTS_PER_ANSWER = 200;

  private final Clock clock;
  private final Ledger ledger;
  private final StateClient stateClient;
  private final AsOfStamp asOf;
  private final PagedListing listing;

  // References of the jobs that have not finished, in the order in which they are listed.
  private final TreeSet<String> unfinishedRefs = new TreeSet<>();

  JobViews(
      Clock clock, Ledger ledger, StateClient stateClient, AsOfStamp asOf, PagedListing listing) {
    this.clock = clock;
    this.ledger = ledger;
    this.stateClient = stateClient;
    this.asOf = asOf;
    this.listing = listing;
  }

  void addUnfinished(String ref) {
    unfinishedRefs.add(ref);
  }

  void removeUnfinished(String ref) {
    unfinishedRefs.remove(ref);
  }

  void clearUnfinished() {
    unfinishedRefs.clear();
  }

  // ---- listing ----

  void list(Filter filter, String after, int limit, Consumer<AdminResponse> done) {
    listing.read(unfinishedRefs, this::unfinishedRow, filter, after, limit, done);
  }

  private PagedListing.WritableRow unfinishedRow(String ref) {
    Job job = ledger.job(ref);
    if (job == null || job.isOver()) {
      return null;
    }
    int[] counts = ledger.taskCounts(job);
    return new JobRow(
        job.spec(),
        statusOf(counts),
        counts[0],
        counts[1],
        Math.max(0, job.spec().taskCount() - counts[0] - counts[1]),
        ageS(job.acceptedWallMs()));
  }

  /** Returns the status of an unfinished job from the counts of {@link Ledger#taskCounts}. */
  static String statusOf(int[] counts) {
    return counts[1] > 0 ? "running" : "queued";
  }

  private double ageS(long acceptedWallMs) {
    return Math.max(0, clock.wall() - acceptedWallMs) / 1000.0;
  }

  /** Lists finished jobs. They are not replicated, so a page is read from the state service. */
  void listFinished(Filter filter, String after, int limit, Consumer<AdminResponse> done) {
    stateClient.list(
        StateKeys.FINISHED_JOB,
        after == null ? null : StateKeys.finishedJob(after),
        limit,
        page -> {
          if (!page.path("rows").isArray()) {
            done.accept(AdminResponse.retryLater("the state service did not answer"));
            return;
          }
          List<byte[]> rows = new ArrayList<>();
          String lastRef = null;
          for (JsonNode node : page.get("rows")) {
            lastRef = node.path("k").asText().substring(StateKeys.FINISHED_JOB.length());
            PagedListing.WritableRow row = finishedRow(node.path("value"));
            if (row != null && filter.test(row)) {
              rows.add(Json.writeBytes(row::write));
            }
          }
          done.accept(listing.page(rows, Json.flag(page, "more") ? lastRef : null));
        });
  }

  private PagedListing.WritableRow finishedRow(JsonNode record) {
    Submission submission = parseSubmission(record);
    if (submission == null) {
      return null;
    }
    String status = Json.text(record, "status");
    int doneTasks = "done".equals(status) ? submission.taskCount() : 0;
    return new JobRow(submission, status, doneTasks, 0, 0, ageS(Json.number(record, "at", 0)));
  }

  private static Submission parseSubmission(JsonNode record) {
    try {
      return Submission.parse(record.path("job"));
    } catch (Submission.InvalidSubmissionException e) {
      return null;
    }
  }

  /** A job as a row of a listing. */
  private record JobRow(
      Submission job, String status, int doneTasks, int runningTasks, int waitingTasks, double ageS)
      implements PagedListing.WritableRow {
    @Override
    public Object value(String field) {
      return switch (field) {
        case "ref" -> job.ref();
        case "class" -> job.jobClass();
        case "team" -> job.team();
        case "shape" -> job.shape().wireName();
        case "rank" -> job.rank().wireName();
        case "status" -> status;
        case "tasks" -> (double) job.taskCount();
        case "done" -> (double) doneTasks;
        case "running" -> (double) runningTasks;
        case "waiting_tasks" -> (double) waitingTasks;
        case "waiting" -> waitingTasks > 0 ? ageS : 0.0;
        case "age" -> ageS;
        case "cpus" -> job.cpus();
        case "spot" -> job.spot();
        case "zone" -> job.zone();
        default -> null;
      };
    }

    @Override
    public void write(JsonGenerator generator) throws IOException {
      generator.writeStartObject();
      generator.writeStringField("ref", job.ref());
      generator.writeStringField("status", status);
      generator.writeStringField("class", job.jobClass());
      generator.writeStringField("team", job.team());
      generator.writeStringField("shape", job.shape().wireName());
      generator.writeStringField("rank", job.rank().wireName());
      generator.writeNumberField("tasks", job.taskCount());
      generator.writeNumberField("done", doneTasks);
      generator.writeNumberField("running", runningTasks);
      generator.writeNumberField("waiting_tasks", waitingTasks);
      generator.writeNumberField("waiting", waitingTasks > 0 ? ageS : 0);
      generator.writeNumberField("age", ageS);
      generator.writeNumberField("cpus", job.cpus());
      generator.writeBooleanField("spot", job.spot());
      generator.writeStringField("zone", job.zone());
      generator.writeEndObject();
    }
  }

  // ---- one job ----

  /**
   * Shows one job with its attempts from step {@code fromStep} on. Only the leader knows the
   * attempts.
   */
  void show(String ref, int fromStep, Consumer<AdminResponse> done) {
    Job job = ledger.job(ref);
    if (job != null && !job.isOver()) {
      done.accept(AdminResponse.of(unfinishedJson(job, fromStep)));
      return;
    }
    readFinished(
        ref,
        done,
        record -> {
          ObjectNode object = asOf.newObject().put("status", Json.text(record, "status"));
          object.put("accepted", Json.number(record, "at", 0));
          object.set("job", record.path("job"));
          return AdminResponse.of(object);
        });
  }

  /**
   * Reads the record of a finished job and answers with it; answers with status 404 if the job was
   * never accepted.
   */
  void readFinished(
      String ref,
      Consumer<AdminResponse> done,
      java.util.function.Function<JsonNode, AdminResponse> toResponse) {
    // All tasks of a job in the ledger may be done before its end is recorded, or the end may be
    // recorded just after this read: a missing record then does not mean an unknown job.
    boolean isEnding = ledger.job(ref) != null;
    stateClient.get(
        StateKeys.finishedJob(ref),
        read -> {
          if (!read.known()) {
            done.accept(AdminResponse.retryLater("the state service did not answer"));
          } else if (!read.exists() && isEnding) {
            done.accept(AdminResponse.retryLater("the job is just ending"));
          } else if (!read.exists()) {
            done.accept(AdminResponse.error(404, "no job " + ref));
          } else {
            done.accept(toResponse.apply(read.value()));
          }
        });
  }

  private ObjectNode unfinishedJson(Job job, int fromStep) {
    Submission submission = job.spec();
    int[] counts = ledger.taskCounts(job);
    ObjectNode object =
        asOf.newObject()
            .put("status", statusOf(counts))
            .put("accepted", job.acceptedWallMs())
            .put("age", ageS(job.acceptedWallMs()))
            .put("tasks", submission.taskCount())
            .put("done", counts[0])
            .put("running", counts[1])
            .put("waiting_tasks", job.waitingTasks());
    object.set("job", submission.toJson());
    ArrayNode attemptArray = object.putArray("attempts");
    List<Attempt> attempts = ledger.attempts(job, fromStep, MAX_ATTEMPTS_PER_ANSWER + 1);
    for (Attempt attempt :
        attempts.subList(0, Math.min(MAX_ATTEMPTS_PER_ANSWER, attempts.size()))) {
      attemptArray.add(attemptJson(attempt));
    }
    if (attempts.size() > MAX_ATTEMPTS_PER_ANSWER) {
      object.put("next", attempts.get(MAX_ATTEMPTS_PER_ANSWER).step());
    }
    return object;
  }

  /** Returns an attempt with its machine, its status and its progress. */
  ObjectNode attemptJson(Attempt attempt) {
    String status =
        attempt.status() == null ? "launching" : attempt.status().name().toLowerCase(Locale.ROOT);
    return Json.object()
        .put("task", attempt.key())
        .put("try", attempt.number())
        .put("machine", attempt.host())
        .put("zone", attempt.zone())
        .put("status", attempt.halting() && !attempt.exited() ? "stopping" : status)
        .put("ran_s", attempt.runTimeS(clock.now()))
        .put("saved_s", attempt.savedS());
  }
}
