package dapplestair.work;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/**
 * Writes and reads names with front coding: each is stored as the length of the prefix that it
 * shares with the previous name, and the remaining characters.
 */
public final class FrontCodedNames {
  private static final int MAX_NAME_LENGTH = 200;

  private String previous = "";

  /** Writes the next name; names must be written in order. */
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
   * @throws IllegalArgumentException when the name is too long
   * @throws IndexOutOfBoundsException when the shared prefix is longer than the previous name
   */
  public String read(Input in) {
    String name = previous.substring(0, in.readVarInt(true)) + in.readString();
    if (name.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException("name is too long: " + name.length() + " characters");
    }
    previous = name;
    return name;
  }
}
