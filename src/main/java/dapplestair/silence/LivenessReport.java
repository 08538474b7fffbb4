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
 * @param zoneAgesMs how many milliseconds ago each zone was heard
 * @param overdueMachineAgesMs how many milliseconds ago each machine was heard whose report is
 *     overdue; all others were heard as they should be. Empty unless the speaker leads.
 * @param goneMachineAgesMs how many milliseconds ago each machine was proved to be gone, for those
 *     of late
 */
public record LivenessReport(
    long term,
    long number,
    Map<String, Long> zoneAgesMs,
    Map<String, Long> overdueMachineAgesMs,
    Map<String, Long> goneMachineAgesMs) {
  /** Raised whenever the form changes; other forms are not understood, and so say nothing. */
  static final int FORM = 1;

  private static final int MAX_ENTRIES = 4000;
  private static final int MAX_BYTES = 256 * 1024;

  /** In name order, each name written as what it shares with the one before and its rest. */
  public byte[] encode() {
    Output out = new Output(256, MAX_BYTES);
    out.writeByte(FORM);
    out.writeVarLong(term, true);
    out.writeVarLong(number, true);
    write(out, zoneAgesMs);
    write(out, overdueMachineAgesMs);
    write(out, goneMachineAgesMs);
    return out.toBytes();
  }

  private static void write(Output out, Map<String, Long> agesMs) {
    out.writeVarInt(Math.min(MAX_ENTRIES, agesMs.size()), true);
    FrontCodedNames names = new FrontCodedNames();
    int remaining = MAX_ENTRIES;
    for (Map.Entry<String, Long> entry : new TreeMap<>(agesMs).entrySet()) {
      if (remaining-- == 0) {
        return;
      }
      names.write(out, entry.getKey());
      out.writeVarLong(Math.max(0, entry.getValue()), true);
    }
  }

  /** Reads an account, or gives null when it is garbled or of another form. */
  public static LivenessReport decode(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > MAX_BYTES || bytes[0] != FORM) {
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
    if (count < 0 || count > MAX_ENTRIES) {
      throw new IllegalArgumentException("too many entries: " + count);
    }
    Map<String, Long> agesMs = new TreeMap<>();
    FrontCodedNames names = new FrontCodedNames();
    for (int i = 0; i < count; i++) {
      String name = names.read(in);
      long ageMs = in.readVarLong(true);
      if (ageMs < 0) {
        throw new IllegalArgumentException("heard in the future");
      }
      agesMs.put(name, ageMs);
    }
    return agesMs;
  }
}
