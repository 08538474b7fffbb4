package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The leader stands still while machines boot, and goes on after another controller leads. Broken
 * if it then returns machines on which tasks run that the present leader started.
 */
public final class StaleLeader {
  private static final double FREEZE_S = 42;

  public static void main(String[] args) {
    System.exit(Lab.exitCode(args, StaleLeader::run));
  }

  private static int run(Lab lab) throws Exception {
    lab.start();
    lab.await(10, () -> lab.leader() >= 0, "a leader");
    int number = 0;
    for (int i = 0; i < 60; i++) {
      number++;
      lab.submit(i, Lab.service(String.format("wk-%06d", number), 1 + i % 2));
    }
    for (int i = 0; i < 6; i++) {
      number++;
      lab.submit(i, Lab.array(String.format("wk-%06d", number), 15, 40));
    }
    int leader = lab.leader();
    // The leader has been told of machines that are still booting.
    lab.await(25, () -> booting(lab, leader).size() >= 4, "machines that boot");
    lab.note("stairhost-%d leads; it knows these as booting: %s", leader, booting(lab, leader));
    if (lab.leader() != leader) {
      lab.note("the leader has changed before the disruption");
      return 2;
    }
    if (lab.trouble) {
      lab.signal(leader, "STOP");
    }
    double end = lab.seconds() + FREEZE_S;
    while (lab.seconds() < end) {
      Thread.sleep(100);
    }
    int leaderNow = lab.leader();
    lab.note("stairhost-%d leads now", leaderNow);
    noteMachines(lab);
    if (lab.trouble) {
      lab.signal(leader, "CONT");
      if (leaderNow < 0 || leaderNow == leader) {
        return 2;
      }
    }
    Thread.sleep(8000);
    noteMachines(lab);
    lab.noteLogs("Leadership", "MachineHealthMonitor");
    if (!lab.controllersAlive()) {
      lab.note("a controller has ended by itself");
      return 2;
    }
    int broken = 0;
    int lost = 0;
    for (CloudProxy.Release release : lab.releases()) {
      if (release.leader() >= 0 && release.by() != release.leader() && !release.tasks().isEmpty()) {
        broken++;
        lost += release.tasks().size();
      }
    }
    lab.note(
        "machines returned by a controller that does not lead while tasks were on them: %d, "
            + "tasks lost: %d",
        broken, lost);
    return broken > 0 ? 1 : 0;
  }

  private static List<String> booting(Lab lab, int leader) {
    List<String> ids = new ArrayList<>();
    for (JsonNode machine : lab.machines()) {
      String id = machine.path("id").asText();
      if (!machine.path("up").asBoolean() && lab.wasListed(leader, id)) {
        ids.add(id);
      }
    }
    return ids;
  }

  private static void noteMachines(Lab lab) {
    for (JsonNode machine : lab.machines()) {
      lab.note(
          "machine %s up=%s tasks=%d",
          machine.path("id").asText(),
          machine.path("up").asBoolean(),
          Lab.tasksOn(machine).size());
    }
  }
}
