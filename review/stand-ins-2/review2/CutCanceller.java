package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A user cancels a job at a controller that doesn't lead, which then loses the state service and the
 * other controllers, while a share of the direct commands to machines is late. The leader ends the
 * job's tasks within seconds.
 */
public final class CutCanceller {
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
      // The array that is cancelled, and arrays whose tasks run for longer than this script.
      for (int i = 0; i < 3; i++) {
        w.submitUntilAccepted(i, World.array("wk-00001" + i, "entoles", 4, 4.0, 300).put("basin", w.zones[i]).put("loaners", false));
        w.submitUntilAccepted(i, World.array("wk-00003" + i, "entoles", 4, 2.0, 300).put("basin", w.zones[i]).put("loaners", false));
      }
      long until = w.now() + 40_000;
      while (tasks(w) < 24 + 12 && w.now() < until) {
        World.sleep(200);
      }
      if (tasks(w) < 36) {
        w.log("only " + tasks(w) + " tasks run");
        return;
      }
      int leader = w.leaderIndex();
      int cut = (leader + 1) % 3;
      w.watchReleasesOf = cut;
      w.log("12 replicas and 24 tasks run; leader s" + leader);
      List<String> cancelled = new ArrayList<>();
      if (trouble) {
        w.lateCommandsShare = 0.9;
      }
      for (int i = 0; i < 3; i++) {
        World.Reply r = w.cancel(cut, "wk-00003" + i);
        if (r.status() == 200) {
          cancelled.add("wk-00003" + i);
        }
      }
      if (cancelled.isEmpty()) {
        return;
      }
      if (trouble) {
        w.log("s" + cut + " loses the state service and the other controllers");
        w.stateTrouble = (m, method, path, body) -> m == cut ? World.Fate.DROP : World.Fate.PASS;
        w.cutPeers(cut, true);
      }
      long end = w.now() + 40_000;
      while (w.now() < end) {
        World.sleep(2500);
        int left = 0;
        for (String ref : cancelled) {
          left += w.running(ref);
        }
        w.log("leader " + w.state.leader() + "; cancelled tasks on machines: " + left + "; of the 24 others run: " + tasks(w));
      }
      List<String> released;
      synchronized (w.releasesByWatched) {
        released = new ArrayList<>(w.releasesByWatched);
      }
      if (!released.isEmpty()) {
        w.violation("a stale one acts", "s" + cut + ", which never led, returned machines of the leader s" + leader
            + " on which only tasks of other jobs were: " + released);
      }
      code = w.leaderIndex() != leader ? 2 : w.violations.isEmpty() ? 0 : 1;
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
      n += w.running("wk-00001" + i) + (w.toldCancelled.isEmpty() ? w.running("wk-00003" + i) : 0);
    }
    return n;
  }
}
