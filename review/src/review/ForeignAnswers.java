package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The state service refuses one controller alone, which passes users' requests to the others. It
 * crashes shortly after its start, and is back within a second. Broken if a user gets the answer to
 * another user's submission, or if an accepted job is unknown afterwards.
 */
public final class ForeignAnswers {
  private static final int ARRAYS_AT_START = 80;
  private static final int SERVICES_AT_START = 260;
  private static final String EARLIER_JOB = "wk-900000";

  private final Lab lab;
  private final CountDownLatch startOfTheDay = new CountDownLatch(1);
  private LoadBalancer balancer;
  private final ExecutorService users = Executors.newCachedThreadPool();
  private final Map<String, String> accepted = new ConcurrentHashMap<>();
  private final Set<String> foreign = ConcurrentHashMap.newKeySet();

  private ForeignAnswers(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    System.exit(Lab.exitCode(args, lab -> new ForeignAnswers(lab).run()));
  }

  private int run() throws Exception {
    lab.reportS = "6.0";
    lab.prepare();
    lab.startController(1);
    lab.startController(2);
    lab.awaitAnswers(1);
    lab.awaitAnswers(2);
    lab.await(10, () -> lab.leader() >= 1, "a leader");
    double startS = lab.startAndMeasure(0);
    lab.awaitAnswers(0);
    balancer = new LoadBalancer(lab);
    lab.await(10, balancer::allHealthy, "all nodes healthy");
    lab.note("all controllers answer; stairhost-%d leads", lab.leader());
    List<Future<?>> pending = new ArrayList<>();
    lab.submit(1, Lab.array(EARLIER_JOB, 1, 5));
    accepted.put(EARLIER_JOB, "200 or 201");
    for (int i = 0; i < ARRAYS_AT_START + SERVICES_AT_START; i++) {
      String ref = String.format("wk-%06d", i + 1);
      pending.add(
          submitLikeUser(i < ARRAYS_AT_START ? Lab.array(ref, 1, 5) : Lab.service(ref, 1)));
    }
    balancer.awaitProbe(0);
    double probed = lab.seconds();
    if (lab.trouble) {
      lab.stateOfFirst.refuses = true;
      lab.note("the state service refuses stairhost-0");
    }
    for (int i = 0; i < Lab.CONTROLLERS; i++) {
      users.submit(() -> poll(EARLIER_JOB));
    }
    Thread.sleep(60);
    startOfTheDay.countDown();
    // The crash is timed so that the controller is back shortly before the balancer's next probe.
    double crashAt = probed + Math.max(0.25, Math.min(0.75, 1 - startS - 0.12));
    while (lab.seconds() < crashAt) {
      Thread.sleep(1);
    }
    if (lab.trouble) {
      lab.kill(0);
      lab.startController(0);
    }
    for (Future<?> future : pending) {
      future.get();
    }
    lab.stateOfFirst.refuses = false;
    lab.note("the state service serves stairhost-0; accepted: %d jobs", accepted.size());
    Thread.sleep(8000);
    Set<String> forgotten = new TreeSet<>();
    for (String ref : accepted.keySet()) {
      for (int i = 1; i < Lab.CONTROLLERS; i++) {
        Lab.Answer answer = lab.get(lab.userPorts[i], "/submissions/" + ref, 2);
        if (answer.status() == 404) {
          forgotten.add(ref);
          lab.note(
              "poll of %s at stairhost-%d: 404, although it was accepted with %s",
              ref, i, accepted.get(ref));
        }
      }
    }
    lab.noteLogs("Leadership", "ERROR");
    lab.note(
        "submissions answered with another user's job: %d; accepted, then 404: %d",
        foreign.size(), forgotten.size());
    users.shutdownNow();
    balancer.close();
    if (!lab.controllersAlive()) {
      lab.note("a controller has ended by itself");
      return 2;
    }
    return foreign.isEmpty() && forgotten.isEmpty() ? 0 : 1;
  }

  private void poll(String ref) {
    LoadBalancer.Routed routed = balancer.call("GET", "/submissions/" + ref, null, 2);
    lab.note(
        "poll of %s, answer of stairhost-%d: %d %s",
        ref, routed.node(), routed.answer().status(), routed.answer().body());
  }

  /** Submits as the protocol says: again after a second, for up to 60 s, until it is accepted. */
  private Future<?> submitLikeUser(ObjectNode job) {
    return users.submit(
        () -> {
          String ref = job.get("ref").asText();
          startOfTheDay.await();
          for (double end = lab.seconds() + 60; lab.seconds() < end; Thread.sleep(1000)) {
            LoadBalancer.Routed routed = balancer.call("POST", "/submissions", job, 5);
            Lab.Answer answer = routed.answer();
            lab.note(
                "submission of %s, answer of stairhost-%d: %d %s",
                ref, routed.node(), answer.status(), answer.body());
            if (answer.status() == 200 || answer.status() == 201) {
              accepted.put(ref, answer.status() + " " + answer.body());
              if (!ref.equals(answer.body().path("ref").asText())) {
                foreign.add(ref);
              }
              return null;
            }
          }
          lab.note("%s was not accepted; its user gives up", ref);
          return null;
        });
  }
}
