package dapplestair.admin;

import dapplestair.filter.Filter;
import dapplestair.filter.FilterException;
import dapplestair.filter.Schema;
import dapplestair.work.Submission;
import java.util.function.Consumer;

/**
 * Maps request paths to handlers, with the role that each needs and whether only the leader can
 * answer.
 */
final class Routes {
  /** Maximum time that one request for events waits for the next event. */
  static final long MAX_POLL_MS = 30_000;

  private static final String PATH_PREFIX = "/v1/";
  private static final int DEFAULT_ROWS_PER_PAGE = 100;

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

  /** Answers a request. */
  @FunctionalInterface
  interface Handler {
    void answer(AdminRequest request, Consumer<AdminResponse> done)
        throws AdminRequest.BadRequestException;
  }

  /**
   * A handler with the conditions for using it.
   *
   * @param role the role that a caller needs
   * @param leaderOnly true if only the leader has the state in memory
   * @param waitMs how long the handler may wait before it answers
   */
  record Route(Role role, boolean leaderOnly, long waitMs, Handler handler) {}

  /** Returns the route for the path of a request, or null if there is no such path. */
  Route find(AdminRequest request) {
    if (!request.path().startsWith(PATH_PREFIX)) {
      return null;
    }
    String[] parts = request.path().substring(PATH_PREFIX.length()).split("/", -1);
    return switch (parts.length) {
      case 1 -> collectionRoute(request, parts[0]);
      case 2 -> itemRoute(parts[0], parts[1]);
      case 3 -> subpathRoute(parts[0], parts[1], parts[2]);
      default -> null;
    };
  }

  private static Route viewRoute(boolean leaderOnly, Handler handler) {
    return new Route(Role.VIEW, leaderOnly, 0, handler);
  }

  private Route collectionRoute(AdminRequest request, String collection) {
    return switch (collection) {
      case "jobs" -> viewRoute(false, this::listJobs);
      case "machines" -> viewRoute(true, this::listMachines);
      case "teams" -> viewRoute(true, (x, done) -> done.accept(AdminResponse.of(cluster.teams())));
      case "plan" -> viewRoute(true, (x, done) -> done.accept(AdminResponse.of(cluster.plan())));
      case "zones" -> viewRoute(true, (x, done) -> done.accept(AdminResponse.of(cluster.zones())));
      case "status" ->
          viewRoute(true, (x, done) -> done.accept(AdminResponse.of(cluster.status())));
      case "replacements" ->
          viewRoute(true, (x, done) -> done.accept(AdminResponse.of(replacements.list())));
      case "drains" ->
          viewRoute(true, (x, done) -> done.accept(AdminResponse.of(machines.drains())));
      case "events" -> new Route(Role.VIEW, true, parseWaitMs(request), this::listEvents);
      default -> null;
    };
  }

  private Route itemRoute(String collection, String name) {
    return switch (collection) {
      case "jobs" ->
          viewRoute(
              true,
              (request, done) -> {
                if (Submission.isValidRef(name)) {
                  jobs.show(
                      name, (int) request.boundedNumber("from", 0, 0, Integer.MAX_VALUE), done);
                } else {
                  done.accept(AdminResponse.error(404, "no job " + name));
                }
              });
      case "machines" -> viewRoute(true, (request, done) -> machines.show(name, done));
      case "replacements" -> viewRoute(true, (request, done) -> replacements.show(name, done));
      default -> null;
    };
  }

  private Route subpathRoute(String collection, String name, String action) {
    if (collection.equals("jobs") && action.equals("why")) {
      return viewRoute(
          true,
          (request, done) -> {
            if (Submission.isValidRef(name)) {
              why.explain(name, done);
            } else {
              done.accept(AdminResponse.error(404, "no job " + name));
            }
          });
    }
    if (collection.equals("replacements")) {
      return replacementRoute(name, action);
    }
    boolean isDrain = action.equals("drain");
    if (!isDrain && !action.equals("undrain")) {
      return null;
    }
    return switch (collection) {
      case "machines" ->
          new Route(
              Role.OPERATE,
              true,
              0,
              (request, done) -> drains.changeMachineDrain(request, name, isDrain, done));
      case "zones" ->
          new Route(
              Role.OPERATE,
              true,
              0,
              (request, done) -> drains.changeZoneDrain(request, name, isDrain, done));
      default -> null;
    };
  }

  private Route replacementRoute(String name, String action) {
    return switch (action) {
      case "start" -> operateRoute((request, done) -> replacements.start(request, name, done));
      case "pause" -> operateRoute((request, done) -> replacements.pause(request, name, done));
      case "resume" -> operateRoute((request, done) -> replacements.resume(name, done));
      case "abort" -> operateRoute((request, done) -> replacements.abort(name, done));
      default -> null;
    };
  }

  private static Route operateRoute(Handler handler) {
    return new Route(Role.OPERATE, true, 0, handler);
  }

  private static long parseWaitMs(AdminRequest request) {
    try {
      return request.boundedNumber("waitMs", 0, 0, MAX_POLL_MS);
    } catch (AdminRequest.BadRequestException e) {
      return 0;
    }
  }

  private static Filter parseFilter(AdminRequest request, Schema schema)
      throws AdminRequest.BadRequestException {
    String where = request.param("where");
    try {
      return Filter.read(where, schema);
    } catch (FilterException e) {
      throw new AdminRequest.BadRequestException(
          "where: " + e.getMessage() + " (character " + e.position() + ")");
    }
  }

  private static int parseLimit(AdminRequest request) throws AdminRequest.BadRequestException {
    return (int)
        request.boundedNumber("limit", DEFAULT_ROWS_PER_PAGE, 1, PagedListing.MAX_ROWS_PER_PAGE);
  }

  private void listJobs(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    Filter filter = parseFilter(request, Schema.JOBS);
    if ("over".equals(request.param("scope"))) {
      jobs.listFinished(filter, request.param("after"), parseLimit(request), done);
    } else {
      jobs.list(filter, request.param("after"), parseLimit(request), done);
    }
  }

  private void listMachines(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    machines.list(
        parseFilter(request, Schema.MACHINES), request.param("after"), parseLimit(request), done);
  }

  private void listEvents(AdminRequest request, Consumer<AdminResponse> done)
      throws AdminRequest.BadRequestException {
    long after = request.boundedNumber("after", 0, 0, Long.MAX_VALUE);
    events.list(
        parseFilter(request, Schema.EVENTS),
        after,
        request.param("log"),
        parseLimit(request),
        parseWaitMs(request),
        done);
  }
}
