package dapplestair.silence;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.FrontCodedNames;
import java.util.Map;
import java.util.TreeMap;

/**
 * Report of a controller on which machines and zones it heard, and when. It proves nothing; it only
 * lets another controller count silence from the time at which this one began to count it.
 *
 * @param term the term in which the sender leads, or 0 when it does not lead
 * @param number increases with each report of a term
 * @param zoneAgesMs how many milliseconds ago each zone was last heard
 * @param overdueMachineAgesMs how many milliseconds ago each machine whose report is overdue was
 *     last heard; all other machines reported in time. Empty unless the sender leads.
 * @param goneMachineAgesMs how many milliseconds ago each of the overdue machines that are proved
 *     to be gone was proved so
 */
public record LivenessReport(
    long term,
    long number,
    Map<String, Long> zoneAgesMs,
    Map<String, Long> overdueMachineAgesMs,
    Map<String, Long> goneMachineAgesMs) {
  /** Version of the encoding, raised whenever it changes; reports of other versions are ignored. */
  static final int FORM = 1;

  private static final int MAX_ENTRIES = 4000;
  private static final int MAX_BYTES = 256 * 1024;

  /** Encodes this report, with sorted names that are front-coded (see {@link FrontCodedNames}). */
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

  /** Decodes a report; returns null when it is malformed or of another version. */
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
      throw new IllegalArgumentException(
          "liveness report has " + count + " entries, more than " + MAX_ENTRIES);
    }
    Map<String, Long> agesMs = new TreeMap<>();
    FrontCodedNames names = new FrontCodedNames();
    for (int i = 0; i < count; i++) {
      String name = names.read(in);
      long ageMs = in.readVarLong(true);
      if (ageMs < 0) {
        throw new IllegalArgumentException(name + " was heard in the future: " + ageMs + " ms ago");
      }
      agesMs.put(name, ageMs);
    }
    return agesMs;
  }
}
