package dapplestair.replacement;

import dapplestair.drain.Drains;
import dapplestair.events.Events;
import dapplestair.fleet.MachineKind;
import dapplestair.leadership.FencedWriter;
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
  private final FencedWriter writer;
  private final Leadership leadership;
  private final MachineTypes types;
  private final Drains drains;
  private final Events events;
  private final ReplacementTargets targets;
  private final StepHealthCheck healthCheck;
  private final SurgeCapacity surgeCapacity;
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
      ReplacementTargets targets,
      StepHealthCheck healthCheck,
      SurgeCapacity surgeCapacity,
      Map<String, ReplacementState> orders,
      ToIntFunction<MachineKind> extra,
      Runnable changed) {
    this.clock = clock;
    this.settings = settings;
    this.writer = new FencedWriter(state, leadership, settings.workers().reportMs());
    this.leadership = leadership;
    this.types = types;
    this.drains = drains;
    this.events = events;
    this.targets = targets;
    this.healthCheck = healthCheck;
    this.surgeCapacity = surgeCapacity;
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
  void look(ReplacementState replacement, boolean lagging) {
    lags = lagging;
    if (replacement.progress.paused() != null) {
      resumeIfWell(replacement);
      return;
    }
    if (replacement.progress.phase() == Phase.DONE) {
      return;
    }
    String wrong = healthCheck.outside(lagging);
    String fault =
        wrong == null
            ? healthCheck.newMachines(replacement.order, replacement.progress.judgedWall())
            : null;
    if (wrong != null || fault != null) {
      pause(replacement, wrong != null ? wrong : fault, fault != null);
      return;
    }
    switch (replacement.progress.phase()) {
      case CHOOSE -> choose(replacement);
      case RAISE -> raise(replacement);
      case EMPTY -> empty(replacement);
      default -> {}
    }
  }

  /**
   * A new leader knows all machines from records and attempts at once, but for those that only a
   * list can tell: what is there no more is not concluded before lists have had the time.
   */
  private boolean knowsAll() {
    return clock.now() - leadingSince > surgeCapacity.longestListLag();
  }

  private void choose(ReplacementState replacement) {
    if (!knowsAll()) {
      return;
    }
    List<Host> old = targets.old(replacement.order);
    if (old.isEmpty()) {
      write(replacement, replacement.progress.done(clock.wall()));
      return;
    }
    int most = Math.min(MOST_AT_ONCE, replacement.order.step());
    Set<String> taken = taken(replacement);
    Set<String> batch = targets.next(old, taken, replacement.progress.batch(), most);
    if (batch.isEmpty()) {
      return;
    }
    List<Host> hosts = targets.left(batch);
    int beyond =
        surgeCapacity.affords(ReplacementTargets.bySlot(hosts), replacement.order.beyond());
    Phase phase = beyond > 0 ? Phase.RAISE : Phase.EMPTY;
    ReplacementProgress next = replacement.progress.step(phase, batch, beyond, clock.wall());
    if (replacement.order.beyond() > 0 && beyond == 0) {
      next = next.remark("the plan's budget pays for no machine beyond: none beyond in this step");
    }
    write(replacement, next);
  }

  /** Machines of the steps of other orders. */
  private Set<String> taken(ReplacementState replacement) {
    Set<String> taken = new HashSet<>();
    orders.values().stream()
        .filter(o -> o != replacement && o.progress.phase() != Phase.DONE)
        .forEach(o -> taken.addAll(o.progress.batch()));
    return taken;
  }

  /** Waits for new machines; without any to have it goes on machine by machine. */
  private void raise(ReplacementState replacement) {
    List<Host> left = targets.left(replacement.progress.batch());
    if (left.isEmpty() || surgeCapacity.ready(ReplacementTargets.bySlot(left), extra)) {
      write(replacement, replacement.progress.in(Phase.EMPTY, clock.wall()));
      return;
    }
    long since = clock.wall() - replacement.progress.stepWall();
    double bootS = left.stream().mapToDouble(h -> types.bootS(h.type())).max().orElse(60);
    if (since < BOOT_OVERDUE * 1000 * bootS) {
      return;
    }
    List<Host> fresh = targets.fresh(replacement.order, replacement.progress.judgedWall());
    int up = (int) fresh.stream().filter(Host::up).count();
    if (up == 0 && !fresh.isEmpty()) {
      // They are there, and not one of them boots: that is their fault, not the cloud's.
      if (since > 2 * BOOT_OVERDUE * 1000 * bootS) {
        pause(replacement, "new machines do not come up", true);
      }
      return;
    }
    Set<String> fewer = targets.next(left, Set.of(), Set.of(), Math.max(1, up));
    if (!fewer.isEmpty()) {
      String why =
          "the cloud gave %d machines beyond for %d: %d at a time"
              .formatted(up, left.size(), fewer.size());
      write(replacement, replacement.progress.only(fewer, clock.wall(), why));
    }
  }

  private void empty(ReplacementState replacement) {
    List<Host> left = targets.left(replacement.progress.batch());
    if (!left.isEmpty() || !knowsAll()) {
      replacement.emptiedAt = 0;
      remarkIfStuck(replacement, left);
      return;
    }
    long now = clock.now();
    if (replacement.emptiedAt == 0) {
      replacement.emptiedAt = now;
      replacement.cramped = false;
      replacement.badSince = 0;
      replacement.passed.clear();
    }
    if (now - replacement.emptiedAt < 1000 * replacement.order.watchS()) {
      return;
    }
    String out = healthCheck.replicasOut();
    if (out == null) {
      choose(replacement);
    } else if (now - replacement.emptiedAt
        > 1000 * replacement.order.watchS() + settings.workers().leaseMs()) {
      pause(replacement, out, false);
    }
  }

  /**
   * What stands still for longer than a lease says why, on record; seldom enough to cost little.
   */
  private void remarkIfStuck(ReplacementState replacement, List<Host> left) {
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
      replacement.badSince = 0;
      return;
    }
    boolean noRoom = left.stream().anyMatch(h -> drains.progress(h).noPlace());
    if (replacement.badSince == 0) {
      replacement.badSince = now;
    }
    replacement.cramped |= noRoom && now - replacement.badSince > settings.workers().reportMs();
    swapIfCramped(replacement, left, now);
    if (replacement.writing) {
      return;
    }
    if (noRoom
        && left.size() > 1
        && now - replacement.badSince > 2 * settings.workers().reportMs()) {
      // The others go back into use, and their room with them.
      String only = targets.next(left, Set.of(), Set.of(), 1).stream().findFirst().orElse(null);
      if (only != null) {
        replacement.badSince = 0;
        String said = "no room for what runs on " + left.size() + " machines: one by one";
        write(
            replacement,
            replacement.progress.only(Set.of(only), replacement.progress.stepWall(), said));
      }
    } else if (now - replacement.badSince > settings.workers().leaseMs()
        && !why.equals(replacement.bad)) {
      replacement.bad = why;
      replacement.badSince = now;
      write(replacement, replacement.progress.remark(why));
    }
  }

  /**
   * Once for each time that a machine may take to come: an empty one for one where it is needed.
   */
  private void swapIfCramped(ReplacementState replacement, List<Host> left, long now) {
    if (!replacement.cramped) {
      replacement.swappedAt = 0;
      return;
    }
    Host stuck = left.get(0);
    if (replacement.swappedAt == 0) {
      replacement.swappedAt = now;
    } else if (now - replacement.swappedAt > BOOT_OVERDUE * 1000 * types.bootS(stuck.type())) {
      if (surgeCapacity.swap(stuck)) {
        LOG.info(
            "replacement {}: an empty machine is given for one in {}",
            replacement.name,
            stuck.zone());
        replacement.swappedAt = now;
      } else if (left.size() == 1) {
        passOver(replacement, stuck);
      }
    }
  }

  /**
   * No machine is empty, and the room that others have is in zones that the rules of what is left
   * here forbid: another old one goes first, whose replicas may take that room and what is free
   * here. Without this an order for a full fleet stood still for ever (ReplacementTest).
   */
  private void passOver(ReplacementState replacement, Host stuck) {
    Set<String> taken = taken(replacement);
    replacement.passed.add(stuck.id());
    taken.addAll(replacement.passed);
    Set<String> other = targets.next(targets.old(replacement.order), taken, Set.of(), 1);
    if (other.isEmpty()) {
      // All have had their turn: they have another one.
      replacement.passed.clear();
      return;
    }
    replacement.cramped = false;
    replacement.swappedAt = 0;
    replacement.badSince = 0;
    String said = "no room for what is left on " + stuck.id() + ": another one first";
    write(replacement, replacement.progress.only(other, clock.wall(), said));
  }

  private void pause(ReplacementState replacement, String why, boolean untilTold) {
    LOG.info("replacement {} pauses: {}", replacement.name, why);
    write(
        replacement,
        replacement.progress.pause(why, untilTold),
        () -> note(replacement.name, "paused", why));
  }

  private void resumeIfWell(ReplacementState replacement) {
    boolean well =
        !replacement.progress.byWord()
            && healthCheck.outside(lags) == null
            && healthCheck.replicasOut() == null;
    if (!well) {
      replacement.goodSince = 0;
    } else if (replacement.goodSince == 0) {
      replacement.goodSince = clock.now();
    } else if (clock.now() - replacement.goodSince > 2 * settings.workers().reportMs()) {
      write(
          replacement,
          replacement.progress.resume(clock.wall()),
          () -> note(replacement.name, "resumed", null));
    }
  }

  private void write(ReplacementState replacement, ReplacementProgress next) {
    write(replacement, next, () -> {});
  }

  /** On record first; nothing of it is done before. */
  private void write(ReplacementState replacement, ReplacementProgress next, Runnable then) {
    replacement.writing = true;
    String key = StateKeys.REPLACEMENT + replacement.name;
    writer.put(
        key,
        replacement.stamp,
        replacement.record(next),
        Priority.BOOKKEEPING,
        outcome -> {
          ReplacementState now = orders.get(replacement.name);
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
                replacement.name,
                next.phase().name().toLowerCase(java.util.Locale.ROOT),
                next.remark());
            then.run();
          } else {
            leadership.stepDownIfDeposed(outcome);
          }
          // Without an answer the replica shows what is on record, and the next look goes on from
          // there.
        });
  }

  /** An event of an order. */
  void note(String name, String what, String why) {
    events.publish(
        Events.Kind.REPLACEMENT,
        o -> {
          o.put("replacement", name).put("state", what);
          if (why != null) {
            o.put("reason", why);
          }
        });
  }
}
