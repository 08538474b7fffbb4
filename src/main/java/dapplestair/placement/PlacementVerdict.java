package dapplestair.placement;

/** Verdict of placement on one machine, or on the cluster as a whole, for a waiting task. */
public enum PlacementVerdict {
  /** A task may start on the machine. */
  FITS(Scope.MACHINE, "it may start there: the next turn places it"),
  /** The job does not allow the machine's type or zone. */
  NOT_ALLOWED(Scope.MACHINE, "its job does not allow this type or zone"),
  /** The machine is a spot machine, and the job allows none. */
  SPOT(Scope.MACHINE, "its job may not use spot machines"),
  /** The machine has too little free capacity. */
  FULL(Scope.MACHINE, "not enough free CPUs, memory or accelerators"),
  /** The machine is booting, or this leader has not received a report from it yet. */
  NOT_UP(Scope.MACHINE, "booting, or not heard yet"),
  /** The machine has not reported lately. */
  SILENT(Scope.MACHINE, "has not reported lately"),
  /** The machine is being returned to the cloud. */
  RETURNING(Scope.MACHINE, "being returned to the cloud"),
  /** The machine fails the tasks that it starts, so it is being drained. */
  FAULTY(Scope.MACHINE, "fails what it starts, so it is emptied"),
  /** Operators have drained the machine. */
  DRAINED(Scope.MACHINE, "drained by operators"),
  /** The machine will be replaced before the task would end. */
  LEAVING(Scope.MACHINE, "to be replaced before it would end there"),
  /** The plan wants fewer machines of this kind. */
  CORDONED(Scope.MACHINE, "the plan wants fewer of its kind"),
  /** The cloud is about to reclaim the machine. */
  NOTICE(Scope.MACHINE, "the cloud is about to take it"),
  /** The machine runs a task that no record explains. */
  STRAYS(Scope.MACHINE, "runs something that no record explains"),
  /** A task of the job failed on the machine recently. */
  FAILED_HERE(Scope.MACHINE, "a task of the job failed there a moment ago"),
  /** Tasks of several jobs failed on the machine: it gets one task at a time. */
  PROBATION(Scope.MACHINE, "tasks of several jobs failed there: it is tried by one at a time"),
  /** The free capacity is reserved for service replicas or lane riders. */
  HELD_FOR_SERVICES(Scope.MACHINE, "its room is held for services"),
  /** The machine is reserved for a job that has waited for long, or claimed by lane riders. */
  KEPT(Scope.MACHINE, "it is kept for a job that has waited for long"),
  /** Too many of the job's tasks would run in one zone. */
  SPREAD(Scope.MACHINE, "half of the job's tasks are in its zone already"),
  /** The job's tasks must share a zone, and the others run in another one. */
  TOGETHER(Scope.MACHINE, "the job's other tasks are in another zone"),

  /** The team has reached its limit. */
  TEAM_LIMIT(Scope.JOB, "its team's limit"),
  /** The job's starts are delayed, after failures or refused starts. */
  BACKED_OFF(Scope.JOB, "held back for a while after its tasks failed"),
  /** The job fails wherever it runs: its other tasks wait for the probe. */
  PROBING(Scope.JOB, "it fails wherever it runs: one task at a time is tried"),
  /** Steps that failed repeatedly are held back. */
  STEPS_BACKED_OFF(Scope.JOB, "these tasks failed again and again: each waits for a while"),
  /** The job's run calendar has not released its cycle. */
  CYCLE(Scope.JOB, "its run calendar waits for deliveries, or for the cut-off"),
  /** Not all tasks of the gang fit at once. */
  GANG(Scope.JOB, "a gang starts only when there is room for all of it"),
  /** A gang that has waited for long goes first. */
  BEHIND_GANG(Scope.JOB, "a gang that has waited long goes first"),
  /** Waiting for a machine that has the image is faster than a fetch. */
  AWAITS_IMAGE(Scope.JOB, "room where its image is comes sooner than a fetch would end"),
  /** Borrowed or lower-ranked work is being evicted for the job. */
  ROOM_ON_ITS_WAY(Scope.JOB, "other work is being stopped to make room"),
  /** The job was cancelled or is done, but has attempts that are not over. */
  OVER(Scope.JOB, "its job is over");

  /** What a verdict is about. */
  public enum Scope {
    /** One machine. */
    MACHINE,
    /** The job, on whichever machine it might run. */
    JOB
  }

  private final Scope scope;
  private final String description;

  PlacementVerdict(Scope scope, String description) {
    this.scope = scope;
    this.description = description;
  }

  /** Returns whether this verdict is about one machine or about the job. */
  public Scope scope() {
    return scope;
  }

  /** Returns the description shown to people. */
  public String description() {
    return description;
  }

  /** Returns the identifier shown to scripts. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
