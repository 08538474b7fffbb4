package dapplestair.replacement;

import dapplestair.drain.Drains;
import dapplestair.events.Events;
import dapplestair.fleet.MachineKind;
import dapplestair.leadership.GuardedWriter;
import dapplestair.leadership.Leadership;
import dapplestair.machines.MachineTypes;
import dapplestair.ports.Clock;
import dapplestair.replacement.ReplacementProgress.Phase;
import dapplestair.settings.Settings;
import dapplestair.state.StateClient;
import dapplestair.state.StateClient.Priority;
import dapplestair.state.StateKeys;
import dapplestair.state.TxnOutcome;
import dapplestair.workers.Host;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How an order goes from step to step: on record first, then done. */
final class ReplacementStepRunner {
  private static final Logger LOG = LoggerFactory.getLogger(Replacements.class);

  // Machines on record for one step: as many names as one value holds with room to spare.
  static final int MOST_AT_ONCE = 200;

  // As the lookout: usual boots take up to 1.5 times the stated time, a bad day nearly doubles
  // that.
  private static final double BOOT_OVERDUE = 3.0;

  private final Clock clock;
  private final Settings settings;
  private final GuardedWriter writer;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Drains drains;
  private final Events events;
  private final ReplacementTargets machines;
  private final StepHealthCheck healthCheck;
  private final SurgeCapacity room;
  private final Map<String, ReplacementState> orders;
  private final ToIntFunction<MachineKind> extra;
  private final Runnable changed;
  private long leadingSince;
  private boolean lags;

  /** Works on {@code orders}; {@code changed} hears of each step that is on record. */
  ReplacementStepRunner(
      Clock clock,
      Settings settings,
      StateClient state,
      Leadership leadership,
      MachineTypes types,
      Drains drains,
      Events events,
      ReplacementTargets machines,
      StepHealthCheck healthCheck,
      SurgeCapacity room,
      Map<String, ReplacementState> orders,
      ToIntFunction<MachineKind> extra,
      Runnable changed) {
    this.clock = clock;
    this.settings = settings;
    this.writer = new GuardedWriter(state, leadership, settings.workers().reportMs());
    this.leadership = leadership;
    this.types = types;
    this.drains = drains;
    this.events = events;
    this.machines = machines;
    this.healthCheck = healthCheck;
    this.room = room;
    this.orders = orders;
    this.extra = extra;
    this.changed = changed;
  }

  /** A new leader, or none: what an earlier one has under way means nothing here. */
  void begin() {
    writer.reset();
    leadingSince = clock.now();
  }

  /** Carries an order on as far as it can go now; nothing of it may be under way. */
  void look(ReplacementState running, boolean lagging) {
    lags = lagging;
    if (running.progress.paused() != null) {
      resumeIfWell(running);
      return;
    }
    if (running.progress.phase() == Phase.DONE) {
      return;
    }
    String wrong = healthCheck.outside(lagging);
    String fault =
        wrong == null
            ? healthCheck.newMachines(running.order, running.progress.judgedWall())
            : null;
    if (wrong != null || fault != null) {
      pause(running, wrong != null ? wrong : fault, fault != null);
      return;
    }
    switch (running.progress.phase()) {
      case CHOOSE -> choose(running);
      case RAISE -> raise(running);
      case EMPTY -> empty(running);
      default -> {}
    }
  }

  /**
   * A new leader knows all machines from records and attempts at once, but for those that only a
   * list can tell: what is there no more is not concluded before lists have had the time.
   */
  private boolean knowsAll() {
    return clock.now() - leadingSince > room.longestListLag();
  }

  private void choose(ReplacementState running) {
    if (!knowsAll()) {
      return;
    }
    List<Host> old = machines.old(running.order);
    if (old.isEmpty()) {
      write(running, running.progress.done(clock.wall()));
      return;
    }
    int most = Math.min(MOST_AT_ONCE, running.order.step());
    Set<String> taken = taken(running);
    Set<String> batch = machines.next(old, taken, running.progress.batch(), most);
    if (batch.isEmpty()) {
      return;
    }
    List<Host> hosts = machines.left(batch);
    int beyond = room.affords(ReplacementTargets.bySlot(hosts), running.order.beyond());
    Phase phase = beyond > 0 ? Phase.RAISE : Phase.EMPTY;
    ReplacementProgress next = running.progress.step(phase, batch, beyond, clock.wall());
    if (running.order.beyond() > 0 && beyond == 0) {
      next = next.remark("the plan's budget pays for no machine beyond: none beyond in this step");
    }
    write(running, next);
  }

  /** Machines of the steps of other orders. */
  private Set<String> taken(ReplacementState running) {
    Set<String> taken = new HashSet<>();
    orders.values().stream()
        .filter(o -> o != running && o.progress.phase() != Phase.DONE)
        .forEach(o -> taken.addAll(o.progress.batch()));
    return taken;
  }

  /** Waits for new machines; without any to have it goes on machine by machine. */
  private void raise(ReplacementState running) {
    List<Host> left = machines.left(running.progress.batch());
    if (left.isEmpty() || room.ready(ReplacementTargets.bySlot(left), extra)) {
      write(running, running.progress.in(Phase.EMPTY, clock.wall()));
      return;
    }
    long since = clock.wall() - running.progress.stepWall();
    double bootS = left.stream().mapToDouble(h -> types.bootS(h.type())).max().orElse(60);
    if (since < BOOT_OVERDUE * 1000 * bootS) {
      return;
    }
    List<Host> fresh = machines.fresh(running.order, running.progress.judgedWall());
    int up = (int) fresh.stream().filter(Host::up).count();
    if (up == 0 && !fresh.isEmpty()) {
      // They are there, and not one of them boots: that is their fault, not the cloud's.
      if (since > 2 * BOOT_OVERDUE * 1000 * bootS) {
        pause(running, "new machines do not come up", true);
      }
      return;
    }
    Set<String> fewer = machines.next(left, Set.of(), Set.of(), Math.max(1, up));
    if (!fewer.isEmpty()) {
      String why =
          "the cloud gave %d machines beyond for %d: %d at a time"
              .formatted(up, left.size(), fewer.size());
      write(running, running.progress.only(fewer, clock.wall(), why));
    }
  }

  private void empty(ReplacementState running) {
    List<Host> left = machines.left(running.progress.batch());
    if (!left.isEmpty() || !knowsAll()) {
      running.emptiedAt = 0;
      remarkIfStuck(running, left);
      return;
    }
    long now = clock.now();
    if (running.emptiedAt == 0) {
      running.emptiedAt = now;
      running.cramped = false;
      running.badSince = 0;
      running.passed.clear();
    }
    if (now - running.emptiedAt < 1000 * running.order.watchS()) {
      return;
    }
    String out = healthCheck.replicasOut();
    if (out == null) {
      choose(running);
    } else if (now - running.emptiedAt
        > 1000 * running.order.watchS() + settings.workers().leaseMs()) {
      pause(running, out, false);
    }
  }

  /**
   * What stands still for longer than a lease says why, on record; seldom enough to cost little.
   */
  private void remarkIfStuck(ReplacementState running, List<Host> left) {
    long now = clock.now();
    String why = null;
    for (Host h : left) {
      String because = drains.progress(h).because();
      if (because != null) {
        why = h.id() + ": " + because;
        break;
      }
    }
    if (why == null) {
      running.badSince = 0;
      return;
    }
    boolean noRoom = left.stream().anyMatch(h -> drains.progress(h).noPlace());
    if (running.badSince == 0) {
      running.badSince = now;
    }
    running.cramped |= noRoom && now - running.badSince > settings.workers().reportMs();
    swapIfCramped(running, left, now);
    if (running.writing) {
      return;
    }
    if (noRoom && left.size() > 1 && now - running.badSince > 2 * settings.workers().reportMs()) {
      // The others go back into use, and their room with them.
      String only = machines.next(left, Set.of(), Set.of(), 1).stream().findFirst().orElse(null);
      if (only != null) {
        running.badSince = 0;
        String said = "no room for what runs on " + left.size() + " machines: one by one";
        write(running, running.progress.only(Set.of(only), running.progress.stepWall(), said));
      }
    } else if (now - running.badSince > settings.workers().leaseMs() && !why.equals(running.bad)) {
      running.bad = why;
      running.badSince = now;
      write(running, running.progress.remark(why));
    }
  }

  /**
   * Once for each time that a machine may take to come: an empty one for one where it is needed.
   */
  private void swapIfCramped(ReplacementState running, List<Host> left, long now) {
    if (!running.cramped) {
      running.swappedAt = 0;
      return;
    }
    Host stuck = left.get(0);
    if (running.swappedAt == 0) {
      running.swappedAt = now;
    } else if (now - running.swappedAt > BOOT_OVERDUE * 1000 * types.bootS(stuck.type())) {
      if (room.swap(stuck)) {
        LOG.info(
            "replacement {}: an empty machine is given for one in {}", running.name, stuck.zone());
        running.swappedAt = now;
      } else if (left.size() == 1) {
        passOver(running, stuck);
      }
    }
  }

  /**
   * No machine is empty, and the room that others have is in zones that the rules of what is left
   * here forbid: another old one goes first, whose replicas may take that room and what is free
   * here. Without this an order for a full fleet stood still for ever (ReplacementTest).
   */
  private void passOver(ReplacementState running, Host stuck) {
    Set<String> taken = taken(running);
    running.passed.add(stuck.id());
    taken.addAll(running.passed);
    Set<String> other = machines.next(machines.old(running.order), taken, Set.of(), 1);
    if (other.isEmpty()) {
      // All have had their turn: they have another one.
      running.passed.clear();
      return;
    }
    running.cramped = false;
    running.swappedAt = 0;
    running.badSince = 0;
    String said = "no room for what is left on " + stuck.id() + ": another one first";
    write(running, running.progress.only(other, clock.wall(), said));
  }

  private void pause(ReplacementState running, String why, boolean untilTold) {
    LOG.info("replacement {} pauses: {}", running.name, why);
    write(running, running.progress.pause(why, untilTold), () -> note(running.name, "paused", why));
  }

  private void resumeIfWell(ReplacementState running) {
    boolean well =
        !running.progress.byWord()
            && healthCheck.outside(lags) == null
            && healthCheck.replicasOut() == null;
    if (!well) {
      running.goodSince = 0;
    } else if (running.goodSince == 0) {
      running.goodSince = clock.now();
    } else if (clock.now() - running.goodSince > 2 * settings.workers().reportMs()) {
      write(
          running,
          running.progress.resume(clock.wall()),
          () -> note(running.name, "resumed", null));
    }
  }

  private void write(ReplacementState running, ReplacementProgress next) {
    write(running, next, () -> {});
  }

  /** On record first; nothing of it is done before. */
  private void write(ReplacementState running, ReplacementProgress next, Runnable then) {
    running.writing = true;
    String key = StateKeys.REPLACE + running.name;
    writer.put(
        key,
        running.stamp,
        running.record(next),
        Priority.BOOKKEEPING,
        outcome -> {
          ReplacementState now = orders.get(running.name);
          if (now != null) {
            now.writing = false;
          }
          if (outcome instanceof TxnOutcome.Applied applied) {
            if (now != null && now.stamp < applied.stamp()) {
              now.stamp = applied.stamp();
              now.progress = next;
            }
            changed.run();
            note(
                running.name,
                next.phase().name().toLowerCase(java.util.Locale.ROOT),
                next.remark());
            then.run();
          } else {
            leadership.deposedBy(outcome);
          }
          // Without an answer the replica shows what is on record, and the next look goes on from
          // there.
        });
  }

  /** An event of an order. */
  void note(String name, String what, String why) {
    events.note(
        Events.Kind.REPLACEMENT,
        o -> {
          o.put("replacement", name).put("state", what);
          if (why != null) {
            o.put("reason", why);
          }
        });
  }
}
