package dapplestair.emulator;

import dapplestair.ports.HttpReply;
import dapplestair.ports.Timers;
import java.util.function.Consumer;

/** Time, chance and the wire as the emulated parts meet them: the seeded world's or real ones. */
public interface EmulatorEnvironment extends Timers {
  /** Milliseconds since some moment. */
  long now();

  /** True with this probability. */
  boolean chance(double probability);

  /** A whole number from {@code low} to {@code high}, both included. */
  long between(long low, long high);

  /** A number from 0 to 1. */
  double fraction();

  /** The address that {@link #open} will give to this name, or null when it is not known before. */
  String address(String name);

  /** Puts a place under an address; {@code onOpened} is told which, soon. */
  void open(String name, RequestHandler handler, Consumer<String> onOpened);

  /** The machine of this name is gone for good: it is silent, and its address is not used again. */
  void removeMachine(String name);

  /** Sends a request; exactly one reply. */
  void call(
      String from,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<HttpReply> onReply);
}
