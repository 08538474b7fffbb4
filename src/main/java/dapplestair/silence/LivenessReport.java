package dapplestair.silence;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.FrontCodedNames;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a controller says of whom it heard. It proves nothing: it only lets another controller count
 * silence from where this one began to.
 *
 * @param term the term in which the speaker leads, or 0 when it leads none
 * @param number rises with each account of a term
 * @param zones how many milliseconds ago each zone was heard
 * @param late how many milliseconds ago each machine was heard whose report is overdue; all others
 *     were heard as they should be. Empty unless the speaker leads.
 * @param gone how many milliseconds ago each machine was proved to be gone, for those of late
 */
public record LivenessReport(
    long term,
    long number,
    Map<String, Long> zones,
    Map<String, Long> late,
    Map<String, Long> gone) {
  /** Raised whenever the form changes; other forms are not understood, and so say nothing. */
  static final int FORM = 1;

  private static final int MOST_ENTRIES = 4000;
  private static final int LARGEST = 256 * 1024;

  /** In name order, each name written as what it shares with the one before and its rest. */
  public byte[] encode() {
    Output out = new Output(256, LARGEST);
    out.writeByte(FORM);
    out.writeVarLong(term, true);
    out.writeVarLong(number, true);
    write(out, zones);
    write(out, late);
    write(out, gone);
    return out.toBytes();
  }

  private static void write(Output out, Map<String, Long> ages) {
    out.writeVarInt(Math.min(MOST_ENTRIES, ages.size()), true);
    FrontCodedNames names = new FrontCodedNames();
    int left = MOST_ENTRIES;
    for (Map.Entry<String, Long> entry : new TreeMap<>(ages).entrySet()) {
      if (left-- == 0) {
        return;
      }
      names.write(out, entry.getKey());
      out.writeVarLong(Math.max(0, entry.getValue()), true);
    }
  }

  /** Reads an account, or gives null when it is garbled or of another form. */
  public static LivenessReport decode(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > LARGEST || bytes[0] != FORM) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      return new LivenessReport(
          in.readVarLong(true), in.readVarLong(true), read(in), read(in), read(in));
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  private static Map<String, Long> read(Input in) {
    int count = in.readVarInt(true);
    if (count < 0 || count > MOST_ENTRIES) {
      throw new IllegalArgumentException("too many entries: " + count);
    }
    Map<String, Long> out = new TreeMap<>();
    FrontCodedNames names = new FrontCodedNames();
    for (int i = 0; i < count; i++) {
      String name = names.read(in);
      long ago = in.readVarLong(true);
      if (ago < 0) {
        throw new IllegalArgumentException("heard in the future");
      }
      out.put(name, ago);
    }
    return out;
  }
}
