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
final class ServiceObjectives {
  private final Map<String, List<Settings.Objective>> objectivesByClass = new HashMap<>();

  ServiceObjectives(List<Settings.Objective> objectives) {
    for (Settings.Objective objective : objectives) {
      if (objective.withinS() > 0
          && (objective.kind().equals("wait") || objective.kind().equals("finished"))) {
        objectivesByClass
            .computeIfAbsent(objective.jobClass(), c -> new ArrayList<>())
            .add(objective);
      }
    }
  }

  /** How many promises to this job can no longer be kept, if all of it starts now. */
  int countBroken(Submission submission, double ageS, double runS) {
    int brokenCount = 0;
    for (Settings.Objective objective :
        objectivesByClass.getOrDefault(submission.jobClass(), List.of())) {
      double earliestS = objective.kind().equals("wait") ? ageS : ageS + runS;
      if (earliestS > objective.withinS()) {
        brokenCount++;
      }
    }
    return brokenCount;
  }

  /** True when anything is promised of this job's class. */
  boolean hasObjectives(Submission submission) {
    return objectivesByClass.containsKey(submission.jobClass());
  }

  /** True when none can be kept any more. */
  boolean allBroken(Submission submission, int brokenCount) {
    List<Settings.Objective> classObjectives = objectivesByClass.get(submission.jobClass());
    return classObjectives != null && brokenCount == classObjectives.size();
  }
}
