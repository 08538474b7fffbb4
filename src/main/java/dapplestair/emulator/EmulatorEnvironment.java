package dapplestair.emulator;

import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import java.util.function.Consumer;

/** Time, randomness and network of the emulated services: simulated from a seed, or real ones. */
public interface EmulatorEnvironment extends Timers {
  /** Returns the milliseconds since a fixed, unspecified time. */
  long now();

  /** Returns true with this probability. */
  boolean chance(double probability);

  /** Returns a random whole number from {@code low} to {@code high}, both included. */
  long between(long low, long high);

  /** Returns a random number from 0 to 1. */
  double fraction();

  /** Returns the address that {@link #open} will give to this name, or null if not yet known. */
  String address(String name);

  /** Makes a handler reachable; its address is passed to {@code onOpened} soon. */
  void open(String name, RequestHandler handler, Consumer<String> onOpened);

  /** Removes a machine for good: it answers no more, and its address is not used again. */
  void removeMachine(String name);

  /** Sends a request; {@code onReply} is called exactly once. */
  void call(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> onReply);
}
