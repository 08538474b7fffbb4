package dapplestair.placement;

/** What placement says of one machine, or of the cluster as a whole, for a task that waits. */
public enum PlacementVerdict {
  /** A task may start there. */
  FITS(Scope.MACHINE, "it may start there: the next turn places it"),
  /** Wrong type or zone. */
  NOT_ALLOWED(Scope.MACHINE, "its job does not allow this type or zone"),
  /** A spot machine, and the job wants none. */
  SPOT(Scope.MACHINE, "its job may not use spot machines"),
  /** No room. */
  FULL(Scope.MACHINE, "not enough free CPUs, memory or accelerators"),
  /** Not heard by this leader yet. */
  NOT_UP(Scope.MACHINE, "booting, or not heard yet"),
  /** Silent of late. */
  SILENT(Scope.MACHINE, "has not reported lately"),
  /** Being returned. */
  RETURNING(Scope.MACHINE, "being returned to the cloud"),
  /** Fails what it starts. */
  FAULTY(Scope.MACHINE, "fails what it starts, so it is emptied"),
  /** Emptied by operators. */
  DRAINED(Scope.MACHINE, "drained by operators"),
  /** To be replaced soon. */
  LEAVING(Scope.MACHINE, "to be replaced before it would end there"),
  /** The plan wants fewer. */
  CORDONED(Scope.MACHINE, "the plan wants fewer of its kind"),
  /** The cloud takes it. */
  NOTICE(Scope.MACHINE, "the cloud is about to take it"),
  /** Something unexplained runs there. */
  STRAYS(Scope.MACHINE, "runs something that no record explains"),
  /** A task of the job failed there a moment ago. */
  FAILED_HERE(Scope.MACHINE, "a task of the job failed there a moment ago"),
  /** Tasks of several jobs failed there: one task at a time. */
  PROBATION(Scope.MACHINE, "tasks of several jobs failed there: it is tried by one at a time"),
  /** Room kept for replicas. */
  HELD_FOR_SERVICES(Scope.MACHINE, "its room is held for services"),
  /** Room kept for a job that has waited for long. */
  KEPT(Scope.MACHINE, "it is kept for a job that has waited for long"),
  /** The job's tasks would crowd one zone. */
  SPREAD(Scope.MACHINE, "half of the job's tasks are in its zone already"),
  /** The job's tasks are in another zone. */
  TOGETHER(Scope.MACHINE, "the job's other tasks are in another zone"),

  /** The team's limit. */
  TEAM_LIMIT(Scope.JOB, "its team's limit"),
  /** Failing everywhere, and its pause lasts. */
  BACKED_OFF(Scope.JOB, "held back for a while after its tasks failed"),
  /** Failing everywhere: the others wait for the one that is tried. */
  PROBING(Scope.JOB, "it fails wherever it runs: one task at a time is tried"),
  /** Steps that failed again and again. */
  STEPS_BACKED_OFF(Scope.JOB, "these tasks failed again and again: each waits for a while"),
  /** Its run calendar has not released its cycle. */
  CYCLE(Scope.JOB, "its run calendar waits for deliveries, or for the cut-off"),
  /** A gang needs room for all. */
  GANG(Scope.JOB, "a gang starts only when there is room for all of it"),
  /** A starving gang goes first. */
  BEHIND_GANG(Scope.JOB, "a gang that has waited long goes first"),
  /** Better to wait for an image. */
  AWAITS_IMAGE(Scope.JOB, "room where its image is comes sooner than a fetch would end"),
  /** Borrowed or lower-ranked work is being stopped for it. */
  ROOM_ON_ITS_WAY(Scope.JOB, "other work is being stopped to make room"),
  /** Its attempts are not over: it was cancelled or is done. */
  OVER(Scope.JOB, "its job is over");

  /** What a verdict speaks of. */
  public enum Scope {
    /** One machine. */
    MACHINE,
    /** The job, wherever it might run. */
    JOB
  }

  private final Scope scope;
  private final String description;

  PlacementVerdict(Scope scope, String description) {
    this.scope = scope;
    this.description = description;
  }

  /** What it speaks of. */
  public Scope scope() {
    return scope;
  }

  /** For people. */
  public String description() {
    return description;
  }

  /** For scripts. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
