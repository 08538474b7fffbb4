package dapplestair.work;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/** Names in order, each written as what it shares with the one before and its rest. */
public final class FrontCodedNames {
  private static final int MAX_NAME_LENGTH = 200;

  private String previous = "";

  /** Writes the next name; they come in order. */
  public void write(Output out, String name) {
    int sharedLength = 0;
    while (sharedLength < name.length()
        && sharedLength < previous.length()
        && name.charAt(sharedLength) == previous.charAt(sharedLength)) {
      sharedLength++;
    }
    out.writeVarInt(sharedLength, true);
    out.writeString(name.substring(sharedLength));
    previous = name;
  }

  /**
   * Reads the next name.
   *
   * @throws IllegalArgumentException when it is too long to be one
   * @throws IndexOutOfBoundsException when it shares more than there is
   */
  public String read(Input in) {
    String name = previous.substring(0, in.readVarInt(true)) + in.readString();
    if (name.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException("a name of " + name.length() + " characters");
    }
    previous = name;
    return name;
  }
}
