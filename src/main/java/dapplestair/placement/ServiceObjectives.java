package dapplestair.placement;

import dapplestair.settings.Settings;
import dapplestair.work.Submission;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The objectives of each job class, in seconds from submission. Under overload, placing work by
 * least slack makes all of it late, so work that can still meet an objective goes before work that
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

  /** Returns how many objectives of this job can no longer be met, even if all of it starts now. */
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

  /** Returns whether the job's class has any objectives. */
  boolean hasObjectives(Submission submission) {
    return objectivesByClass.containsKey(submission.jobClass());
  }

  /** Returns whether the job's class has objectives and none of them can be met any more. */
  boolean allBroken(Submission submission, int brokenCount) {
    List<Settings.Objective> classObjectives = objectivesByClass.get(submission.jobClass());
    return classObjectives != null && brokenCount == classObjectives.size();
  }
}
