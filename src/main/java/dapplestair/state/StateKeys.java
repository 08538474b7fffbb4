package dapplestair.state;

/**
 * Names of keys. What is replicated lives under {@link #LIVE}; jobs that are over move out of it,
 * so that the replica and a start's listing stay small however long the cluster runs.
 */
public final class StateKeys {
  /** Prefix of all that controllers replicate. */
  public static final String LIVE = "live/";

  /** The leading controller, attached to its hold. */
  public static final String LEADER = LIVE + "leader";

  /** The last term, never deleted. */
  public static final String TERM = LIVE + "term";

  /** Machine types as last seen. */
  public static final String TYPES = LIVE + "types";

  /** The applied plan and the parting of work. */
  public static final String PLAN = LIVE + "plan";

  /** Prefix of jobs that are not over. */
  public static final String JOB = LIVE + "job/";

  /** Prefix of attempts. */
  public static final String ATTEMPTS = LIVE + "run/";

  /** Prefix of launch batches, each with attempts of many jobs. */
  public static final String LAUNCH_BATCH = LIVE + "sheet/";

  /** Prefix of rentals. */
  public static final String RENTAL = LIVE + "rental/";

  /** Prefix of what teams have reserved of their budgets of disruption. */
  public static final String DISRUPTION = LIVE + "disruption/";

  /** Prefix of zones that were cut, and how they stand since. */
  public static final String ZONE = LIVE + "zone/";

  /** Prefix of run calendars: where each stands, and marks of what was delivered. */
  public static final String CALENDAR = LIVE + "calendar/";

  /** Prefix of what is known of machines' images. */
  public static final String IMAGE_LOCATIONS = LIVE + "weights/";

  /** Prefix of lanes' claims. */
  public static final String LANE = LIVE + "lane/";

  /** Prefix of orders to replace machines. */
  public static final String REPLACEMENT = LIVE + "replace/";

  /** Prefix of machines that operators have emptied. */
  public static final String DRAIN = LIVE + "drain/";

  /** Prefix of zones that operators have emptied. */
  public static final String DRAIN_ZONE = LIVE + "drain-zone/";

  /** Prefix of jobs that are over. */
  public static final String FINISHED_JOB = "over/";

  private StateKeys() {}

  /** A job that is not over. */
  public static String job(String ref) {
    return JOB + ref;
  }

  /** A job that is over. */
  public static String finishedJob(String ref) {
    return FINISHED_JOB + ref;
  }

  /** One chunk of a job's attempts. */
  public static String attemptChunk(String ref, int chunk) {
    return ATTEMPTS + ref + "/" + chunk;
  }

  /** One launch batch; the term makes its name the leader's own. */
  public static String launchBatch(long term, long number) {
    return LAUNCH_BATCH + term + "-" + number;
  }

  /** One rental. */
  public static String rental(String name) {
    return RENTAL + name;
  }
}
