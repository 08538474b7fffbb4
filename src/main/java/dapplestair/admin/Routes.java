package dapplestair.admin;

import dapplestair.filter.Filter;
import dapplestair.filter.FilterException;
import dapplestair.filter.Schema;
import dapplestair.work.Submission;
import java.util.function.Consumer;

/** What may be asked, who may ask it, and who can answer it. */
final class Routes {
  /** The longest that a follower of events waits in one request. */
  static final long LONGEST_POLL_MS = 30_000;

  private static final String V1 = "/v1/";
  private static final int USUAL_ROWS = 100;

  private final JobViews jobs;
  private final MachineViews machines;
  private final WhyView why;
  private final ClusterViews cluster;
  private final EventViews events;
  private final DrainHandler drains;
  private final ReplacementHandler replacements;

  Routes(
      JobViews jobs,
      MachineViews machines,
      WhyView why,
      ClusterViews cluster,
      EventViews events,
      DrainHandler drains,
      ReplacementHandler replacements) {
    this.jobs = jobs;
    this.machines = machines;
    this.why = why;
    this.cluster = cluster;
    this.events = events;
    this.drains = drains;
    this.replacements = replacements;
  }

  /** Something that answers a question. */
  @FunctionalInterface
  interface Handler {
    void answer(AdminRequest request, Consumer<AdminResponse> done)
        throws AdminRequest.BadRequestException;
  }

  /**
   * A way to an answer.
   *
   * @param role who may take it
   * @param byLeader true when only a leader's memory knows
   * @param waitMs how long the answer may keep silent before it comes
   */
  record Route(Role role, boolean byLeader, long waitMs, Handler handler) {}

  /** Where a question goes, or null when there is no such path. */
  Route find(AdminRequest request) {
    if (!request.path().startsWith(V1)) {
      return null;
    }
    String[] parts = request.path().substring(V1.length()).split("/", -1);
    return switch (parts.length) {
      case 1 -> all(request, parts[0]);
      case 2 -> one(parts[0], parts[1]);
      case 3 -> part(parts[0], parts[1], parts[2]);
      default -> null;
    };
  }

  private static Route view(boolean byLeader, Handler handler) {
    return new Route(Role.VIEW, byLeader, 0, handler);
  }

  private Route all(AdminRequest request, String what) {
    return switch (what) {
      case "jobs" -> view(false, this::listJobs);
      case "machines" -> view(true, this::listMachines);
      case "teams" -> view(true, (x, done) -> done.accept(AdminResponse.of(cluster.teams())));
      case "plan" -> view(true, (x, done) -> done.accept(AdminResponse.of(cluster.plan())));
      case "zones" -> view(true, (x, done) -> done.accept(AdminResponse.of(cluster.zones())));
      case "status" -> view(true, (x, done) -> done.accept(AdminResponse.of(cluster.status())));
      case "replacements" ->
          view(true, (x, done) -> done.accept(AdminResponse.of(replacements.list())));
      case "drains" -> view(true, (x, done) -> done.accept(AdminResponse.of(machines.drains())));
      case "events" -> new Route(Role.VIEW, true, waitMs(request), this::listEvents);
      default -> null;
    };
  }

  private Route one(String what, String name) {
    return switch (what) {
      case "jobs" ->
          view(
              true,
              (x, done) -> {
                if (Submission.isValidRef(name)) {
                  jobs.show(name, (int) x.number("from", 0, 0, Integer.MAX_VALUE), done);
                } else {
                  done.accept(AdminResponse.error(404, "no job " + name));
                }
              });
      case "machines" -> view(true, (x, done) -> machines.show(name, done));
      case "replacements" -> view(true, (x, done) -> replacements.show(name, done));
      default -> null;
    };
  }

  private Route part(String what, String name, String part) {
    if (what.equals("jobs") && part.equals("why")) {
      return view(
          true,
          (x, done) -> {
            if (Submission.isValidRef(name)) {
              why.why(name, done);
            } else {
              done.accept(AdminResponse.error(404, "no job " + name));
            }
          });
    }
    if (what.equals("replacements")) {
      return replacement(name, part);
    }
    boolean on = part.equals("drain");
    if (!on && !part.equals("undrain")) {
      return null;
    }
    return switch (what) {
      case "machines" ->
          new Route(Role.OPERATE, true, 0, (x, done) -> drains.machine(x, name, on, done));
      case "zones" -> new Route(Role.OPERATE, true, 0, (x, done) -> drains.zone(x, name, on, done));
      default -> null;
    };
  }

  private Route replacement(String name, String part) {
    return switch (part) {
      case "start" -> order((x, done) -> replacements.start(x, name, done));
      case "pause" -> order((x, done) -> replacements.pause(x, name, done));
      case "resume" -> order((x, done) -> replacements.resume(name, done));
      case "abort" -> order((x, done) -> replacements.abort(name, done));
      default -> null;
    };
  }

  private static Route order(Handler handler) {
    return new Route(Role.OPERATE, true, 0, handler);
  }

  private static long waitMs(AdminRequest request) {
    try {
      return request.number("waitMs", 0, 0, LONGEST_POLL_MS);
    } catch (AdminRequest.BadRequestException e) {
      return 0;
    }
  }

  private static Filter filter(AdminRequest request, Schema schema)
      throws AdminRequest.BadRequestException {
    String where = request.param("where");
    try {
      return Filter.read(where, schema);
    } catch (FilterException e) {
      throw new AdminRequest.BadRequestException(
          "where: " + e.getMessage() + " (character " + e.at() + ")");
    }
  }

  private static int limit(AdminRequest request) throws AdminRequest.BadRequestException {
    return (int) request.number("limit", USUAL_ROWS, 1, PagedListing.MOST_ROWS);
  }

  private void listJobs(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    Filter filter = filter(request, Schema.JOBS);
    if ("over".equals(request.param("scope"))) {
      jobs.listOver(filter, request.param("after"), limit(request), done);
    } else {
      jobs.list(filter, request.param("after"), limit(request), done);
    }
  }

  private void listMachines(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    machines.list(filter(request, Schema.MACHINES), request.param("after"), limit(request), done);
  }

  private void listEvents(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    long after = request.number("after", 0, 0, Long.MAX_VALUE);
    events.list(filter(request, Schema.EVENTS), after, limit(request), waitMs(request), done);
  }
}
