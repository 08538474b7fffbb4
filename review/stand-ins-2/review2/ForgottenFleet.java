package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One controller that doesn't lead loses the state service and the other controllers, not the
 * workers, the users and the cloud. It ends and starts again. The other two go on, one of them
 * leads, and the state service serves both. Without the trouble the controller ends and starts
 * again, but loses nothing.
 */
public final class ForgottenFleet {
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    World w = new World(Path.of(args[0]), Path.of(args[1]), 3);
    w.memberZones = new String[] {"kalamaria", "kalamaria", "kalamaria"};
    int code = 2;
    try {
      if (!w.start()) {
        return;
      }
      for (int i = 0; i < 6; i++) {
        if (!w.submitUntilAccepted(i % 3, World.service("wk-00000" + i, "kindynos", 2))) {
          return;
        }
      }
      // Arrays whose tasks run for longer than this script.
      for (int i = 0; i < 3; i++) {
        if (!w.submitUntilAccepted(
            i, World.array("wk-00001" + i, "entoles", 8, 4.0, 300).put("basin", w.zones[i]))) {
          return;
        }
      }
      long until = w.now() + 40_000;
      while (tasks(w) < 36 && w.now() < until) {
        World.sleep(200);
      }
      if (tasks(w) < 36) {
        w.log("only " + tasks(w) + " tasks run");
        return;
      }
      w.log("all 12 replicas and 24 tasks run");

      int leader = w.leaderIndex();
      int cut = (leader + 1) % 3;
      w.log("leader s" + leader + ", the other controller s" + cut + " ends and comes back");
      if (trouble) {
        w.log("s" + cut + " loses the state service and the other controllers");
        w.stateTrouble = (m, method, path, body) -> m == cut ? World.Fate.DROP : World.Fate.PASS;
        w.cutPeers(cut, true);
      }
      w.watchReleasesOf = cut;
      w.members[cut].kill();
      World.sleep(6000);
      w.members[cut].start();
      World.sleep(12_000);

      // Ordinary work arrives, for which machines are rented. Each new worker begins with another
      // controller, as every worker knows the addresses of all of them.
      for (int i = 0; i < 3; i++) {
        w.submitUntilAccepted(
            leader, World.array("wk-00002" + i, "entoles", 4, 4.0, 10).put("basin", w.zones[i]));
      }
      long end = w.now() + 35_000;
      while (w.now() < end) {
        World.sleep(5000);
        w.log("leader by the state service: " + w.state.leader() + "; of the 12 replicas and 24 long tasks run: "
            + tasks(w));
      }
      List<String> released;
      synchronized (w.releasesByWatched) {
        released = new ArrayList<>(w.releasesByWatched);
      }
      if (!released.isEmpty()) {
        w.violation("a stale one acts", "s" + cut + ", which never led, returned to the cloud machines of the leader s"
            + leader + " with running tasks: " + released);
      }
      if (w.leaderIndex() != leader) {
        w.log("the leader changed, so nothing is concluded");
        code = 2;
      } else {
        code = w.violations.isEmpty() ? 0 : 1;
      }
    } finally {
      w.log("exit " + code);
      w.close();
      Runtime.getRuntime().halt(code);
    }
  }

  static int tasks(World w) {
    int n = 0;
    for (int i = 0; i < 6; i++) {
      n += w.running("wk-00000" + i);
    }
    for (int i = 0; i < 3; i++) {
      n += w.running("wk-00001" + i);
    }
    return n;
  }
}
