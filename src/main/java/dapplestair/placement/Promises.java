package dapplestair.placement;

import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is promised of each class, in seconds from submission. Under overload, work in order of
 * least slack makes everything late; work that can still keep a promise goes before work that
 * cannot.
 */
final class Promises {
  private final Map<String, List<Settings.Objective>> byClass = new HashMap<>();

  Promises(List<Settings.Objective> objectives) {
    for (Settings.Objective o : objectives) {
      if (o.withinS() > 0 && (o.kind().equals("wait") || o.kind().equals("finished"))) {
        byClass.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(o);
      }
    }
  }

  /** How many promises to this job can no longer be kept, if all of it starts now. */
  int broken(Submission s, double ageS, double runS) {
    int broken = 0;
    for (Settings.Objective o : byClass.getOrDefault(s.jobClass(), List.of())) {
      double earliest = o.kind().equals("wait") ? ageS : ageS + runS;
      if (earliest > o.withinS()) {
        broken++;
      }
    }
    return broken;
  }

  /** True when anything is promised of this job's class. */
  boolean promised(Submission s) {
    return byClass.containsKey(s.jobClass());
  }

  /** True when none can be kept any more. */
  boolean allBroken(Submission s, int broken) {
    List<Settings.Objective> of = byClass.get(s.jobClass());
    return of != null && broken == of.size();
  }
}
