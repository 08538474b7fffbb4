package dapplestair.model;

import it.unimi.dsi.fastutil.Hash;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.ObjectOpenCustomHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Searches all reachable states breadth-first, each once, until a rule is broken or no state is
 * left.
 */
final class Explorer {
  /**
   * The result of an exploration.
   *
   * @param states distinct states
   * @param transitions steps taken from these states, including steps to known states
   * @param brokenRule the first broken rule found, or null
   * @param trace the steps of a shortest path to the state that breaks it
   */
  record Result(int states, long transitions, String brokenRule, List<String> trace) {}

  private static final Hash.Strategy<byte[]> BY_CONTENT =
      new Hash.Strategy<>() {
        @Override
        public int hashCode(byte[] bytes) {
          return Arrays.hashCode(bytes);
        }

        @Override
        public boolean equals(byte[] a, byte[] b) {
          return Arrays.equals(a, b);
        }
      };

  private final TaskProtocol protocol;
  private final int maxStates;
  private final ObjectOpenCustomHashSet<byte[]> knownStates =
      new ObjectOpenCustomHashSet<>(BY_CONTENT);
  private final ArrayDeque<Cluster> frontier = new ArrayDeque<>();

  // All states in the order in which they were found, and for each the index of the state from
  // which it was found first.
  private final List<byte[]> states = new ArrayList<>();
  private final IntArrayList parents = new IntArrayList();

  private long transitions;
  private String brokenRule;

  /** Creates an explorer whose search throws an exception beyond {@code maxStates} states. */
  Explorer(TaskProtocol protocol, int maxStates) {
    this.protocol = protocol;
    this.maxStates = maxStates;
  }

  Result explore() {
    visit(protocol.initialState(), -1);
    for (int stateIndex = 0; !frontier.isEmpty() && brokenRule == null; stateIndex++) {
      int parent = stateIndex;
      protocol.forEachStep(
          frontier.poll(),
          (name, next) -> {
            transitions++;
            if (brokenRule == null) {
              visit(next, parent);
            }
          });
    }
    return new Result(
        states.size(), transitions, brokenRule, brokenRule == null ? List.of() : trace());
  }

  private void visit(Cluster state, int parent) {
    byte[] key = Encoder.encode(state);
    if (!knownStates.add(key)) {
      return;
    }
    if (knownStates.size() > maxStates) {
      throw new IllegalStateException(
          "exploration found more than the maximum of " + maxStates + " states");
    }
    states.add(key);
    parents.add(parent);
    brokenRule = state.brokenRule();
    frontier.add(state);
  }

  /** Returns the names of the steps to the last state found, by taking these steps again. */
  private List<String> trace() {
    List<byte[]> path = new ArrayList<>();
    for (int stateIndex = states.size() - 1;
        stateIndex > 0;
        stateIndex = parents.getInt(stateIndex)) {
      path.add(states.get(stateIndex));
    }
    Collections.reverse(path);
    List<String> names = new ArrayList<>();
    Cluster[] current = {protocol.initialState()};
    for (byte[] target : path) {
      Cluster start = current[0];
      int countBefore = names.size();
      protocol.forEachStep(
          start,
          (name, next) -> {
            if (names.size() == countBefore && Arrays.equals(target, Encoder.encode(next))) {
              names.add(name.get());
              current[0] = next;
            }
          });
    }
    return names;
  }
}
