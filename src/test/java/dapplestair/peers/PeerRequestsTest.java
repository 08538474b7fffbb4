package dapplestair.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dapplestair.ports.Cancellable;
import dapplestair.ports.PeerNetwork;
import dapplestair.ports.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import org.junit.jupiter.api.Test;

/** Tests which answers complete which requests between controllers. */
class PeerRequestsTest {
  private static final String PEER = "node-1";
  private static final String TOPIC = "user-request";
  private static final long TIMEOUT_MS = 750;

  /** One process that asks; its timers run only when the test runs them. */
  private static final class AskingProcess implements Timers, PeerNetwork {
    final List<PeerAsk> sent = new ArrayList<>();
    final List<byte[]> completed = new ArrayList<>();
    final List<Runnable> timerTasks = new ArrayList<>();
    final PeerRequests requests;

    AskingProcess(long processId) {
      requests = new PeerRequests(this, this, new Incarnation(new UUID(processId, 0)));
    }

    PeerAsk ask() {
      requests.ask(PEER, TOPIC, new byte[] {1}, TIMEOUT_MS, completed::add);
      return sent.get(sent.size() - 1);
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      timerTasks.add(task);
      return () -> timerTasks.remove(task);
    }

    @Override
    public void send(String member, Object message) {
      sent.add((PeerAsk) message);
    }

    @Override
    public void listen(Listener listener) {}

    @Override
    public void start() {}
  }

  /**
   * Guards against a restarted controller that takes answers to its earlier process for its own.
   */
  @Test
  void answerToAnEarlierProcessCompletesNoRequest() {
    SplittableRandom random = new SplittableRandom(59);
    for (int restart = 0; restart < 200; restart++) {
      AskingProcess earlier = new AskingProcess(random.nextLong());
      AskingProcess restarted = new AskingProcess(random.nextLong());
      List<PeerAsk> earlierAsks = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        earlierAsks.add(earlier.ask());
        restarted.ask();
      }
      earlierAsks.forEach(
          ask -> restarted.requests.answerReceived(PEER, new PeerAnswer(ask.number(), ask.body())));
      assertTrue(restarted.completed.isEmpty(), "an earlier process's answer was taken");
      assertEquals(earlierAsks.size(), restarted.requests.foreignAnswers());
    }
  }

  /** Guards against requests that the number of the answer no longer finds. */
  @Test
  void answerCompletesItsRequestOnce() {
    AskingProcess process = new AskingProcess(-1);
    PeerAsk first = process.ask();
    PeerAsk second = process.ask();
    byte[] body = {7};
    process.requests.answerReceived(PEER, new PeerAnswer(second.number(), body));
    process.requests.answerReceived(PEER, new PeerAnswer(second.number(), new byte[] {8}));
    assertEquals(1, process.completed.size());
    assertArrayEquals(body, process.completed.get(0));
    assertEquals(1, process.requests.lateAnswers());
    process.requests.answerReceived("node-2", new PeerAnswer(first.number(), body));
    assertEquals(1, process.completed.size(), "an answer of a peer that was not asked was taken");
    assertEquals(1, process.requests.foreignAnswers());
  }

  /** Guards against numbers that peers of any version take for "needs no answer". */
  @Test
  void numbersArePositiveWhateverTheProcessId() {
    for (long processId : new long[] {0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE}) {
      AskingProcess process = new AskingProcess(processId);
      for (int i = 0; i < 3; i++) {
        assertTrue(process.ask().number() > RequestNumbers.NO_ANSWER);
      }
    }
  }
}
