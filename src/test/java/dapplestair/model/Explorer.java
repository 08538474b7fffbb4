package dapplestair.model;

import it.unimi.dsi.fastutil.Hash;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.ObjectOpenCustomHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/** Breadth-first over all states, each once, until a rule is broken or none is left. */
final class Explorer {
  /**
   * What was found.
   *
   * @param states distinct states
   * @param transitions steps taken from them, those to known states as well
   * @param broken the rule that is broken first, or null
   * @param trace the shortest way to it
   */
  record Result(int states, long transitions, String broken, List<String> trace) {}

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
  private final int mostStates;
  private final ObjectOpenCustomHashSet<byte[]> known = new ObjectOpenCustomHashSet<>(BY_CONTENT);
  private final ArrayDeque<Cluster> open = new ArrayDeque<>();

  // All states in the order in which they were found, and from which each was found first.
  private final List<byte[]> states = new ArrayList<>();
  private final IntArrayList parents = new IntArrayList();

  private long transitions;
  private String broken;

  /** Fails beyond {@code mostStates}. */
  Explorer(TaskProtocol protocol, int mostStates) {
    this.protocol = protocol;
    this.mostStates = mostStates;
  }

  Result explore() {
    reached(protocol.initial(), -1);
    for (int number = 0; !open.isEmpty() && broken == null; number++) {
      int parent = number;
      protocol.steps(
          open.poll(),
          (name, next) -> {
            transitions++;
            if (broken == null) {
              reached(next, parent);
            }
          });
    }
    return new Result(states.size(), transitions, broken, broken == null ? List.of() : trace());
  }

  private void reached(Cluster state, int parent) {
    byte[] key = Encoder.encode(state);
    if (!known.add(key)) {
      return;
    }
    if (known.size() > mostStates) {
      throw new IllegalStateException("more than " + mostStates + " states");
    }
    states.add(key);
    parents.add(parent);
    broken = state.broken();
    open.add(state);
  }

  /** The names of the steps to the last state found, by taking them once more. */
  private List<String> trace() {
    List<byte[]> way = new ArrayList<>();
    for (int at = states.size() - 1; at > 0; at = parents.getInt(at)) {
      way.add(states.get(at));
    }
    Collections.reverse(way);
    List<String> names = new ArrayList<>();
    Cluster[] at = {protocol.initial()};
    for (byte[] wanted : way) {
      Cluster from = at[0];
      int before = names.size();
      protocol.steps(
          from,
          (name, next) -> {
            if (names.size() == before && Arrays.equals(wanted, Encoder.encode(next))) {
              names.add(name.get());
              at[0] = next;
            }
          });
    }
    return names;
  }
}
