package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.BitSet;

/**
 * An array of many small tasks, within the limits of the pages, is submitted beside an array of
 * ordinary tasks. A machine gets so many of the small tasks that the report of its worker is over
 * 64 KiB, which the controllers refuse: its lease ends with everything on the machine. Without the trouble the same work comes as few larger tasks.
 */
public final class ManyTasks {
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    World w = new World(Path.of(args[0]), Path.of(args[1]), 3);
    w.cloud.cpus = 32;
    w.cloud.memoryGb = 128;
    int code = 2;
    try {
      if (!w.start()) {
        return;
      }
      // Ordinary services, which run on the same machines.
      for (int i = 0; i < 4; i++) {
        if (!w.submitUntilAccepted(i % 3, World.service("wk-00000" + i, "kindynos", 2))) {
          return;
        }
      }
      long ready = w.now() + 20_000;
      while (replicas(w) < 8 && w.now() < ready) {
        World.sleep(200);
      }
      if (replicas(w) < 8) {
        return;
      }
      w.log("all 8 replicas run");
      // 64 CPUs in all: 3,200 tasks of 0.02 CPUs, or 64 of 1 CPU; each runs 25 s.
      int steps = trouble ? 3200 : 64;
      ObjectNode job =
          World.array("wk-000100", "entoles", steps, trouble ? 0.02 : 1.0, 25)
              .put("memoryGb", 0.05)
              .put("loaners", false);
      if (!w.submitUntilAccepted(0, job)) {
        return;
      }
      long accepted = w.now();
      w.log("the array is accepted");
      // Every task runs 25 s and all fit at once.
      long until = w.now() + 75_000;
      String status = "";
      int lastDone = -1;
      while (w.now() < until && !status.equals("done")) {
        World.sleep(3000);
        World.Reply r = w.poll((int) (w.now() / 3000 % 3), "wk-000100");
        if (r.status() == 200) {
          status = r.body().path("status").asText();
        }
        int done = w.completed.getOrDefault("wk-000100", new BitSet()).cardinality();
        if (done != lastDone) {
          w.log("tasks done on machines: " + done + " of " + steps);
          lastDone = done;
        }
        w.log("replicas that run: " + replicas(w) + " of 8");
      }
      w.log("status at the end: " + status + "; leases that ended with tasks: " + w.leasesLost.get()
          + "; reports answered with 400: " + w.reports400.get());
      long tookS = (w.now() - accepted) / 1000;
      w.log("the array of 25 s was " + (status.equals("done") ? "done" : "not done") + " after " + tookS + " s");
      // Nothing is cut off, late or faulty: no machine has a reason to lose its lease.
      if (w.leasesLost.get() > 0) {
        w.violation("accepted work is lost", w.leasesLost.get() + " leases ended, with replicas of services and "
            + "tasks on the machines; " + w.reports400.get() + " reports were answered with 400");
      }
      code = !w.violations.isEmpty() ? 1 : status.equals("done") ? 0 : 2;
    } finally {
      w.log("exit " + code);
      w.close();
      Runtime.getRuntime().halt(code);
    }
  }

  static int replicas(World w) {
    int n = 0;
    for (int i = 0; i < 4; i++) {
      n += w.running("wk-00000" + i);
    }
    return n;
  }
}
