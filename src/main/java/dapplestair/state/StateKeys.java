package dapplestair.state;

/**
 * Names of keys in the state service. Replicated keys have the prefix {@link #LIVE}. Finished jobs
 * are moved out of it, so that the replica and the listing at a start stay small however long the
 * cluster runs.
 */
public final class StateKeys {
  /** Prefix of all keys that controllers replicate. */
  public static final String LIVE = "live/";

  /** Key of the leading controller, attached to its hold. */
  public static final String LEADER = LIVE + "leader";

  /** Key of the latest term; it is never deleted. */
  public static final String TERM = LIVE + "term";

  /** Key of the machine types as last read from the cloud. */
  public static final String TYPES = LIVE + "types";

  /** Key of the applied plan and the division of work. */
  public static final String PLAN = LIVE + "plan";

  /** Prefix of unfinished jobs. */
  public static final String JOB = LIVE + "job/";

  /** Prefix of attempts. */
  public static final String ATTEMPTS = LIVE + "run/";

  /** Prefix of launch batches, each with attempts of many jobs. */
  public static final String LAUNCH_BATCH = LIVE + "sheet/";

  /** Prefix of rentals. */
  public static final String RENTAL = LIVE + "rental/";

  /** Prefix of the parts of their disruption budgets that teams have reserved. */
  public static final String DISRUPTION = LIVE + "disruption/";

  /** Prefix of zones that were cut off, with their status since then. */
  public static final String ZONE = LIVE + "zone/";

  /** Prefix of run calendars: the position of each, and marks of what was delivered. */
  public static final String CALENDAR = LIVE + "calendar/";

  /** Prefix of the locations of images on machines. */
  public static final String IMAGE_LOCATIONS = LIVE + "weights/";

  /** Prefix of lanes' claims. */
  public static final String LANE = LIVE + "lane/";

  /** Prefix of orders to replace machines. */
  public static final String REPLACEMENT = LIVE + "replace/";

  /** Prefix of machines that operators drain. */
  public static final String DRAIN = LIVE + "drain/";

  /** Prefix of zones that operators drain. */
  public static final String DRAIN_ZONE = LIVE + "drain-zone/";

  /** Prefix of finished jobs. */
  public static final String FINISHED_JOB = "over/";

  private StateKeys() {}

  /** Returns the key of an unfinished job. */
  public static String job(String ref) {
    return JOB + ref;
  }

  /** Returns the key of a finished job. */
  public static String finishedJob(String ref) {
    return FINISHED_JOB + ref;
  }

  /** Returns the key of one chunk of a job's attempts. */
  public static String attemptChunk(String ref, int chunk) {
    return ATTEMPTS + ref + "/" + chunk;
  }

  /** Returns the key of a launch batch; the term makes it unique among leaders. */
  public static String launchBatch(long term, long number) {
    return LAUNCH_BATCH + term + "-" + number;
  }

  /** Returns the key of a rental. */
  public static String rental(String name) {
    return RENTAL + name;
  }
}
