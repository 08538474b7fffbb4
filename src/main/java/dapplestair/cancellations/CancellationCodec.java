package dapplestair.cancellations;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dapplestair.work.FrontCodedNames;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Encodes and decodes the messages about cancellations between controllers. Messages have a bounded
 * size and a format version.
 */
final class CancellationCodec {
  /**
   * Incremented whenever the format changes. Messages of other versions are not decoded, so nothing
   * is concluded from them.
   */
  static final byte FORMAT_VERSION = 1;

  /**
   * Maximum number of task locations in one message. A cancellation with more locations is never
   * sent in full.
   */
  static final int MAX_LOCATIONS = 20_000;

  static final int MAX_ENTRIES = 1000;
  private static final int MAX_BYTES = 448 * 1024;

  /**
   * No leader of a cluster reaches this term. A higher one would result in a fencing token that
   * workers cannot read.
   */
  private static final long MAX_TERM = 1L << 38;

  private CancellationCodec() {}

  /**
   * A request for the entries of a peer's log that follow a given entry.
   *
   * @param requester the requesting process, distinct from earlier processes of the same controller
   * @param requestNumber number of this request, repeated in the response
   * @param logId the process whose log {@code lastEntryNumber} refers to, 0 if none is known
   * @param lastEntryNumber number of the last entry that the requester has
   */
  record LogRequest(long requester, long requestNumber, long logId, long lastEntryNumber) {}

  /** An entry of a log, with the time that has passed since its cancellation became known. */
  record LogEntry(long number, String ref, long ageMs, List<Cancellation.TaskLocation> locations) {}

  /**
   * A response with the entries that follow the one named in the request.
   *
   * @param logId the responding process, which owns the log
   * @param term the highest term that the responding process has seen
   * @param complete whether the requester now has everything that the responding process confirmed
   *     up to the response
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

  /** Decodes a request. Returns null if it is malformed or of another format version. */
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

  /** Encodes a response. Returns null if it is too large for one message. */
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

  /** Decodes a response. Returns null if it is malformed, too large or of another version. */
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
      throw new IllegalArgumentException("malformed entry in a cancellation log message");
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
