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
  static final byte FORMAT_VERSION = 1;

  /** Most places in one message. A cancellation with more of them is never told as a whole. */
  static final int MAX_LOCATIONS = 20_000;

  static final int MAX_ENTRIES = 1000;
  private static final int MAX_BYTES = 448 * 1024;

  /** No leader of a cluster gets that far: it would make a number that workers cannot read. */
  private static final long MAX_TERM = 1L << 38;

  private CancellationCodec() {}

  /**
   * A question: what was confirmed since?
   *
   * @param asker the process that asks, told apart from its earlier lives
   * @param number of the question, repeated in its answer
   * @param log whose log {@code lastEntryNumber} counts in, 0 if none is known
   * @param after the last entry that the asker has
   */
  record LogRequest(long requester, long requestNumber, long logId, long lastEntryNumber) {}

  /** One entry of a log and how long ago it was made. */
  record LogEntry(long number, String ref, long ageMs, List<Cancellation.TaskLocation> locations) {}

  /**
   * An answer: the entries after the one named, and whether these are all.
   *
   * @param logId the process that answers
   * @param term the highest term it knows of
   * @param complete whether the asker now has all that this process confirmed up to this moment
   */
  record LogResponse(
      long requester,
      long requestNumber,
      long logId,
      long term,
      boolean complete,
      List<LogEntry> entries) {}

  static byte[] encode(LogRequest request) {
    Output out = new Output(64);
    out.writeByte(FORMAT_VERSION);
    out.writeLong(request.requester());
    out.writeVarLong(request.requestNumber(), true);
    out.writeLong(request.logId());
    out.writeVarLong(request.lastEntryNumber(), true);
    return out.toBytes();
  }

  /** Reads a question, or gives null when it is garbled or of another form. */
  static LogRequest decodeRequest(byte[] bytes) {
    if (bytes.length == 0 || bytes[0] != FORMAT_VERSION) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      LogRequest request =
          new LogRequest(in.readLong(), in.readVarLong(true), in.readLong(), in.readVarLong(true));
      return request.requestNumber() < 0 || request.lastEntryNumber() < 0 ? null : request;
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
    Output out = new Output(256, MAX_BYTES);
    out.writeByte(FORMAT_VERSION);
    out.writeLong(response.requester());
    out.writeVarLong(response.requestNumber(), true);
    out.writeLong(response.logId());
    out.writeVarLong(response.term(), true);
    out.writeBoolean(response.complete());
    out.writeVarInt(response.entries().size(), true);
    response.entries().forEach(entry -> write(out, entry));
    return out.toBytes();
  }

  private static void write(Output out, LogEntry entry) {
    out.writeVarLong(entry.number(), true);
    out.writeString(entry.ref());
    out.writeVarLong(Math.max(0, entry.ageMs()), true);
    out.writeVarInt(entry.locations().size(), true);
    FrontCodedNames names = new FrontCodedNames();
    List<Cancellation.TaskLocation> sorted = new ArrayList<>(entry.locations());
    sorted.sort(Comparator.comparing(Cancellation.TaskLocation::host));
    for (Cancellation.TaskLocation location : sorted) {
      names.write(out, location.host());
      out.writeVarLong(location.session(), true);
      out.writeVarInt(location.step(), true);
      out.writeVarLong(location.attempt(), true);
    }
  }

  /** Reads an answer, or gives null when it is garbled, too large or of another form. */
  static LogResponse decodeResponse(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > MAX_BYTES || bytes[0] != FORMAT_VERSION) {
      return null;
    }
    try {
      Input in = new Input(bytes, 1, bytes.length - 1);
      long requester = in.readLong();
      long requestNumber = in.readVarLong(true);
      long logId = in.readLong();
      long term = in.readVarLong(true);
      boolean complete = in.readBoolean();
      int count = in.readVarInt(true);
      if (count < 0 || count > MAX_ENTRIES || term < 0 || term > MAX_TERM) {
        return null;
      }
      List<LogEntry> entries = new ArrayList<>();
      int locationCount = 0;
      for (int i = 0; i < count; i++) {
        LogEntry entry = readEntry(in, MAX_LOCATIONS - locationCount);
        locationCount += entry.locations().size();
        entries.add(entry);
      }
      return in.end()
          ? new LogResponse(requester, requestNumber, logId, term, complete, entries)
          : null;
    } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
      return null;
    }
  }

  private static LogEntry readEntry(Input in, int maxLocations) {
    long number = in.readVarLong(true);
    String ref = in.readString();
    long ageMs = in.readVarLong(true);
    int count = in.readVarInt(true);
    if (number < 1 || ref == null || ageMs < 0 || count < 0 || count > maxLocations) {
      throw new IllegalArgumentException("no entry of a log");
    }
    List<Cancellation.TaskLocation> locations = new ArrayList<>();
    FrontCodedNames names = new FrontCodedNames();
    for (int i = 0; i < count; i++) {
      String host = names.read(in);
      locations.add(
          new Cancellation.TaskLocation(
              host, in.readVarLong(true), in.readVarInt(true), in.readVarLong(true)));
    }
    return new LogEntry(number, ref, ageMs, locations);
  }
}
