package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A controller that does not lead confirms a cancellation to a user and then stands still, while
 * the leader ends the job's tasks. Broken if the controller, when it goes on, returns machines on
 * which no task of the cancelled job is, but tasks of other jobs are.
 */
public final class StaleFollower {
  private static final double FREEZE_S = 42;
  private static final double LATE_S = 8;
  private static final double LATE_SHARE = 0.9;
  private static final int SERVICES = 30;
  private static final int CANCELLED_REPLICAS = 6;
  private static final String CANCELLED = "wk-000500";

  public static void main(String[] args) {
    System.exit(Lab.exitCode(args, StaleFollower::run));
  }

  private static int run(Lab lab) throws Exception {
    lab.useWorkerLinks();
    lab.start();
    lab.await(10, () -> lab.leader() >= 0, "a leader");
    int replicas = CANCELLED_REPLICAS;
    for (int i = 0; i < SERVICES; i++) {
      lab.submit(i, Lab.service(String.format("wk-%06d", i + 1), 1 + i % 2));
      replicas += 1 + i % 2;
    }
    lab.submit(0, Lab.service(CANCELLED, CANCELLED_REPLICAS));
    int allReplicas = replicas;
    lab.await(45, () -> running(lab) == allReplicas, "all replicas run");
    Thread.sleep(2000);
    int leader = lab.leader();
    int other = (leader + 1) % Lab.CONTROLLERS;
    lab.note("stairhost-%d leads; stairhost-%d will confirm the cancellation", leader, other);
    lab.note("machines with tasks of %s: %s", CANCELLED, hostsOf(lab, CANCELLED));
    if (lab.trouble) {
      lab.workerLinks.lateShare = LATE_SHARE;
    }
    Lab.Answer answer =
        lab.call(
            lab.userPorts[other],
            "POST",
            "/submissions/" + CANCELLED + "/withdraw",
            Lab.JSON.createObjectNode(),
            5);
    lab.note("withdraw at stairhost-%d: %d %s", other, answer.status(), answer.body());
    if (answer.status() != 200 || !answer.body().path("status").asText().equals("aborted")) {
      return 2;
    }
    double frozenAt = lab.seconds();
    if (lab.trouble) {
      lab.signal(other, "STOP");
    }
    while (lab.seconds() < frozenAt + LATE_S) {
      Thread.sleep(50);
    }
    lab.workerLinks.lateShare = 0;
    lab.await(22, () -> hostsOf(lab, CANCELLED).isEmpty(), "the cancelled tasks are gone");
    lab.note("no task of %s is on any machine", CANCELLED);
    while (lab.seconds() < frozenAt + FREEZE_S) {
      Thread.sleep(50);
    }
    if (lab.leader() != leader) {
      lab.note("the leader has changed");
      return 2;
    }
    if (lab.trouble) {
      lab.signal(other, "CONT");
    }
    Thread.sleep(8000);
    lab.noteLogs("Leadership", "MachineHealthMonitor", "CancellationEnforcer");
    if (!lab.controllersAlive()) {
      lab.note("a controller has ended by itself");
      return 2;
    }
    int broken = 0;
    int lost = 0;
    for (CloudProxy.Release release : lab.releases()) {
      boolean cancelledThere =
          release.tasks().stream().anyMatch(task -> task.startsWith(CANCELLED + "/"));
      if (release.leader() >= 0
          && release.by() != release.leader()
          && !release.tasks().isEmpty()
          && !cancelledThere) {
        broken++;
        lost += release.tasks().size();
      }
    }
    lab.note(
        "machines returned by a controller that does not lead, with tasks of other jobs only: %d, "
            + "tasks lost: %d",
        broken, lost);
    return broken > 0 ? 1 : 0;
  }

  private static int running(Lab lab) {
    int count = 0;
    for (JsonNode machine : lab.machines()) {
      for (String task : Lab.tasksOn(machine)) {
        count += task.endsWith(" running") ? 1 : 0;
      }
    }
    return count;
  }

  private static List<String> hostsOf(Lab lab, String ref) {
    List<String> ids = new ArrayList<>();
    for (JsonNode machine : lab.machines()) {
      if (Lab.tasksOn(machine).stream().anyMatch(task -> task.startsWith(ref + "/"))) {
        ids.add(machine.path("id").asText());
      }
    }
    return ids;
  }
}
