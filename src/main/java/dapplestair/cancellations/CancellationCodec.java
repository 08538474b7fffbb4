package dapplestair.cancellations;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.FrontCodedNames;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What controllers tell each other of cancellations: bounded, and of one form. */
final class CancellationCodec {
  /** Raised whenever the form changes; other forms are not understood, and so say nothing. */
  static final byte FORM = 1;

  /** Most places in one message. A cancellation with more of them is never told as a whole. */
  static final int MOST_PLACES = 20_000;

  static final int MOST_ENTRIES = 1000;
  private static final int LARGEST = 448 * 1024;

  /** No leader of a cluster gets that far: it would make a number that workers cannot read. */
  private static final long HIGHEST_TERM = 1L << 38;

  private CancellationCodec() {}

  /**
   * A question: what was confirmed since?
   *
   * @param asker the process that asks, told apart from its earlier lives
   * @param number of the question, repeated in its answer
   * @param log whose log {@code after} counts in, 0 if none is known
   * @param after the last entry that the asker has
   */
  record LogRequest(long asker, long number, long log, long after) {}

  /** One entry of a log and how long ago it was made. */
  record LogEntry(long number, String ref, long ageMs, List<Cancellation.TaskLocation> places) {}

  /**
   * An answer: the entries after the one named, and whether these are all.
   *
   * @param log the process that answers
   * @param term the highest term it knows of
   * @param whole whether the asker now has all that this process confirmed up to this moment
   */
  record LogResponse(
      long asker, long number, long log, long term, boolean whole, List<LogEntry> entries) {}

  static byte[] encode(LogRequest request) {
    Output out = new Output(64);
    out.writeByte(FORM);
    out.writeLong(request.asker());
    out.writeVarLong(request.number(), true);
    out.writeLong(request.log());
    out.writeVarLong(request.after(), true);
    return out.toBytes();
  }

  /** Reads a question, or gives null when it is garbled or of another form. */
  static LogRequest ask(byte[] bytes) {
    if (bytes.length == 0 || bytes[0] != FORM) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      LogRequest request =
          new LogRequest(in.readLong(), in.readVarLong(true), in.readLong(), in.readVarLong(true));
      return request.number() < 0 || request.after() < 0 ? null : request;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  /** Writes an answer, or gives null when it is too large for one message. */
  static byte[] encode(LogResponse response) {
    try {
      return write(response);
    } catch (KryoException e) {
      return null;
    }
  }

  private static byte[] write(LogResponse response) {
    Output out = new Output(256, LARGEST);
    out.writeByte(FORM);
    out.writeLong(response.asker());
    out.writeVarLong(response.number(), true);
    out.writeLong(response.log());
    out.writeVarLong(response.term(), true);
    out.writeBoolean(response.whole());
    out.writeVarInt(response.entries().size(), true);
    response.entries().forEach(e -> write(out, e));
    return out.toBytes();
  }

  private static void write(Output out, LogEntry entry) {
    out.writeVarLong(entry.number(), true);
    out.writeString(entry.ref());
    out.writeVarLong(Math.max(0, entry.ageMs()), true);
    out.writeVarInt(entry.places().size(), true);
    FrontCodedNames names = new FrontCodedNames();
    List<Cancellation.TaskLocation> sorted = new ArrayList<>(entry.places());
    sorted.sort(Comparator.comparing(Cancellation.TaskLocation::host));
    for (Cancellation.TaskLocation location : sorted) {
      names.write(out, location.host());
      out.writeVarLong(location.session(), true);
      out.writeVarInt(location.step(), true);
      out.writeVarLong(location.number(), true);
    }
  }

  /** Reads an answer, or gives null when it is garbled, too large or of another form. */
  static LogResponse answer(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > LARGEST || bytes[0] != FORM) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      long asker = in.readLong();
      long number = in.readVarLong(true);
      long log = in.readLong();
      long term = in.readVarLong(true);
      boolean whole = in.readBoolean();
      int count = in.readVarInt(true);
      if (count < 0 || count > MOST_ENTRIES || term < 0 || term > HIGHEST_TERM) {
        return null;
      }
      List<LogEntry> entries = new ArrayList<>();
      int places = 0;
      for (int i = 0; i < count; i++) {
        LogEntry e = entry(in, MOST_PLACES - places);
        places += e.places().size();
        entries.add(e);
      }
      return in.end() ? new LogResponse(asker, number, log, term, whole, entries) : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  private static LogEntry entry(Input in, int mostPlaces) {
    long number = in.readVarLong(true);
    String ref = in.readString();
    long age = in.readVarLong(true);
    int count = in.readVarInt(true);
    if (number < 1 || ref == null || age < 0 || count < 0 || count > mostPlaces) {
      throw new IllegalArgumentException("no entry of a log");
    }
    List<Cancellation.TaskLocation> places = new ArrayList<>();
    FrontCodedNames names = new FrontCodedNames();
    for (int i = 0; i < count; i++) {
      String host = names.read(in);
      places.add(
          new Cancellation.TaskLocation(
              host, in.readVarLong(true), in.readVarInt(true), in.readVarLong(true)));
    }
    return new LogEntry(number, ref, age, places);
  }
}
