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

/** Jobs as operators see them. */
final class JobViews {
  private static final int MOST_TASKS = 200;

  private final Clock clock;
  private final Ledger ledger;
  private final StateClient state;
  private final AsOfStamp asOf;
  private final PagedListing listing;

  // Jobs that are not over, in the order in which they are listed.
  private final TreeSet<String> live = new TreeSet<>();

  JobViews(Clock clock, Ledger ledger, StateClient state, AsOfStamp asOf, PagedListing listing) {
    this.clock = clock;
    this.ledger = ledger;
    this.state = state;
    this.asOf = asOf;
    this.listing = listing;
  }

  void put(String ref) {
    live.add(ref);
  }

  void removed(String ref) {
    live.remove(ref);
  }

  void clear() {
    live.clear();
  }

  // ---- listing ----

  void list(Filter filter, String after, int limit, Consumer<AdminResponse> done) {
    listing.read(live, this::row, filter, after, limit, done);
  }

  private PagedListing.WritableRow row(String ref) {
    Job job = ledger.job(ref);
    if (job == null || job.isOver()) {
      return null;
    }
    int[] counts = ledger.taskCounts(job);
    return new JobRow(
        job.spec(),
        status(counts),
        counts[0],
        counts[1],
        Math.max(0, job.spec().taskCount() - counts[0] - counts[1]),
        age(job.acceptedWallMs()));
  }

  /** The word for a job that is not over, by {@link Ledger#taskCounts}. */
  static String status(int[] counts) {
    return counts[1] > 0 ? "running" : "queued";
  }

  private double age(long acceptedWall) {
    return Math.max(0, clock.wall() - acceptedWall) / 1000.0;
  }

  /** Jobs that are over are not replicated: the state service is asked for a page of them. */
  void listOver(Filter filter, String after, int limit, Consumer<AdminResponse> done) {
    state.list(
        StateKeys.FINISHED_JOB,
        after == null ? null : StateKeys.finishedJob(after),
        limit,
        page -> {
          if (!page.path("rows").isArray()) {
            done.accept(AdminResponse.later("the state service did not answer"));
            return;
          }
          List<byte[]> rows = new ArrayList<>();
          String last = null;
          for (JsonNode node : page.get("rows")) {
            last = node.path("k").asText().substring(StateKeys.FINISHED_JOB.length());
            PagedListing.WritableRow written = overRow(node.path("value"));
            if (written != null && filter.test(written)) {
              rows.add(Json.writeBytes(written::write));
            }
          }
          done.accept(listing.page(rows, Json.flag(page, "more") ? last : null));
        });
  }

  private PagedListing.WritableRow overRow(JsonNode record) {
    Submission submission = submission(record);
    if (submission == null) {
      return null;
    }
    String status = Json.text(record, "status");
    int done = "done".equals(status) ? submission.taskCount() : 0;
    return new JobRow(submission, status, done, 0, 0, age(Json.number(record, "at", 0)));
  }

  private static Submission submission(JsonNode record) {
    try {
      return Submission.parse(record.path("job"));
    } catch (Submission.InvalidSubmissionException e) {
      return null;
    }
  }

  /** One row of a listing. */
  private record JobRow(
      Submission job, String status, int done, int running, int waiting, double ageS)
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
        case "done" -> (double) done;
        case "running" -> (double) running;
        case "waiting_tasks" -> (double) waiting;
        case "waiting" -> waiting > 0 ? ageS : 0.0;
        case "age" -> ageS;
        case "cpus" -> job.cpus();
        case "spot" -> job.spot();
        case "zone" -> job.zone();
        default -> null;
      };
    }

    @Override
    public void write(JsonGenerator out) throws IOException {
      out.writeStartObject();
      out.writeStringField("ref", job.ref());
      out.writeStringField("status", status);
      out.writeStringField("class", job.jobClass());
      out.writeStringField("team", job.team());
      out.writeStringField("shape", job.shape().wireName());
      out.writeStringField("rank", job.rank().wireName());
      out.writeNumberField("tasks", job.taskCount());
      out.writeNumberField("done", done);
      out.writeNumberField("running", running);
      out.writeNumberField("waiting_tasks", waiting);
      out.writeNumberField("waiting", waiting > 0 ? ageS : 0);
      out.writeNumberField("age", ageS);
      out.writeNumberField("cpus", job.cpus());
      out.writeBooleanField("spot", job.spot());
      out.writeStringField("zone", job.zone());
      out.writeEndObject();
    }
  }

  // ---- one job ----

  /** One job with its attempts from step {@code from} on; only a leader knows them. */
  void show(String ref, int from, Consumer<AdminResponse> done) {
    Job job = ledger.job(ref);
    if (job != null && !job.isOver()) {
      done.accept(AdminResponse.of(shown(job, from)));
      return;
    }
    over(
        ref,
        done,
        record -> {
          ObjectNode object = asOf.object().put("status", Json.text(record, "status"));
          object.put("accepted", Json.number(record, "at", 0));
          object.set("job", record.path("job"));
          return AdminResponse.of(object);
        });
  }

  /** Reads how a job ended; 404 when it was never accepted. */
  void over(
      String ref,
      Consumer<AdminResponse> done,
      java.util.function.Function<JsonNode, AdminResponse> found) {
    // All of it may be done though that is not on record yet, or only a moment after it was read.
    boolean ending = ledger.job(ref) != null;
    state.get(
        StateKeys.finishedJob(ref),
        read -> {
          if (!read.known()) {
            done.accept(AdminResponse.later("the state service did not answer"));
          } else if (!read.exists() && ending) {
            done.accept(AdminResponse.later("the job is just ending"));
          } else if (!read.exists()) {
            done.accept(AdminResponse.error(404, "no job " + ref));
          } else {
            done.accept(found.apply(read.value()));
          }
        });
  }

  private ObjectNode shown(Job job, int from) {
    Submission submission = job.spec();
    int[] counts = ledger.taskCounts(job);
    ObjectNode object =
        asOf.object()
            .put("status", status(counts))
            .put("accepted", job.acceptedWallMs())
            .put("age", age(job.acceptedWallMs()))
            .put("tasks", submission.taskCount())
            .put("done", counts[0])
            .put("running", counts[1])
            .put("waiting_tasks", job.waitingTasks());
    object.set("job", submission.toJson());
    ArrayNode list = object.putArray("attempts");
    List<Attempt> attempts = ledger.attempts(job, from, MOST_TASKS + 1);
    for (Attempt attempt : attempts.subList(0, Math.min(MOST_TASKS, attempts.size()))) {
      list.add(attempt(attempt));
    }
    if (attempts.size() > MOST_TASKS) {
      object.put("next", attempts.get(MOST_TASKS).step());
    }
    return object;
  }

  /** One attempt: where it is and how far. */
  ObjectNode attempt(Attempt attempt) {
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
